"""Carrying a running stream on over another chain, without engines that are lost.

The survivors keep their memory, and the stream goes on once the new part has read it.
"""

import math
from typing import TYPE_CHECKING

import anyio

from cherryrudder.layers import chains, pace
from cherryrudder.layers.chains import Chain, Need
from cherryrudder.platform import engines
from cherryrudder.relay.client import EngineConnection
from cherryrudder.replica.clock import now_s

from . import enginecalls, entrystate, streamchains
from .errors import EngineCallFailed
from .stream import FIRST_LOST_S, FIRST_SILENCE_S

if TYPE_CHECKING:
    from .stream import Stream

# New chains tried for one stall: each may name another engine as missing.
MAX_REROUTES = 3
# Between two looks for a part that a hole in the layers or a full range left out. Room
# comes free as other streams end, every 30 to 90 ms in a busy data centre.
PART_POLL_S = 0.08


async def replace_lost(
    stream: "Stream", connection: EngineConnection, lost: set[str]
) -> None:
    """Replace the lost parts of the chain; break the attempt off when none can be.

    Not while there is no other chain either: the first engine holds the request and
    what was read of it, and broken off, the stream would wait all the same, with an
    attempt less and nothing kept.
    """
    job, since_s = stream.job, stream.progressed_s
    for address in lost:
        is_first = address == stream.chain[0].address
        stream.exclude(address, now_s() + FIRST_LOST_S if is_first else math.inf)
    for _ in range(MAX_REROUTES):
        chain = await _wait_without(stream, connection, lost)
        if chain is None:
            break
        status, missing = await order(stream, chain)
        if stream.connection is not connection:
            # The attempt ended meanwhile, and its chain was counted out already.
            return
        if status in (200, 202):
            take(stream, chain)
            return
        if status != 409 or not missing:
            break
        lost = lost | {missing}
        stream.exclude(missing)
    if stream.connection is not connection or stream.progressed_s > since_s:
        # It has ended meanwhile, or goes on over the chain that seemed lost.
        return
    job.state.metrics.reroutes.labels("failed").inc()
    stream.has_lost_first = stream.chain[0].address in lost
    stream.break_off("an engine of the chain died")


async def _wait_without(stream, connection, lost):
    """Return a chain without the lost parts, None when the stream should go elsewhere.

    Elsewhere is another whole chain; until there is either, the stream waits.
    """
    since_s = stream.progressed_s
    while stream.connection is connection and stream.progressed_s <= since_s:
        chain = find_replacement(stream, lost)
        is_first_lost = stream.chain[0].address in lost
        if chain is not None or is_first_lost or not stream.has_begun:
            return chain
        is_over = now_s() >= stream.job.leaves_s()
        if is_over or streamchains.has_other_chain(stream, lost):
            return None
        await anyio.sleep(PART_POLL_S)
    return None


async def order(
    stream: "Stream", chain: Chain, is_move: bool = False
) -> tuple[int, str]:
    """Order the first engine to carry a stream on; return status and fault address."""
    job = stream.job
    try:
        status, missing = await enginecalls.reroute(
            chain[0].address, job.facts.request_id, chain
        )
    except EngineCallFailed as error:
        job.note("reroute-failed", error=str(error))
        return 0, ""
    job.note(
        "reroute",
        status=status,
        is_move=is_move,
        chain=engines.write_chain(chain),
        last_event=stream.last_event,
        silent_s=round(now_s() - stream.progressed_s, 3),
    )
    return status, missing


def find_replacement(stream: "Stream", lost: set[str]) -> Chain | None:
    """Return a stream's chain with other parts in place of the lost ones, if any."""
    job = stream.job
    if stream.chain[0].address in lost:
        return None
    # The data centre of the chain, which is not always this entry's. The first engine
    # may be leaving, and so not among the usable ones.
    first = job.state.endpoints.table.entries.get(stream.chain[0].engine_id)
    need = Need(stream.tokens, first.announcement.vm_zone if first else "")
    usable = streamchains.usable(stream, lost, now_s(), vm_zone=need.home_zone)
    model = job.service.model
    chain = chains.replace_parts(model, stream.chain, usable, lost, need)
    if chain is None or not chains.covers(chain, model.layers):
        return None
    return chain


def take(stream: "Stream", chain: Chain) -> None:
    """Count a stream over from its chain to the one that it goes on over."""
    state = stream.job.state
    entrystate.ended(state, stream.chain, stream.tokens)
    entrystate.began(state, chain, stream.tokens)
    stream.chain = chain
    service = stream.job.service
    usable = entrystate.candidates(state, service.name, now_s())
    stream.expected_pause_s = pace.expected_pause_s(service.model, chain, usable)
    # The new part reads the whole request first.
    stream.progressed_s = now_s()
    stream.silence_s = FIRST_SILENCE_S
    state.metrics.reroutes.labels("done").inc()
