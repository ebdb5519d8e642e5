"""An entry's part in trials of requests, and parts, that engines have ended under.

A held request is refused in a way that its client may repeat: whether this one or
another one ends the engines isn't known yet. So is one that has a blocked part, as it
has ended no engine itself.
"""

import anyio

from cherryrudder.replica.clock import now_s
from cherryrudder.routing import blame, trials
from cherryrudder.routing.crashbook import RequestRecord

from . import crashes
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


async def wait_for_turn(
    job: Job, has_begun: bool = False, is_resumed: bool = False
) -> bool:
    """Wait until a request may be sent, on trial if it is held; return if it may.

    It gives up at once if no trial begins in time. An answer that has begun waits until
    its client leaves, since it can't be refused any more.
    """
    until_s = min(job.end_s, now_s() + PATIENCE_S)
    if has_begun:
        until_s = job.client_leaves_s()
    while not may_send(job, now_s(), is_resumed):
        if _opens_s(job, now_s()) > until_s and not _is_on_trial(job, now_s()):
            return False
        if now_s() >= until_s:
            return False
        await anyio.sleep(POLL_S)
    return True


def may_send(job: Job, now_s: float, is_resumed: bool = False) -> bool:
    """Return whether a request isn't held, or may be sent on trial now.

    The rest of an answer can't clear a part, so it doesn't take the turn of a request
    that can.
    """
    if crashes.find_blocked_part(job, now_s) is not None:
        return False
    boot, entries = job.state.crashes.book.boot, job.state.entries
    held = _held_records(job, now_s)
    if is_resumed and held.keys() - {job.fingerprint}:
        return False
    return trials.wait_for_all_s(held, boot, entries, now_s) <= 0.0


def begin(job: Job, engine_id: str, now_s: float) -> CrashUpdate | None:
    """Record that a request is sent, on trial if held; return the update for others."""
    held = _held_records(job, now_s)
    job.on_trial = frozenset(held)
    if not held:
        return None
    updates = {}
    for fingerprint, record in held.items():
        trial = trials.next_trial(record, engine_id, now_s)
        job.log_event(
            "trial",
            True,
            fingerprint=fingerprint,
            prompt_part=record.part,
            engine_id=engine_id,
            number=trial.number,
            crashed=[crash.engine_id for crash in record.crashes],
        )
        updates[fingerprint] = RequestRecord(
            record.account, record.service, part=record.part, trial=trial
        )
    return job.state.crashes.record(updates, now_s)


def end(job: Job, now_s: float) -> CrashUpdate | None:
    """Record that a trial is over, whose engine lives; return the update for others."""
    book, updates = job.state.crashes.book, {}
    for fingerprint in job.on_trial & book.records.keys():
        record = book.records[fingerprint]
        if trials.is_running(record):
            over = record.trial._replace(is_over=True)
            updates[fingerprint] = record._replace(crashes=(), trial=over)
    return job.state.crashes.record(updates, now_s) if updates else None


def busy_engines(job: Job, now_s: float) -> set[str]:
    """Return the engines that a suspect avoids, as others are on trial there."""
    book = job.state.crashes.book
    if not book.held_until_s:
        return set()
    own = {job.fingerprint, *_held_records(job, now_s)}
    return set().union(*(trials.busy_engines(book, one, now_s) for one in own))


def refusal(job: Job, has_run: bool, now_s: float) -> FailedAttempt:
    """Return why a held request isn't sent, and when it may be tried next."""
    wait_s = _opens_s(job, now_s) - now_s
    if _is_on_trial(job, now_s):
        wait_s = PATIENCE_S
    retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return HELD._replace(is_not_run=not has_run, retry_after_s=retry_after_s)


def _opens_s(job, now_s):
    """Return from when a request may be tried, as far as is known."""
    book = job.state.crashes.book
    part = crashes.find_blocked_part(job, now_s)
    until_s = [] if part is None else [book.blocks[part].until_s]
    held = _held_records(job, now_s).values()
    return max([*until_s, *(trials.opens_s(one) for one in held)], default=now_s)


def _is_on_trial(job, now_s):
    """Return whether a result may come at any time that lets a request go on."""
    if crashes.find_blocked_part(job, now_s) is not None:
        return False
    return any(trials.is_running(one) for one in _held_records(job, now_s).values())


def _held_records(job, now_s):
    """Return the records of a request and its parts that are held, by fingerprint."""
    book = job.state.crashes.book
    if not book.held_until_s:
        return {}
    held = blame.find_held(book, crashes.fingerprints(job), now_s)
    return {one: book.records[one] for one in held}
