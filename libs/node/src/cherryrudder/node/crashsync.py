"""Keeping the crash books of several processes alike, by news and by beats.

Each side of a beat tells how far it follows the other's book, and gets what it lacks. A
process that starts again, or has turned to another control VM, thus gets all of it.
"""

from cherryrudder.routing import crashbook
from cherryrudder.routing.crashbook import Crash, CrashBook, Record

from .gossip import CrashSync, ReportedCrash, ReportedRecord, SyncPosition

NO_POSITION = SyncPosition("", 0)


class PeerPositions:
    """How far this process follows the books of others, and they its own."""

    def __init__(self):
        self.applied: dict[str, SyncPosition] = {}
        self.acked: dict[str, SyncPosition] = {}


def make_sync(
    book: CrashBook, marks: PeerPositions, address: str, now_s: float
) -> CrashSync:
    """Return what the process at an address is to hear with the next beat."""
    told = marks.acked.get(address, NO_POSITION)
    since = told.version if told.boot == book.boot else -1
    news = [one for one, version in book.changed.items() if version > since]
    return CrashSync(
        SyncPosition(book.boot, book.version),
        since,
        marks.applied.get(address, NO_POSITION),
        report_records(book, news, now_s),
    )


def merge_sync(
    book: CrashBook, marks: PeerPositions, address: str, sync: CrashSync, now_s: float
) -> list[str]:
    """Take what came with a beat; return the fingerprints it is news of."""
    if _is_contiguous(marks.applied.get(address, NO_POSITION), sync):
        marks.applied[address] = sync.position
    marks.acked[address] = sync.acked
    return merge_records(book, sync.records, now_s)


def _is_contiguous(seen, sync):
    """Tell whether nothing lies between what this process has and what came.

    A sender that hasn't heard yet that this process started again leaves out what the
    one before had.
    """
    if sync.since < 0:
        return True
    return seen.boot == sync.position.boot and seen.version >= sync.since


def merge_records(
    book: CrashBook, records: tuple[ReportedRecord, ...], now_s: float
) -> list[str]:
    """Merge records; return the fingerprints they are news of."""
    return [
        one.fingerprint
        for one in records
        if crashbook.merge(book, one.fingerprint, _read(one, now_s))
    ]


def report_records(
    book: CrashBook, fingerprints, now_s: float
) -> tuple[ReportedRecord, ...]:
    """Return some records as they are told to others."""
    known = [one for one in fingerprints if one in book.records]
    return tuple(_write(one, book.records[one], now_s) for one in known)


def forget(marks: PeerPositions, present: set[str]) -> None:
    """Drop what is kept of processes that are gone."""
    for kept in (marks.applied, marks.acked):
        for address in set(kept) - present:
            del kept[address]


def _write(fingerprint, record, now_s):
    crashes = (
        ReportedCrash(*crash[:-1], age_s=now_s - crash.at_s) for crash in record.crashes
    )
    is_lifted = record.lifted_s > float("-inf")
    return ReportedRecord(
        fingerprint,
        record.account,
        record.service,
        tuple(crashes),
        record.passed,
        now_s - record.lifted_s if is_lifted else None,
    )


def _read(told, now_s):
    crashes = (Crash(*crash[:-1], at_s=now_s - crash.age_s) for crash in told.crashes)
    age_s = told.lifted_age_s
    lifted_s = float("-inf") if age_s is None else now_s - age_s
    return Record(told.account, told.service, tuple(crashes), told.passed, lifted_s)
