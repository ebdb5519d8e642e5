"""What engines ask of this entry, before any request is sent to them.

An engine may limit the requests of all entries together (`ratekeeper`), and ask this
machine to back off. Every path on which a request goes out asks here.
"""

from collections.abc import Collection
from typing import TYPE_CHECKING

from cherryrudder.platform.messages import AnswerFacts
from cherryrudder.routing import backoffs

from . import entrystate, ratelimiter, tablesync

if TYPE_CHECKING:
    from .entrystate import EntryState
    from .job import Job

# An engine's answer with one of these may say for how long it wants nothing more.
TURNED_AWAY = frozenset({429, 503})
# Clients are told to come back after this at least, spread over so much more time.
LEAST_RETRY_S = 0.1
RETRY_SPREAD = 0.5


def note_answer(
    job: "Job", engine_id: str, status: int, facts: AnswerFacts, now_s: float
) -> None:
    """Take what an engine's answer asks for."""
    ratelimiter.note_answer(job, engine_id, facts, now_s)
    state = job.state
    if facts.is_leaving:
        _note_leaving(job, engine_id, now_s)
    if asks_for_backoff(status, facts):
        _note_backoff(job, engine_id, facts, now_s)
    elif backoffs.record_answer(state.backoffs, engine_id, job.sent_s):
        job.note("engine-backoff-over", engine_id=engine_id)


def asks_for_backoff(status: int, facts: AnswerFacts) -> bool:
    """Tell whether an answer turns this machine away for some time."""
    return status in TURNED_AWAY and bool(facts.retry_after_s)


def _note_leaving(job, engine_id, now_s):
    """Give an engine that says that it leaves no new work, here and elsewhere."""
    state = job.state
    if tablesync.record_leaving(state.endpoints, engine_id, now_s):
        state.leaving_since_s.setdefault(engine_id, now_s)
        state.metrics.beliefs.labels("engine-leaving").inc()
        job.note("engine-leaving", True, engine_id=engine_id)
        state.spread_endpoints([engine_id])


def _note_backoff(job, engine_id, facts, now_s):
    """Leave the engine that answered alone, and the one that it names as at fault."""
    state, backoff_s = job.state, facts.retry_after_s
    backoffs.start(state.backoffs, engine_id, backoff_s, now_s)
    named = entrystate.engine_at(state, facts.fault_address, now_s)
    if named is not None:
        backoffs.start(state.backoffs, named.engine_id, backoff_s, now_s)
    state.metrics.beliefs.labels("engine-backoff").inc()
    job.note(
        "engine-backoff",
        True,
        engine_id=engine_id,
        fault_address=facts.fault_address,
        backoff_s=backoff_s,
    )


def may_begin(state: "EntryState", engine_id: str, now_s: float) -> bool:
    """Tell whether a request may be sent to an engine now.

    It is asked for each engine at each choice; most ask for nothing.
    """
    if engine_id in state.backoffs.backoffs:
        if not backoffs.may_send(state.backoffs, engine_id, now_s):
            return False
    if engine_id in state.rates.book.limits:
        return ratelimiter.may_begin(state, engine_id, now_s)
    return True


def record_request(state: "EntryState", engine_id: str, now_s: float) -> None:
    """Take note of a request that is about to be sent."""
    backoffs.record_sent(state.backoffs, engine_id, now_s)
    ratelimiter.use_permit(state, engine_id, now_s)


def wait_s(state: "EntryState", engine_ids: Collection[str], now_s: float) -> float:
    """Return the time until one of some engines may be sent a request."""
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
    """Return when a client may come back, spread so that not all come at once."""
    return max(LEAST_RETRY_S, wait_s) * (1.0 + RETRY_SPREAD * state.rng.random())
