"""Limit an entry's requests to the rates that engines ask for.

An entry takes limits from engines' answers and from other processes' reports. Before it
sends a request to a limited engine, it asks for a permit (see `permitissuer`).
"""

from collections.abc import Callable, Collection
from typing import TYPE_CHECKING, NamedTuple

import anyio

from cherryrudder.platform.messages import AnswerFacts
from cherryrudder.policy import permits
from cherryrudder.policy.permits import Holder
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import ratelimits
from cherryrudder.routing.ratelimits import Limit, LimitBook
from cherryrudder.wire import timeouts

from .gossip import LimitUpdate, PermitGrant, PermitRequest, ReportedLimit

if TYPE_CHECKING:
    from .entrystate import EntryState
    from .job import Job

# An issuer in the same data centre answers within some milliseconds, one in another
# region within 50 ms.
PERMIT_TIMEOUT_S = 0.06


class LimitView(NamedTuple):
    """A limit as shown to operators."""

    engine_id: str
    limit_per_s: float | None
    age_s: float
    # Permits that this entry may use now.
    permits: int
    wait_s: float


class RateLimiter:
    """The engines' limits known to one entry, and its permits."""

    def __init__(self):
        self.book = LimitBook()
        self.holders: dict[str, Holder] = {}
        # Replaced by the uplink: send requests to an engine's issuer, and limits to
        # control VMs.
        self.send_request: Callable[[PermitRequest], None] = lambda request: None
        self.publish: Callable[[LimitUpdate], None] = lambda update: None
        # Set when an issuer has answered, and replaced by a new event.
        self.answered = anyio.Event()


def record_answer(job: "Job", engine_id: str, facts: AnswerFacts, now_s: float) -> None:
    """Record the limit stated in an engine's answer, and publish a change."""
    rates = job.state.rates
    if facts.has_bad_limit:
        job.log_event("engine-limit-unreadable", engine_id=engine_id)
    if facts.has_bad_limit and facts.limit_per_s is None:
        return
    known = rates.book.limits.get(engine_id)
    if facts.limit_per_s is None and (known is None or job.sent_s <= known.stated_s):
        # The engine may have sent this answer before it set the limit.
        return
    if ratelimits.record_limit(rates.book, engine_id, Limit(facts.limit_per_s, now_s)):
        job.log_event("engine-limit-named", True, engine_id=engine_id)
        _log_change(job.state, engine_id, known)
        rates.publish(LimitUpdate((ReportedLimit(engine_id, facts.limit_per_s, 0.0),)))


def record_limits(
    state: "EntryState", reported: Collection[ReportedLimit], now_s: float
) -> None:
    """Record limits reported by other processes."""
    book = state.rates.book
    for one in reported:
        known = book.limits.get(one.engine_id)
        stated = Limit(one.per_s, now_s - one.age_s)
        if ratelimits.record_limit(book, one.engine_id, stated):
            _log_change(state, one.engine_id, known)


def _log_change(state, engine_id, before):
    state.metrics.beliefs.labels("engine-limit").inc()
    state.sink.write(
        "rates",
        "engine-limit",
        True,
        engine_id=engine_id,
        limit_per_s=ratelimits.limit_of(state.rates.book, engine_id),
        old_limit_per_s=before and before.per_s,
    )


def report_limits(book: LimitBook, now_s: float) -> tuple[ReportedLimit, ...]:
    """Return the limits in the form in which they are sent."""
    return tuple(
        ReportedLimit(engine_id, limit.per_s, now_s - limit.stated_s)
        for engine_id, limit in book.limits.items()
    )


def sweep(rates: RateLimiter, known: Collection[str], now_s: float) -> None:
    """Drop the limits of engines that are gone, and those that ended long ago."""
    ratelimits.sweep(rates.book, known, now_s)
    rates.holders = {e: h for e, h in rates.holders.items() if e in rates.book.limits}


def may_send(state: "EntryState", engine_id: str, now_s: float) -> bool:
    """Return whether a request may be sent to an engine now."""
    limit_per_s = ratelimits.limit_of(state.rates.book, engine_id)
    if limit_per_s is None:
        return True
    holder = _holder(state.rates, engine_id)
    return permits.has_permit(holder, limit_per_s, state.entries, now_s)


def use_permit(state: "EntryState", engine_id: str, now_s: float) -> None:
    """Use a permit for a request that is about to be sent."""
    if ratelimits.limit_of(state.rates.book, engine_id) is not None:
        permits.use_permit(_holder(state.rates, engine_id), now_s)


def request_permits(
    state: "EntryState", engine_ids: Collection[str], now_s: float
) -> None:
    """Request a permit for each engine whose issuer may have one."""
    rates = state.rates
    for engine_id in engine_ids:
        holder = _holder(rates, engine_id)
        if not permits.may_request(holder, now_s):
            continue
        permits.record_request(holder, now_s)
        limit = rates.book.limits[engine_id]
        reported = ReportedLimit(engine_id, limit.per_s, now_s - limit.stated_s)
        rates.send_request(PermitRequest(state.address, reported, 1))


async def acquire(state: "EntryState", engine_ids: Collection[str]) -> None:
    """Request a permit for each engine, and wait up to PERMIT_TIMEOUT_S for answers."""
    rates, asked_s = state.rates, now_s()
    needed = [e for e in engine_ids if not may_send(state, e, asked_s)]
    if not needed:
        return
    request_permits(state, needed, asked_s)

    def is_pending(engine_id):
        if may_send(state, engine_id, now_s()):
            return False
        return permits.is_pending(_holder(rates, engine_id), now_s())

    with timeouts.move_on_after(PERMIT_TIMEOUT_S) as timeout:
        while any(is_pending(engine_id) for engine_id in needed):
            await rates.answered.wait()
    if timeout.is_expired:
        state.metrics.permits.labels("unanswered").inc()
        state.sink.write("rates", "permit-unanswered", engine_ids=needed)


def record_grant(state: "EntryState", answer: PermitGrant, now_s: float) -> None:
    """Record an issuer's answer."""
    rates = state.rates
    holder = _holder(rates, answer.engine_id)
    permits.record_grant(holder, answer.grant, now_s)
    outcome = "granted" if answer.grant.permits else "denied"
    state.metrics.permits.labels(outcome).inc()
    rates.answered.set()
    rates.answered = anyio.Event()


def wait_s(state: "EntryState", engine_id: str, now_s: float) -> float:
    """Return the time until an engine may take another request, 0 without a limit."""
    if ratelimits.limit_of(state.rates.book, engine_id) is None:
        return 0.0
    return permits.wait_s(_holder(state.rates, engine_id), now_s)


def dump(rates: RateLimiter, now_s: float) -> list[LimitView]:
    """Return the limits for operators."""
    return [
        LimitView(
            engine_id,
            limit.per_s,
            round(now_s - limit.stated_s, 3),
            len(_holder(rates, engine_id).until_s),
            round(permits.wait_s(_holder(rates, engine_id), now_s), 3),
        )
        for engine_id, limit in rates.book.limits.items()
    ]


def _holder(rates, engine_id):
    return rates.holders.setdefault(engine_id, Holder())
