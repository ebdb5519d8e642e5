"""Which chain a stream gets, and how long it waits for one."""

import math
from typing import TYPE_CHECKING

from cherryrudder.layers import chains, pace, pipes
from cherryrudder.layers.chains import Candidate, Chain, Need
from cherryrudder.policy.capacityqueue import WaitingStream
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import backoffs

from . import backpressure, entrystate, ratelimiter
from .stream import Offer

if TYPE_CHECKING:
    from .stream import Stream

# Part of a client's patience that its stream waits for a chain; the rest is for reading
# the prompt: 0.05 s for a usual one on a calm day, more on busy engines.
WAIT_SHARE = 0.65
# A usual prompt is read in this time, so that a stream which gets its chain later than
# this before its objective is late.
READ_S = 0.1
# Some layers are held by no engine that may be used, or by none with room.
NO_CHAIN = "no chain"
NO_ROOM = "no room"
# All engines at which the stream may begin limit their requests, and no permit is free.
LIMITED = "engines limit their requests"
# All of them have asked this machine to back off.
BACKING_OFF = "engines ask to back off"
# How long an entry waits after its start before a hole in the layers counts as one and
# not as an engine that is yet to be heard, in times between two heartbeats.
ANNOUNCED_SHARE = 0.5
# How long a chain that was found for a stream is kept: until its attempt has ended.
OFFER_S = 0.05


async def wait_for_chain(stream: "Stream") -> Chain | None:
    """Return a chain that is counted in, or None when none will be free in time."""
    job, began_s = stream.job, now_s()
    stream.refusal = ""
    desk = stream.watch.desks.get(job.service.name)
    await _acquire_permit(stream)
    if _backs_off_too_long(stream, now_s()):
        stream.refusal = BACKING_OFF
        stream.retry_after_s = _backpressure_s(stream, now_s())
        return None
    try:
        chain = await desk.find_chain(
            _waiting(stream),
            lambda: _take_chain(stream),
            is_restricted=bool(
                stream.excluded(began_s) or allowed_first_engines(stream)
            ),
        )
    except BaseException:
        # A client may leave at the moment at which its stream's turn has come. The
        # room would be counted as taken for as long as this process runs.
        release(stream)
        raise
    job.note_wait(now_s() - began_s, stream.refusal)
    if chain is None:
        stream.retry_after_s = desk.retry_after_s()
        if stream.refusal in (LIMITED, BACKING_OFF):
            told_s = _backpressure_s(stream, now_s())
            stream.retry_after_s = max(stream.retry_after_s, told_s)
        _note_no_chain(stream)
    return chain


async def _acquire_permit(stream):
    """Ask for a permit at a limited engine that is beside this entry.

    Its issuer is near, too, and answers sooner than the stream would get to another
    data centre. Farther engines are asked for when nothing else is left.
    """
    state, now = stream.job.state, now_s()
    if state.rates.book.limits:
        limited = _limited_firsts(stream, now, state.settings.vm_zone)
        await ratelimiter.acquire(state, limited)


def _limited_firsts(stream, now, vm_zone=""):
    """Return the limited engines at which a stream could begin if it had a permit."""
    state = stream.job.state
    if not state.rates.book.limits:
        return []
    return [
        one.engine_id
        for one in _firsts(stream, now)
        if vm_zone in ("", one.vm_zone)
        and not ratelimiter.may_begin(state, one.engine_id, now)
        and not backoffs.is_active(state.backoffs, one.engine_id, now)
    ]


def _firsts(stream, now):
    """Return the engines at which a stream could begin if they took requests."""
    state, avoided = stream.job.state, stream.excluded(now)
    only_at = allowed_first_engines(stream)
    return [
        one
        for one in entrystate.serving_endpoints(state, stream.job.service.name, now)
        if one.holding.first == 0 < one.holding.end
        and one.address not in avoided
        and (not only_at or one.engine_id in only_at)
        and not entrystate.is_suspect(state, one.engine_id, now)
    ]


def _are_barred(stream, now):
    """Tell whether no engine at which a stream could begin takes a request now."""
    state = stream.job.state
    if not state.backoffs.backoffs and not state.rates.book.limits:
        return False
    firsts = _firsts(stream, now)
    may_begin = (backpressure.may_begin(state, one.engine_id, now) for one in firsts)
    return bool(firsts) and not any(may_begin)


