"""Apply engines' rate limits and backoffs before a request is sent to them.

An engine may limit the requests of all entries together (`ratelimiter`), and may ask
this machine to back off. Every code path that sends a request checks here first.
"""

from collections.abc import Collection
from typing import TYPE_CHECKING

from cherryrudder.platform.messages import AnswerFacts
from cherryrudder.routing import backoffs

from . import entrystate, ratelimiter, tablesync

if TYPE_CHECKING:
    from .entrystate import EntryState
    from .job import Job

# Statuses with which an engine may ask to back off for a given time.
BACKOFF_STATUSES = frozenset({429, 503})
# Minimum Retry-After for clients, and the random share that is added to it.
MIN_RETRY_AFTER_S = 0.1
RETRY_AFTER_JITTER = 0.5


def record_answer(
    job: "Job", engine_id: str, status: int, facts: AnswerFacts, now_s: float
) -> None:
    """Record the limit, backoff or notice to leave in an engine's answer."""
    ratelimiter.record_answer(job, engine_id, facts, now_s)
    state = job.state
    if facts.is_leaving:
        _record_leaving(job, engine_id, now_s)
    if asks_for_backoff(status, facts):
        _record_backoff(job, engine_id, facts, now_s)
    elif backoffs.record_answer(state.backoffs, engine_id, job.sent_s):
        job.log_event("engine-backoff-over", engine_id=engine_id)


def asks_for_backoff(status: int, facts: AnswerFacts) -> bool:
    """Return whether an answer asks this machine to back off."""
    return status in BACKOFF_STATUSES and bool(facts.retry_after_s)


def _record_leaving(job, engine_id, now_s):
    """Send no new work to an engine that leaves, and inform the other processes."""
    state = job.state
    if tablesync.record_leaving(state.endpoints, engine_id, now_s):
        state.leaving_since_s.setdefault(engine_id, now_s)
        state.metrics.beliefs.labels("engine-leaving").inc()
        job.log_event("engine-leaving", True, engine_id=engine_id)
        state.publish_endpoints([engine_id])


def _record_backoff(job, engine_id, facts, now_s):
    """Back off from the engine that answered, and from the one named as at fault."""
    state, backoff_s = job.state, facts.retry_after_s
    backoffs.start(state.backoffs, engine_id, backoff_s, now_s)
    at_fault = entrystate.engine_at(state, facts.fault_address, now_s)
    if at_fault is not None:
        backoffs.start(state.backoffs, at_fault.engine_id, backoff_s, now_s)
    state.metrics.beliefs.labels("engine-backoff").inc()
    job.log_event(
        "engine-backoff",
        True,
        engine_id=engine_id,
        fault_address=facts.fault_address,
        backoff_s=backoff_s,
    )


def may_send(state: "EntryState", engine_id: str, now_s: float) -> bool:
    """Return whether a request may be sent to an engine now.

    This runs for each engine at each choice, so engines without a limit or backoff are
    decided by two look-ups.
    """
    if engine_id in state.backoffs.backoffs:
        if not backoffs.may_send(state.backoffs, engine_id, now_s):
            return False
    if engine_id in state.rates.book.limits:
        return ratelimiter.may_send(state, engine_id, now_s)
    return True


def record_request(state: "EntryState", engine_id: str, now_s: float) -> None:
    """Record a request that is about to be sent to an engine."""
    backoffs.record_sent(state.backoffs, engine_id, now_s)
    ratelimiter.use_permit(state, engine_id, now_s)


def wait_s(state: "EntryState", engine_ids: Collection[str], now_s: float) -> float:
    """Return the time until any of the engines may be sent a request."""
    return min(
        (
            max(
                backoffs.left_s(state.backoffs, engine_id, now_s),
                ratelimiter.wait_s(state, engine_id, now_s),
            )
            for engine_id in engine_ids
        ),
        default=0.0,
    )


def retry_after_s(state: "EntryState", wait_s: float) -> float:
    """Return when a client may retry, with jitter so that not all retry at once."""
    return max(MIN_RETRY_AFTER_S, wait_s) * (
        1.0 + RETRY_AFTER_JITTER * state.rng.random()
    )
