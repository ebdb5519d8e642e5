"""What is known of requests under which engines ended.

Every entry and control VM keeps such a book and merges what it hears of others. Merging
gives the same result in any order, so that all come to the same blocks without asking
one another (`blame`).
"""

from typing import NamedTuple

# A request that comes again does so within seconds; one that doesn't was cut off beside
# another one, or has served its time.
KEEP_S = 120.0
# One under which several engines ended is tried once when its block is over; if it does
# harm again, the next block is longer.
REPEATED_KEEP_S = 7200.0
REPEATED = 3
MOST_RECORDS = 1000
MOST_CRASHES = 16
# Stands for the end of an answer among the numbers of its events.
FINISHED = 2**31 - 1
# Two notes of one lift differ by what their messages took.
SAME_LIFT_S = 5.0


class Crash(NamedTuple):
    """An engine that ended after it had begun a request."""

    engine_id: str
    vm_zone: str
    # Of the engine's software.
    version: str
    # Last event that had come; 0 where there are none.
    last_event: int
    at_s: float


class RequestRecord(NamedTuple):
    """What is known of one request."""

    account: str
    service: str
    crashes: tuple[Crash, ...] = ()
    # Furthest event of a run whose engine lived on, -1 for none.
    passed: int = -1
    # When an operator last said that it may run.
    lifted_s: float = float("-inf")


class Block(NamedTuple):
    """Why a request is refused, and how long."""

    engine_ids: tuple[str, ...]
    versions: frozenset[str]
    until_s: float


class CrashBook:
    """Records by fingerprint; `version` rises with each change, for readers."""

    def __init__(self, boot: str):
        self.boot = boot
        self.version = 0
        self.records: dict[str, RequestRecord] = {}
        # The book's version at which each record last changed.
        self.changed: dict[str, int] = {}
        # What follows from the records; see `blame.refresh`.
        self.blocks: dict[str, Block] = {}
        self.suspects: set[str] = set()


def merge(book: CrashBook, fingerprint: str, heard: RequestRecord) -> bool:
    """Take what another process knows of a request; tell whether it is news."""
    known = book.records.get(fingerprint)
    merged = _merged(known, heard) if known else heard
    if merged == known:
        return False
    book.records[fingerprint] = merged
    book.version += 1
    book.changed[fingerprint] = book.version
    return True


def _merged(known, heard):
    known_ids = {crash.engine_id for crash in known.crashes}
    fresh = [crash for crash in heard.crashes if crash.engine_id not in known_ids]
    is_lifted = heard.lifted_s > known.lifted_s + SAME_LIFT_S
    return known._replace(
        crashes=(*known.crashes, *fresh)[:MOST_CRASHES],
        passed=max(known.passed, heard.passed),
        lifted_s=heard.lifted_s if is_lifted else known.lifted_s,
    )


def furthest_event(record: RequestRecord) -> int:
    """Return the furthest event that any run of a request has reached."""
    return max(record.passed, *(crash.last_event for crash in record.crashes), -1)


def prune(book: CrashBook, now_s: float) -> None:
    """Forget requests that did no harm lately; the oldest first when there are many."""
    for fingerprint, record in list(book.records.items()):
        keep_s = REPEATED_KEEP_S if len(record.crashes) >= REPEATED else KEEP_S
        if now_s - _last_s(record) > keep_s:
            _forget(book, fingerprint)
    surplus = len(book.records) - MOST_RECORDS
    if surplus > 0:
        order = sorted(
            book.records,
            key=lambda one: (one in book.blocks, _last_s(book.records[one])),
        )
        for fingerprint in order[:surplus]:
            _forget(book, fingerprint)


def _last_s(record):
    return max((crash.at_s for crash in record.crashes), default=record.lifted_s)


def _forget(book, fingerprint):
    del book.records[fingerprint]
    del book.changed[fingerprint]
    book.blocks.pop(fingerprint, None)
    book.suspects.discard(fingerprint)