def _backs_off_too_long(stream, now):
    """Tell whether all engines at which a stream could begin want nothing for too long.

    An answer that has begun can't be refused, so it waits.
    """
    book = stream.job.state.backoffs
    if not book.backoffs or stream.has_begun:
        return False
    firsts = _firsts(stream, now)
    lefts_s = [backoffs.left_s(book, one.engine_id, now) for one in firsts]
    return min(lefts_s, default=0.0) > max(0.0, _waiting(stream).expires_s - now)


def _backpressure_s(stream, now):
    """Return when some engine may take a stream, spread over those that wait."""
    state = stream.job.state
    engine_ids = [one.engine_id for one in _firsts(stream, now)]
    wait_s = backpressure.wait_s(state, engine_ids, now)
    return backpressure.retry_after_s(state, wait_s)


def _waiting(stream):
    """Return what the queue is told of a stream.

    One that was interrupted waits until its client leaves. Given up after a part of
    that time it ended in the middle while others were given room.
    """
    job, route = stream.job, stream.job.route
    give_up_s = min(job.arrived_s + WAIT_SHARE * job.patience_s(), job.end_s)
    return WaitingStream(
        request_id=f"{job.facts.request_id}-{id(stream)}",
        account=job.admitted.account,
        tokens=stream.tokens,
        arrived_s=job.arrived_s,
        first_event_deadline_s=job.arrived_s + route.objective_s - READ_S,
        expires_s=job.leaves_s() if stream.has_begun else give_up_s,
        has_begun=stream.has_begun,
    )


def allowed_first_engines(stream: "Stream", is_running: bool = False) -> set[str]:
    """Return the only engines at which a stream may begin again, nothing for any.

    Failure: parts of two chains die one after the other under one answer. The route
    allows no third engine, and the answer ended in the middle at once, although the
    first engines of both chains lived. It may begin there again over other parts, or
    elsewhere once one of them is known to have ended; until then it waits.

    A run counts until its engine has ended for certain. The entry's own suspicion isn't
    enough, also of an engine that leaves: it may still be at work, and a request that
    is taken from living engines again and again is work for all of them.
    """
    state, ran = stream.job.state, set(stream.ran_engine_ids)
    if is_running:
        ran.add(stream.chain[0].engine_id)
    if len(ran) < stream.job.route.max_attempts:
        return set()
    counted = {e for e in ran if not entrystate.is_confirmed_dead(state, e)}
    return counted if len(counted) >= stream.job.route.max_attempts else set()


def has_other_chain(stream: "Stream", lost: set[str]) -> bool:
    """Tell whether a stream could leave its chain for one without some engines now.

    The chain is kept for it, for the moment in which it leaves: the search takes longer
    than all else that an entry does for it, and each stream of a dead engine is waited
    for by the next one.
    """
    job, now = stream.job, now_s()
    engines = usable(stream, lost, now, is_running=True)
    need = Need(stream.tokens, job.state.settings.vm_zone)
    chain = chains.choose_chain(job.service.model, engines, need)
    if chain is None or not chains.covers(chain, job.service.model.layers):
        return False
    pause_s = pace.expected_pause_s(job.service.model, chain, engines)
    stream.offer = Offer(chain, pause_s, now + OFFER_S)
    return True


def usable(
    stream: "Stream",
    lost: set[str],
    now: float,
    is_running: bool = False,
    vm_zone: str = "",
) -> list[Candidate]:
    """Return the engines that a stream may go over, without some.

    Those at which it may not begin are there for the other parts. `is_running` counts
    the run that is under way. Those of one data centre, if it is given.
    """
    job = stream.job
    candidates = entrystate.candidates(job.state, job.service.name, now, vm_zone)
    avoided = stream.excluded(now) | lost
    left = [e for e in candidates if e.address not in avoided]
    firsts = allowed_first_engines(stream, is_running)
    if not firsts:
        return left
    return [e if e.engine_id in firsts else e._replace(firsts=math.inf) for e in left]


