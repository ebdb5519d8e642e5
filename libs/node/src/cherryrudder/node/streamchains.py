"""Choose the chain of engines for a stream, and wait for one to become free."""

import math
from typing import TYPE_CHECKING

from cherryrudder.layers import chains, pace, pipes
from cherryrudder.layers.chains import Candidate, Chain, Need
from cherryrudder.policy.capacityqueue import WaitingStream
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import backoffs

from . import backpressure, entrystate, heldrequests, ratelimiter
from .stream import KeptChain

if TYPE_CHECKING:
    from .stream import Stream

# Part of the client's timeout that a stream waits for a chain. The rest is for reading
# the prompt: 0.05 s for a usual prompt at low load, more on busy engines.
WAIT_SHARE = 0.65
# Time to read a usual prompt. A stream that still has no chain this long before its
# objective will be late.
PROMPT_READ_S = 0.1
# Some of the layers are on no usable engine, or on none with room.
NO_CHAIN = "no chain"
NO_ROOM = "no room"
# All engines where the stream may begin limit their requests, and no permit is free.
LIMITED = "engines limit their requests"
# All engines where the stream may begin have asked this machine to back off.
BACKING_OFF = "engines ask to back off"
# Part of the heartbeat interval that an entry waits after its start before missing
# layers count as missing. Until then an engine may not have announced itself yet.
ANNOUNCED_SHARE = 0.5
# How long a chain found for a stream is kept: until its present attempt has ended.
KEPT_CHAIN_S = 0.05


async def wait_for_chain(stream: "Stream") -> Chain | None:
    """Return a chain with the stream's load added, or None if none is free in time."""
    job, began_s = stream.job, now_s()
    stream.refusal = ""
    scheduler = stream.supervisor.schedulers.get(job.service.name)
    await _acquire_permit(stream)
    if _is_backoff_too_long(stream, now_s()):
        stream.refusal = BACKING_OFF
        stream.retry_after_s = _backpressure_s(stream, now_s())
        return None
    try:
        chain = await scheduler.find_chain(
            _queue_entry(stream),
            lambda: _take_chain(stream),
            is_restricted=bool(
                stream.excluded(began_s)
                or allowed_first_engines(stream)
                or heldrequests.busy_engines(job, began_s)
            ),
        )
    except BaseException:
        # The client may disconnect just as its stream gets a chain. Without this, the
        # load would stay counted for as long as this process runs.
        release(stream)
        raise
    job.record_wait(now_s() - began_s, stream.refusal)
    if chain is None:
        stream.retry_after_s = scheduler.retry_after_s()
        if stream.refusal in (LIMITED, BACKING_OFF):
            backpressure_s = _backpressure_s(stream, now_s())
            stream.retry_after_s = max(stream.retry_after_s, backpressure_s)
        _log_no_chain(stream)
    return chain


async def _acquire_permit(stream):
    """Request permits for the limited engines in this entry's data centre.

    Their permit issuer is near, too, and answers sooner than the stream would reach
    another data centre. Permits for remote engines are requested when no other engine
    is left.
    """
    state, now = stream.job.state, now_s()
    if state.rates.book.limits:
        limited = _limited_firsts(stream, now, state.settings.vm_zone)
        await ratelimiter.acquire(state, limited)


def _limited_firsts(stream, now, vm_zone=""):
    """Return the engines where the stream could begin if it had a permit."""
    state = stream.job.state
    if not state.rates.book.limits:
        return []
    return [
        one.engine_id
        for one in _first_engines(stream, now)
        if vm_zone in ("", one.vm_zone)
        and not ratelimiter.may_send(state, one.engine_id, now)
        and not backoffs.is_active(state.backoffs, one.engine_id, now)
    ]


def _first_engines(stream, now):
    """Return the engines where the stream could begin, ignoring limits and backoffs."""
    state, avoided = stream.job.state, stream.excluded(now)
    only_at = allowed_first_engines(stream)
    return [
        one
        for one in entrystate.first_engines(state, stream.job.service.name, now)
        if one.address not in avoided and (not only_at or one.engine_id in only_at)
    ]


def _are_all_barred(stream, now):
    """Return whether limits or backoffs bar all engines where it could begin."""
    state = stream.job.state
    if not state.backoffs.backoffs and not state.rates.book.limits:
        return False
    firsts = _first_engines(stream, now)
    may_send = (backpressure.may_send(state, one.engine_id, now) for one in firsts)
    return bool(firsts) and not any(may_send)


