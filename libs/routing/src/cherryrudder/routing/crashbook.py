"""Records of requests, and parts of prompts, that were running as engines crashed.

Every entry and control VM keeps a copy and merges the records that it receives from
other processes. Merging gives the same result in any order, so all processes compute
the same blocks (see `blame`) without coordination.
"""

import math
from typing import NamedTuple

# Retries come within seconds. A request that isn't retried was cut while another one
# crashed the engine, or its block has ended.
RETENTION_S = 120.0
# A request with several crashes may run once when its block ends. If it crashes an
# engine again, the next block is longer, so its record is kept for longer.
REPEATED_RETENTION_S = 7200.0
MIN_REPEATED_CRASHES = 3
MAX_RECORDS = 1000
MAX_CRASHES = 16
# Event number that stands for an answer that one run sent from its start to its end.
FINISHED = 2**31 - 1
# Event number of a crash under a request whose answer has no events.
NO_POSITION = -1
# Events after which a run with a part is past the start of its answer.
MIN_PASSED_EVENTS = 16
# Times of the same run differ between processes by the delay of their messages.
PASS_TOLERANCE_S = 1.0
# Times of the same lift differ between processes by the delay of their messages.
LIFT_TOLERANCE_S = 5.0


class Crash(NamedTuple):
    """A crash of an engine that had started a request, or one with a certain part."""

    engine_id: str
    vm_zone: str
    # Version of the engine's software.
    version: str
    # Number of the last event received; 0 if there was none. For a part: the fewest
    # events that any run with it had sent.
    last_event: int
    at_s: float
    # The request or part was on trial there; see `Trial`.
    is_trial: bool = False


class Trial(NamedTuple):
    """A run of what is held, sent where nothing else was on trial."""

    engine_id: str
    begun_s: float
    # How many there were since the last whole run.
    number: int
    # It showed nothing: its engine refused it, or its client has left.
    is_over: bool = False


class RequestRecord(NamedTuple):
    """The crashes of one request or part of prompts, and how far it got without one."""

    # Empty for a part of any account's prompts.
    account: str
    service: str
    crashes: tuple[Crash, ...] = ()
    # Furthest event of a run whose engine survived, -1 for none. For a part: the most
    # events that one run with it has sent, once that is past the start.
    passed: int = -1
    # When an operator last lifted the block.
    lifted_s: float = float("-inf")
    # ID of the part, empty for a whole request.
    part: str = ""
    # When the newest whole run ended, if `passed` is FINISHED.
    passed_s: float = math.inf
    # What else all requests with this part had that crashes cut off, as fingerprints;
    # for a whole request, its parts. None if unknown.
    companions: frozenset[str] | None = None
    # The newest trial of the request, or of one with the part.
    trial: Trial | None = None


class Block(NamedTuple):
    """The crashes for which requests are refused, and until when."""

    engine_ids: tuple[str, ...]
    versions: frozenset[str]
    until_s: float
    # Only requests that have all of these as well are refused: so far they explain the
    # crashes equally well.
    companions: frozenset[str] = frozenset()
    # No other suspect may have caused the crashes, so that a refusal is final.
    is_final: bool = True


class CrashBook:
    """Records by fingerprint; `version` rises with each change, for synchronization."""

    def __init__(self, boot: str):
        self.boot = boot
        self.version = 0
        self.records: dict[str, RequestRecord] = {}
        # The book's version at which each record last changed.
        self.changed: dict[str, int] = {}
        # Computed from the records; see `blame`.
        self.blocks: dict[str, Block] = {}
        # When this process first found each of them.
        self.blocked_since_s: dict[str, float] = {}
        # Requests and parts that only run on trial, and until when; computed, too.
        self.held_until_s: dict[str, float] = {}
        self.suspects: set[str] = set()
        # Those with as many crashes as suspects, whatever explains them: they may
        # explain the crashes of others until a run of them comes through.
        self.watched: set[str] = set()