def _take_chain(stream):
    """Return a chain and count it in; it is counted out when its attempt ends."""
    chain = _take_offer(stream, now_s()) or _choose(stream)
    if chain is not None:
        stream.chain = chain
        stream.is_counted = True
        backpressure.record_request(stream.job.state, chain[0].engine_id, now_s())
        entrystate.began(stream.job.state, chain, stream.tokens)
    return chain


def _take_offer(stream, now):
    """Return the chain that was kept for a stream, if it may still go over it."""
    offer, stream.offer = stream.offer, None
    if offer is None or now > offer.until_s:
        return None
    if stream.excluded(now) & {part.address for part in offer.chain}:
        return None
    if any(
        entrystate.is_suspect(stream.job.state, part.engine_id, now)
        for part in offer.chain
    ):
        return None
    if not backpressure.may_begin(stream.job.state, offer.chain[0].engine_id, now):
        return None
    stream.expected_pause_s = offer.expected_pause_s
    return offer.chain


def release(stream: "Stream") -> None:
    """Count a stream's chain out, if it is counted in."""
    if stream.is_counted:
        stream.is_counted = False
        entrystate.ended(stream.job.state, stream.chain, stream.tokens)


def _choose(stream):
    """Return a chain, or None and why there is none in `refusal`."""
    job, now = stream.job, now_s()
    engines = usable(stream, set(), now)
    need = Need(stream.tokens, job.state.settings.vm_zone)
    chain = chains.choose_chain(job.service.model, engines, need)
    if chain is None:
        chain = _choose_mixed(stream, engines, need, now)
    if chain is None:
        stream.refusal = _refusal(stream, engines, now)
        return None
    if not chains.covers(chain, job.service.model.layers):
        # Checked again where it is sent: a layer left out or run twice spoils every
        # token, and nothing behind would notice.
        job.note("bad-chain", True, chain=[list(part) for part in chain])
        return None
    stream.expected_pause_s = pace.expected_pause_s(job.service.model, chain, engines)
    return chain


def _refusal(stream, engines, now):
    """Return why there is no chain, and ask for permits if these are what it lacks."""
    job = stream.job
    limited = _limited_firsts(stream, now)
    ratelimiter.request_permits(job.state, limited, now)
    if _are_barred(stream, now):
        return LIMITED if limited else BACKING_OFF
    is_whole = chains.has_full_copy(job.service.model, engines)
    return NO_ROOM if is_whole else NO_CHAIN


def _choose_mixed(stream, engines, need, now):
    """Return a chain over several data centres, as far as the pipes allow.

    Not before most engines have had the time to announce themselves to an entry that
    has just started: after a loss of power no data centre seems whole for some tenths
    of a second, and chains over all of them would fill the pipes for seconds.
    """
    state, model = stream.job.state, stream.job.service.model
    if now - state.started_s < ANNOUNCED_SHARE * state.settings.heartbeat_s:
        return None
    tokens = stream.job.facts.prompt_tokens
    least_s = pipes.crossing_s(model, tokens, 1)
    if not pipes.has_budget(state.pipes, least_s, state.entries, now):
        # The search over all data centres is the dearest part of a choice, and those
        # that wait for room would make it again and again.
        return None
    chain = chains.choose_mixed_chain(model, engines, need)
    if chain is None:
        return None
    count = chains.crossings(chain, engines)
    cost_s = pipes.crossing_s(model, tokens, count)
    if not pipes.try_cross(state.pipes, cost_s, state.entries, now):
        return None
    stream.job.note("crossing", crossings=count, debt_s=round(state.pipes.debt_s, 3))
    return chain


def _note_no_chain(stream):
    """Log what a stream lacked: which layer is held by too few, or too full."""
    job = stream.job
    engines = entrystate.candidates(job.state, job.service.name, now_s())
    layer, free = chains.tightest_layer(job.service.model, engines)
    job.note(
        "no-chain",
        reason=stream.refusal,
        tokens=stream.tokens,
        engines=len(engines),
        tightest_layer=layer,
        free_tokens=round(free),
        own_streams=len(stream.watch.streams),
        only_at=sorted(allowed_first_engines(stream)),
        limited=_limited_firsts(stream, now_s()),
    )
