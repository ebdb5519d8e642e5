"""An entry's part in trials of requests that engines have ended under.

A held request is refused in a way that its client may repeat: whether this one or
another one ends the engines isn't known yet.
"""

import anyio

from cherryrudder.replica.clock import now_s
from cherryrudder.routing import blame, trials
from cherryrudder.routing.crashbook import RequestRecord

from .gossip import CrashUpdate
from .job import FailedAttempt, Job

HELD = FailedAttempt(
    "held until it is known whether it ends its engines",
    is_not_run=True,
    is_sent=False,
)
# How long a request waits for its turn at this entry, or for another's result.
PATIENCE_S = 1.0
POLL_S = 0.02
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.5, 5.0


async def wait_for_turn(job: Job, has_begun: bool = False) -> bool:
    """Wait until a request may be sent, on trial if it is held; return if it may.

    It gives up at once if no trial begins in time. An answer that has begun waits until
    its client leaves, since it can't be refused any more.
    """
    until_s = min(job.end_s, now_s() + PATIENCE_S)
    if has_begun:
        until_s = job.client_leaves_s()
    while (record := _held_record(job, now_s())) is not None:
        if _wait_s(job, record, now_s()) <= 0.0:
            return True
        is_hopeless = not trials.is_running(record) and trials.opens_s(record) > until_s
        if is_hopeless or now_s() >= until_s:
            return False
        await anyio.sleep(POLL_S)
    return True


def may_send(job: Job, now_s: float) -> bool:
    """Return whether a request isn't held, or may be sent on trial now."""
    record = _held_record(job, now_s)
    return record is None or _wait_s(job, record, now_s) <= 0.0


def begin(job: Job, engine_id: str, now_s: float) -> CrashUpdate | None:
    """Record that a request is sent, on trial if held; return the update for others."""
    record = _held_record(job, now_s)
    job.is_trial = record is not None
    if record is None:
        return None
    trial = trials.next_trial(record, engine_id, now_s)
    job.log_event(
        "trial",
        True,
        fingerprint=job.fingerprint,
        engine_id=engine_id,
        number=trial.number,
        crashed=[crash.engine_id for crash in record.crashes],
    )
    update = RequestRecord(record.account, record.service, trial=trial)
    return job.state.crashes.record({job.fingerprint: update}, now_s)


def busy_engines(job: Job, now_s: float) -> set[str]:
    """Return the engines that a suspect avoids, as others are on trial there."""
    book = job.state.crashes.book
    if not book.held_until_s:
        return set()
    return trials.busy_engines(book, job.fingerprint, now_s)


def refusal(job: Job, has_run: bool, now_s: float) -> FailedAttempt:
    """Return why a held request isn't sent, and when it may be tried next."""
    record, wait_s = _held_record(job, now_s), 0.0
    if record is not None:
        is_running = trials.is_running(record)
        wait_s = PATIENCE_S if is_running else trials.opens_s(record) - now_s
    retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return HELD._replace(is_not_run=not has_run, retry_after_s=retry_after_s)


def _held_record(job, now_s):
    """Return a request's record if it is held, otherwise None."""
    book = job.state.crashes.book
    if not book.held_until_s or not blame.is_held(book, job.fingerprint, now_s):
        return None
    return book.records[job.fingerprint]


def _wait_s(job, record, now_s):
    boot, entries = job.state.crashes.book.boot, job.state.entries
    return trials.wait_s(record, job.fingerprint, boot, entries, now_s)
