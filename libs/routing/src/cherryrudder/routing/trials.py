"""Trials: when a held request, or one with a held part, runs apart from other suspects.

Entries send by themselves, so they take turns: in each round after the newest crash or
trial each draws a time of its own, and the first one that has the request begins. The
others learn of it within some milliseconds, and wait for its result. Each trial makes
the next one wait longer, as it may show nothing: its client may leave, or another
suspect may run on its engine.
"""

import hashlib
from collections.abc import Mapping

from .crashbook import FINISHED, CrashBook, RequestRecord, Trial, last_crash_s

# Time after a crash until all processes have its record, and most runs that began
# before have ended.
SETTLE_S = 0.5
# Mean time between the turns of two entries before a first trial: some times as long as
# a message takes. It doubles with each trial, as more entries have the request by then.
TURN_S = 0.5
TURN_FACTOR = 2.0
# Turns in a round: more entries than that rarely have the same request at once.
MAX_TURNS = 16
MAX_DOUBLED_TURNS = 4
# How long an entry's turn is.
OPEN_S = 0.5
# Time in which the result of a trial is known: most answers are over by then.
TRIAL_S = 5.0
# Factor by which both grow with each trial since the last whole run.
BACKOFF_FACTOR = 4.0
MAX_WAIT_S = 600.0
DRAW_BYTES = 4


def wait_s(
    record: RequestRecord, fingerprint: str, boot: str, entries: float, now_s: float
) -> float:
    """Return how long an entry waits before the next trial of a request, 0 for none.

    `boot` tells entries apart, of which there are `entries`.
    """
    left_s = opens_s(record) - now_s
    if left_s > 0.0 or entries <= 1:
        return max(0.0, left_s)
    turn_s = TURN_S * TURN_FACTOR ** min(_number(record), MAX_DOUBLED_TURNS)
    round_s = min(entries, MAX_TURNS) * turn_s
    number, since_s = divmod(-left_s, round_s)
    text = f"{boot} {fingerprint} {opens_s(record):.0f}"
    turn_s = _draw(f"{text} {number}") * round_s
    if since_s < turn_s:
        return turn_s - since_s
    if since_s < turn_s + OPEN_S:
        return 0.0
    return round_s - since_s + _draw(f"{text} {number + 1}") * round_s


def wait_for_all_s(
    held: Mapping[str, RequestRecord], boot: str, entries: float, now_s: float
) -> float:
    """Return how long an entry waits until a trial of several records may begin.

    There is one draw for all of them, as turns of several rarely come together.
    """
    if not held:
        return 0.0
    last = max(held, key=lambda one: (opens_s(held[one]), one))
    return wait_s(held[last], last, boot, entries, now_s)


def opens_s(record: RequestRecord) -> float:
    """Return from when entries take turns at the next trial."""
    factor = BACKOFF_FACTOR ** _number(record)
    if is_running(record):
        running_s = TRIAL_S * factor / BACKOFF_FACTOR
        return record.trial.begun_s + min(MAX_WAIT_S, running_s)
    return last_crash_s(record) + min(MAX_WAIT_S, SETTLE_S * factor)


def is_running(record: RequestRecord) -> bool:
    """Return whether nothing has been seen of a request since its newest trial."""
    trial = record.trial
    if trial is None or trial.is_over or trial.begun_s < last_crash_s(record):
        return False
    return record.passed != FINISHED or record.passed_s < trial.begun_s


def next_trial(record: RequestRecord, engine_id: str, now_s: float) -> Trial:
    """Return a request's trial that begins now."""
    return Trial(engine_id, now_s, _number(record) + 1)


def busy_engines(book: CrashBook, fingerprint: str, now_s: float) -> set[str]:
    """Return the engines that a suspect avoids, as others are on trial there."""
    if fingerprint not in book.suspects and fingerprint not in book.held_until_s:
        return set()
    records = (book.records[one] for one in book.held_until_s if one != fingerprint)
    return {
        record.trial.engine_id
        for record in records
        if is_running(record) and now_s < record.trial.begun_s + TRIAL_S
    }


def _number(record):
    """Return how many trials there were since the last whole run."""
    trial = record.trial
    if trial is None:
        return 0
    is_cleared = record.passed == FINISHED and record.passed_s >= trial.begun_s
    return 0 if is_cleared else trial.number


def _draw(text):
    """Return a number from 0 to 1 that depends on the text only."""
    digest = hashlib.blake2b(text.encode(), digest_size=DRAW_BYTES).digest()
    return int.from_bytes(digest) / 256**DRAW_BYTES
