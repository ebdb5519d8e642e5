"""Watching a stream's silence, and carrying it on when an engine of its chain died.

Failure: an engine in the middle of a chain dies; the first one holds the stream and
says nothing for seconds, and the client gives up on it. Symptom: a silence far above
the usual pause of some 25 ms. The first engine knows which engine it waits for; with
that one replaced the survivors keep their memory, and the stream goes on in the time
that the new part takes to read it.
"""

from typing import TYPE_CHECKING

import anyio

from cherryrudder.layers import chains
from cherryrudder.layers.chains import Need
from cherryrudder.platform import engines
from cherryrudder.relay.client import EngineConnection
from cherryrudder.relay.errors import AnswerBroken, AnswerLate
from cherryrudder.replica.clock import now_s

from . import attempts, enginecalls, entrystate
from .errors import EngineCallFailed

if TYPE_CHECKING:
    from .streamrelay import Stream

# A prompt of usual size is read in less than 0.1 s; the objective is 0.5 s.
FIRST_SILENCE_S = 0.3
# Events come every 25 ms; while an engine reads long prompts in between, some 60 ms.
# The users count a pause of 200 ms as late.
SILENCE_S = 0.12
# Each further look at a stream that is slow but not stalled waits longer.
BACK_OFF = 1.5
MOST_SILENCE_S = 1.0
# The engines themselves give up on a dead neighbour after 2.5 s; past this the first
# engine is lost as well.
LOST_AFTER_S = 4.0
# New chains tried for one stall: each may name another engine as missing.
MAX_REROUTES = 3


async def read_head(stream: "Stream", connection: EngineConnection):
    """Return the answer's head; raises AnswerBroken, AnswerLate."""

    async def read(limit_s):
        return await attempts.read_own_head(stream.job, connection, limit_s)

    return await _watched(stream, read, FIRST_SILENCE_S)


async def read(stream: "Stream", connection: EngineConnection) -> bytes | None:
    """Return a piece of the answer or None at its end; raises like `read_head`."""

    async def read(limit_s):
        try:
            with anyio.fail_after(limit_s):
                return await connection.read()
        except TimeoutError as error:
            raise AnswerLate("the stream is silent") from error

    return await _watched(stream, read, SILENCE_S)


async def _watched(stream, read, silence_s):
    began_s = now_s()
    while True:
        left_s = stream.job.left_s()
        if left_s <= 0:
            raise AnswerLate("the time is up")
        try:
            return await read(min(silence_s, left_s))
        except AnswerLate:
            if now_s() - began_s > LOST_AFTER_S:
                lose_first(stream, "silent")
                raise AnswerBroken("the engine is silent") from None
        await _look(stream)
        silence_s = min(MOST_SILENCE_S, silence_s * BACK_OFF)


async def _look(stream):
    """Ask the first engine what a silent stream waits for; raises AnswerBroken."""
    first = stream.chain[0]
    report = await stream.stalls.look(first.address)
    if report is None:
        lose_first(stream, "no report")
        raise AnswerBroken("the first engine is gone")
    request_id = stream.job.facts.request_id
    for stalled in report.stalled:
        if stalled.request_id == request_id:
            stream.stalls.accuse(stalled.address, "stalled")
            if any(part.address == stalled.address for part in stream.chain):
                await _reroute(stream, {stalled.address})
            return


def lose_first(stream: "Stream", why: str) -> None:
    """Take the first engine of a stream's chain as dead."""
    first = stream.chain[0]
    stream.deaths += 1
    stream.excluded.add(first.address)
    stream.stalls.accuse(first.address, why)


async def _reroute(stream, lost):
    """Replace the lost parts of the chain; raises AnswerBroken when none can."""
    job = stream.job
    stream.deaths += 1
    stream.excluded |= lost
    for _ in range(MAX_REROUTES):
        chain = _without(stream, lost)
        if chain is None:
            break
        try:
            status, missing = await enginecalls.reroute(
                chain[0].address, job.facts.request_id, chain
            )
        except EngineCallFailed as error:
            job.note("reroute-failed", error=str(error))
            break
        _log(stream, chain, lost, status)
        if status in (200, 202):
            _take(stream, chain)
            return
        if status != 409 or not missing:
            break
        lost = lost | {missing}
        stream.excluded.add(missing)
    job.state.metrics.reroutes.labels("failed").inc()
    raise AnswerBroken("an engine of the chain died")


def _without(stream, lost):
    job = stream.job
    if stream.chain[0].address in lost:
        return None
    usable = [
        engine
        for engine in entrystate.candidates(job.state, job.service.name, now_s())
        if engine.address not in stream.excluded
    ]
    need = Need(stream.tokens, job.state.settings.vm_zone)
    model = job.service.model
    chain = chains.replace_parts(model, stream.chain, usable, lost, need)
    if chain is None or not chains.covers(chain, model.layers):
        return None
    return chain


def _take(stream, chain):
    state = stream.job.state
    entrystate.ended(state, stream.chain, stream.tokens)
    entrystate.began(state, chain, stream.tokens)
    stream.chain = chain
    state.metrics.reroutes.labels("done").inc()


def _log(stream, chain, lost, status):
    stream.job.note(
        "reroute",
        status=status,
        lost=sorted(lost),
        chain=engines.write_chain(chain),
        last_event=stream.last_event,
    )