def _is_backoff_too_long(stream, now):
    """Return whether all possible first engines back off for longer than it may wait.

    An answer that has begun can't be refused, so its stream waits in any case.
    """
    book = stream.job.state.backoffs
    if not book.backoffs or stream.has_begun:
        return False
    firsts = _first_engines(stream, now)
    lefts_s = [backoffs.left_s(book, one.engine_id, now) for one in firsts]
    return min(lefts_s, default=0.0) > max(0.0, _queue_entry(stream).expires_s - now)


def _backpressure_s(stream, now):
    """Return the time until some engine may take the stream, with jitter."""
    state = stream.job.state
    engine_ids = [one.engine_id for one in _first_engines(stream, now)]
    wait_s = backpressure.wait_s(state, engine_ids, now)
    return backpressure.retry_after_s(state, wait_s)


def _queue_entry(stream):
    """Return the queue's entry for a stream.

    A stream whose answer has begun waits until its client's timeout. Given up earlier,
    its answer would end in the middle while other streams were given room.
    """
    job, route = stream.job, stream.job.route
    give_up_s = min(job.arrived_s + WAIT_SHARE * job.client_timeout_s(), job.end_s)
    return WaitingStream(
        request_id=f"{job.facts.request_id}-{id(stream)}",
        account=job.admitted.account,
        tokens=stream.tokens,
        arrived_s=job.arrived_s,
        first_event_deadline_s=job.arrived_s + route.objective_s - PROMPT_READ_S,
        expires_s=job.client_leaves_s() if stream.has_begun else give_up_s,
        has_begun=stream.has_begun,
    )


def allowed_first_engines(stream: "Stream", is_running: bool = False) -> set[str]:
    """Return the only engines where the stream may begin again, empty for any engine.

    Problem: parts of two chains die one after the other during one answer. The route
    allows no third engine, and the answer used to end in the middle at once, although
    the first engines of both chains were alive. The stream may begin there again over
    other parts, or elsewhere once one of them is confirmed dead; until then it waits.

    A run counts until its engine is confirmed dead. This entry's own suspicion isn't
    enough, also for an engine that leaves: the engine may still be running the request,
    and a request that moves from one living engine to the next loads all of them.
    """
    state, ran = stream.job.state, set(stream.ran_engine_ids)
    if is_running:
        ran.add(stream.chain[0].engine_id)
    if len(ran) < stream.job.route.max_attempts:
        return set()
    counted = {e for e in ran if not entrystate.is_confirmed_dead(state, e)}
    return counted if len(counted) >= stream.job.route.max_attempts else set()


def has_other_chain(stream: "Stream", lost: set[str]) -> bool:
    """Return whether the stream could switch now to a whole chain without some engines.

    The chain is kept for the stream's next attempt. The search takes longer than
    everything else that an entry does for the stream, and the streams of a dead engine
    are handled one after the other.
    """
    job, now = stream.job, now_s()
    engines = usable_engines(stream, lost, now, is_running=True)
    need = Need(stream.tokens, job.state.settings.vm_zone)
    chain = chains.choose_chain(job.service.model, engines, need)
    if chain is None or not chains.covers(chain, job.service.model.layers):
        return False
    pause_s = pace.expected_pause_s(job.service.model, chain, engines)
    stream.kept_chain = KeptChain(chain, pause_s, now + KEPT_CHAIN_S)
    return True


def usable_engines(
    stream: "Stream",
    lost: set[str],
    now: float,
    is_running: bool = False,
    vm_zone: str = "",
) -> list[Candidate]:
    """Return the engines that the stream may use, without the lost addresses.

    Engines where it may not begin are included for the other parts of the chain.
    `is_running` counts the present run. `vm_zone` restricts the result to one data
    centre.
    """
    job = stream.job
    candidates = entrystate.candidates(job.state, job.service.name, now, vm_zone)
    avoided = stream.excluded(now) | lost
    left = [e for e in candidates if e.address not in avoided]
    firsts = allowed_first_engines(stream, is_running)
    barred = {e.engine_id for e in left if firsts and e.engine_id not in firsts}
    hanging = {e.engine_id for e in left if e.is_hanging}
    barred |= heldrequests.busy_engines(job, now)
    if any(e.first == 0 and e.engine_id not in barred | hanging for e in left):
        barred |= hanging
    # If all of them hang, they are used all the same: the belief may be wrong, and an
    # engine may start the request yet.
    return [e._replace(firsts=math.inf) if e.engine_id in barred else e for e in left]


