"""Reroute a running stream over another chain, without engines that are lost.

The surviving engines keep their caches, and the stream continues once the new part has
read the request.
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
from .stream import FIRST_ENGINE_EXCLUSION_S, INITIAL_SILENCE_S

if TYPE_CHECKING:
    from .stream import Stream

# New chains tried for one stall: each attempt may report another engine as missing.
MAX_REROUTES = 3
# Poll interval for a replacement part while its layers are missing or full. Room
# becomes free as other streams end, every 30 to 90 ms in a busy data centre.
REPLACEMENT_POLL_S = 0.08


async def replace_lost(
    stream: "Stream", connection: EngineConnection, lost: set[str]
) -> None:
    """Replace the lost parts of a stream's chain, or abort the attempt.

    The attempt is not aborted while there is no other whole chain either. The first
    engine holds the request and its cache; after an abort the stream would have to wait
    as well, with one attempt less and nothing kept.
    """
    job, since_s = stream.job, stream.last_progress_s
    for address in lost:
        is_first = address == stream.chain[0].address
        stream.exclude(
            address, now_s() + FIRST_ENGINE_EXCLUSION_S if is_first else math.inf
        )
    for _ in range(MAX_REROUTES):
        chain = await _wait_for_replacement(stream, connection, lost)
        if chain is None:
            break
        status, missing = await request_reroute(stream, chain)
        if stream.connection is not connection:
            # The attempt ended meanwhile, and its load was removed already.
            return
        if status in (200, 202):
            switch_chain(stream, chain)
            return
        if status != 409 or not missing:
            break
        lost = lost | {missing}
        stream.exclude(missing)
    if stream.connection is not connection or stream.last_progress_s > since_s:
        # The attempt has ended meanwhile, or its chain that seemed lost continues.
        return
    job.state.metrics.reroutes.labels("failed").inc()
    stream.has_lost_first = stream.chain[0].address in lost
    stream.abort_attempt("an engine of the chain died")


async def _wait_for_replacement(stream, connection, lost):
    """Return a chain without the lost parts, or None if the attempt should end.

    It should end once there is another whole chain. Until there is a replacement or
    another chain, wait.
    """
    since_s = stream.last_progress_s
    while stream.connection is connection and stream.last_progress_s <= since_s:
        chain = find_replacement(stream, lost)
        is_first_lost = stream.chain[0].address in lost
        if chain is not None or is_first_lost or not stream.has_begun:
            return chain
        is_over = now_s() >= stream.job.client_leaves_s()
        if is_over or streamchains.has_other_chain(stream, lost):
            return None
        await anyio.sleep(REPLACEMENT_POLL_S)
    return None


async def request_reroute(
    stream: "Stream", chain: Chain, is_move: bool = False
) -> tuple[int, str]:
    """Ask the first engine to reroute a stream; return status and fault address."""
    job = stream.job
    try:
        status, missing = await enginecalls.reroute(
            chain[0].address, job.facts.request_id, chain
        )
    except EngineCallFailed as error:
        job.log_event("reroute-failed", error=str(error))
        return 0, ""
    job.log_event(
        "reroute",
        status=status,
        is_move=is_move,
        chain=engines.write_chain(chain),
        last_event=stream.last_event,
        silent_s=round(now_s() - stream.last_progress_s, 3),
    )
    return status, missing


def find_replacement(stream: "Stream", lost: set[str]) -> Chain | None:
    """Return a stream's chain with the lost parts replaced, None if impossible."""
    job = stream.job
    if stream.chain[0].address in lost:
        return None
    # Use the data centre of the chain, which may differ from this entry's. The first
    # engine may be leaving, and is then not among the usable ones.
    first = job.state.endpoints.table.entries.get(stream.chain[0].engine_id)
    need = Need(stream.tokens, first.announcement.vm_zone if first else "")
    usable = streamchains.usable_engines(stream, lost, now_s(), vm_zone=need.home_zone)
    model = job.service.model
    chain = chains.replace_parts(model, stream.chain, usable, lost, need)
    if chain is None or not chains.covers(chain, model.layers):
        return None
    return chain


def switch_chain(stream: "Stream", chain: Chain) -> None:
    """Set a stream's new chain, and move the stream's load to it."""
    state = stream.job.state
    entrystate.remove_load(state, stream.chain, stream.tokens)
    entrystate.add_load(state, chain, stream.tokens)
    stream.chain = chain
    service = stream.job.service
    usable = entrystate.candidates(state, service.name, now_s())
    stream.expected_pause_s = pace.expected_pause_s(service.model, chain, usable)
    # The new part reads the whole request first.
    stream.last_progress_s = now_s()
    stream.silence_limit_s = INITIAL_SILENCE_S
    state.metrics.reroutes.labels("done").inc()