def merge(book: CrashBook, fingerprint: str, received: RequestRecord) -> bool:
    """Merge another process's record; return whether it changed."""
    known = book.records.get(fingerprint)
    merged = merge_records(known, received) if known else received
    if merged == known:
        return False
    book.records[fingerprint] = merged
    book.version += 1
    book.changed[fingerprint] = book.version
    return True


def merge_records(known: RequestRecord, received: RequestRecord) -> RequestRecord:
    """Return two records of the same fingerprint as one."""
    is_lifted = received.lifted_s > known.lifted_s + LIFT_TOLERANCE_S
    return known._replace(
        crashes=_merge_crashes(known.crashes, received.crashes),
        passed=max(known.passed, received.passed),
        passed_s=_merge_passed_s(known, received),
        lifted_s=received.lifted_s if is_lifted else known.lifted_s,
        companions=_merge_companions(known.companions, received.companions),
        trial=_merge_trial(known.trial, received.trial),
    )


def _merge_crashes(known, received):
    """Return the newest crashes of both, each with its earliest position."""
    by_engine = {crash.engine_id: crash for crash in known}
    for crash in received:
        same = by_engine.get(crash.engine_id, crash)
        by_engine[crash.engine_id] = same._replace(
            last_event=min(same.last_event, crash.last_event),
            is_trial=same.is_trial or crash.is_trial,
        )
    crashes = list(by_engine.values())
    if len(crashes) > MAX_CRASHES:
        crashes = sorted(crashes, key=lambda crash: crash.at_s)[-MAX_CRASHES:]
    return tuple(crashes)


def _merge_passed_s(known, received):
    if received.passed == FINISHED and is_newer_pass(known, received.passed_s):
        return received.passed_s
    return known.passed_s


def is_newer_pass(known: RequestRecord, passed_s: float) -> bool:
    """Return whether a whole run is newer by more than messages are delayed."""
    is_first = known.passed != FINISHED
    return is_first or passed_s > known.passed_s + PASS_TOLERANCE_S


def _merge_companions(known, received):
    if known is None or received is None:
        return received if known is None else known
    return known & received


def _merge_trial(known, received):
    """Return the newer trial; times of the same one differ by delays of messages."""
    if known is None or received is None:
        return received if known is None else known
    if received.begun_s > known.begun_s + PASS_TOLERANCE_S:
        return received
    return known._replace(
        number=max(known.number, received.number),
        is_over=known.is_over or received.is_over,
    )


def furthest_event(record: RequestRecord) -> int:
    """Return the furthest event that any run of a request has reached."""
    if record.part:
        # Each run is of another request, so their positions say nothing of each other.
        return record.passed
    return max(record.passed, *(crash.last_event for crash in record.crashes), -1)


def prune(book: CrashBook, now_s: float) -> None:
    """Drop expired records, and the oldest beyond `MAX_RECORDS`, blocked ones last."""
    for fingerprint, record in list(book.records.items()):
        retention_s = (
            REPEATED_RETENTION_S
            if len(record.crashes) >= MIN_REPEATED_CRASHES
            else RETENTION_S
        )
        if now_s - last_crash_s(record) > retention_s:
            _drop(book, fingerprint)
    surplus = len(book.records) - MAX_RECORDS
    if surplus > 0:
        order = sorted(
            book.records,
            key=lambda one: (
                one in book.blocks,
                one in book.suspects or one in book.held_until_s,
                last_crash_s(book.records[one]),
            ),
        )
        for fingerprint in order[:surplus]:
            _drop(book, fingerprint)


def last_crash_s(record):
    """Return the time of the newest crash, or of the lift if there is none."""
    return max((crash.at_s for crash in record.crashes), default=record.lifted_s)


def _drop(book, fingerprint):
    del book.records[fingerprint]
    del book.changed[fingerprint]
    book.blocks.pop(fingerprint, None)
    book.blocked_since_s.pop(fingerprint, None)
    book.held_until_s.pop(fingerprint, None)
    book.suspects.discard(fingerprint)
    book.watched.discard(fingerprint)
