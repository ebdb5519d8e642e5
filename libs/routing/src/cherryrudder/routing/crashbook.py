"""Records of requests that were running when an engine crashed.

Every entry and control VM keeps a copy and merges the records that it receives from
other processes. Merging gives the same result in any order, so all processes compute
the same blocks (see `blame`) without coordination.
"""

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
# Event number that stands for a completed answer.
FINISHED = 2**31 - 1
# Times of the same lift differ between processes by the delay of their messages.
LIFT_TOLERANCE_S = 5.0


class Crash(NamedTuple):
    """A crash of an engine that had started a request."""

    engine_id: str
    vm_zone: str
    # Version of the engine's software.
    version: str
    # Number of the last event received; 0 if there was none.
    last_event: int
    at_s: float


class RequestRecord(NamedTuple):
    """The crashes of one request, and how far it got without one."""

    account: str
    service: str
    crashes: tuple[Crash, ...] = ()
    # Furthest event of a run whose engine survived, -1 for none.
    passed: int = -1
    # When an operator last lifted the request's block.
    lifted_s: float = float("-inf")


class Block(NamedTuple):
    """The crashes for which a request is refused, and until when."""

    engine_ids: tuple[str, ...]
    versions: frozenset[str]
    until_s: float


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
        self.suspects: set[str] = set()


def merge(book: CrashBook, fingerprint: str, received: RequestRecord) -> bool:
    """Merge another process's record of a request; return whether it changed."""
    known = book.records.get(fingerprint)
    merged = _merged(known, received) if known else received
    if merged == known:
        return False
    book.records[fingerprint] = merged
    book.version += 1
    book.changed[fingerprint] = book.version
    return True


def _merged(known, received):
    known_ids = {crash.engine_id for crash in known.crashes}
    fresh = [crash for crash in received.crashes if crash.engine_id not in known_ids]
    is_lifted = received.lifted_s > known.lifted_s + LIFT_TOLERANCE_S
    return known._replace(
        crashes=(*known.crashes, *fresh)[:MAX_CRASHES],
        passed=max(known.passed, received.passed),
        lifted_s=received.lifted_s if is_lifted else known.lifted_s,
    )


def furthest_event(record: RequestRecord) -> int:
    """Return the furthest event that any run of a request has reached."""
    return max(record.passed, *(crash.last_event for crash in record.crashes), -1)


def prune(book: CrashBook, now_s: float) -> None:
    """Drop expired records, and the oldest beyond `MAX_RECORDS`, blocked ones last."""
    for fingerprint, record in list(book.records.items()):
        retention_s = (
            REPEATED_RETENTION_S
            if len(record.crashes) >= MIN_REPEATED_CRASHES
            else RETENTION_S
        )
        if now_s - _last_crash_s(record) > retention_s:
            _drop(book, fingerprint)
    surplus = len(book.records) - MAX_RECORDS
    if surplus > 0:
        order = sorted(
            book.records,
            key=lambda one: (one in book.blocks, _last_crash_s(book.records[one])),
        )
        for fingerprint in order[:surplus]:
            _drop(book, fingerprint)


def _last_crash_s(record):
    return max((crash.at_s for crash in record.crashes), default=record.lifted_s)


def _drop(book, fingerprint):
    del book.records[fingerprint]
    del book.changed[fingerprint]
    book.blocks.pop(fingerprint, None)
    book.blocked_since_s.pop(fingerprint, None)
    book.suspects.discard(fingerprint)