def _take_chain(stream):
    """Return a chain and add the stream's load to it until `release`."""
    chain = _take_kept_chain(stream, now_s()) or _choose(stream)
    if chain is not None:
        stream.chain = chain
        stream.is_counted = True
        backpressure.record_request(stream.job.state, chain[0].engine_id, now_s())
        entrystate.add_load(stream.job.state, chain, stream.tokens)
    return chain


def _take_kept_chain(stream, now):
    """Return the chain kept for the stream, if it is still usable."""
    kept, stream.kept_chain = stream.kept_chain, None
    if kept is None or now > kept.until_s:
        return None
    if stream.excluded(now) & {part.address for part in kept.chain}:
        return None
    if any(
        entrystate.is_suspect(stream.job.state, part.engine_id, now)
        for part in kept.chain
    ):
        return None
    if not backpressure.may_send(stream.job.state, kept.chain[0].engine_id, now):
        return None
    stream.expected_pause_s = kept.expected_pause_s
    return kept.chain


def release(stream: "Stream") -> None:
    """Remove the stream's load from its chain, if it was added."""
    if stream.is_counted:
        stream.is_counted = False
        entrystate.remove_load(stream.job.state, stream.chain, stream.tokens)


def _choose(stream):
    """Return a chain, or None with the reason in `stream.refusal`."""
    job, now = stream.job, now_s()
    engines = usable_engines(stream, set(), now)
    need = Need(stream.tokens, job.state.settings.vm_zone)
    chain = chains.choose_chain(job.service.model, engines, need)
    if chain is None:
        chain = _choose_mixed(stream, engines, need, now)
    if chain is None:
        stream.refusal = _refusal(stream, engines, now)
        return None
    if not chains.covers(chain, job.service.model.layers):
        # Check again: a layer left out or run twice makes every token wrong, and no
        # later step would detect it.
        job.log_event("bad-chain", True, chain=[list(part) for part in chain])
        return None
    stream.expected_pause_s = pace.expected_pause_s(job.service.model, chain, engines)
    return chain


def _refusal(stream, engines, now):
    """Return why there is no chain; request permits where they are missing."""
    job = stream.job
    limited = _limited_firsts(stream, now)
    ratelimiter.request_permits(job.state, limited, now)
    if _are_all_barred(stream, now):
        return LIMITED if limited else BACKING_OFF
    is_whole = chains.has_full_copy(job.service.model, engines)
    return NO_ROOM if is_whole else NO_CHAIN


def _choose_mixed(stream, engines, need, now):
    """Return a chain over several data centres, as far as the links' budget allows.

    An entry that has just started returns none until most engines have had the time to
    announce themselves. After a power loss no data centre seems to hold all layers for
    some tenths of a second, and chains across all of them would fill the links between
    them for seconds.
    """
    state, model = stream.job.state, stream.job.service.model
    if now - state.started_s < ANNOUNCED_SHARE * state.settings.heartbeat_s:
        return None
    tokens = stream.job.facts.prompt_tokens
    min_s = pipes.crossing_s(model, tokens, 1)
    if not pipes.has_budget(state.pipes, min_s, state.entries, now):
        # The search over all data centres is the most expensive part of a choice, and
        # streams that wait for room would repeat it.
        return None
    chain = chains.choose_mixed_chain(model, engines, need)
    if chain is None:
        return None
    count = chains.crossings(chain, engines)
    cost_s = pipes.crossing_s(model, tokens, count)
    if not pipes.try_cross(state.pipes, cost_s, state.entries, now):
        return None
    stream.job.log_event(
        "crossing", crossings=count, debt_s=round(state.pipes.debt_s, 3)
    )
    return chain


def _log_no_chain(stream):
    """Log why there was no chain, with the layer that has the least free room."""
    job = stream.job
    engines = entrystate.candidates(job.state, job.service.name, now_s())
    layer, free = chains.tightest_layer(job.service.model, engines)
    job.log_event(
        "no-chain",
        reason=stream.refusal,
        tokens=stream.tokens,
        engines=len(engines),
        tightest_layer=layer,
        free_tokens=round(free),
        own_streams=len(stream.supervisor.streams),
        only_at=sorted(allowed_first_engines(stream)),
        limited=_limited_firsts(stream, now_s()),
    )
