"""Synchronize the crash records of several processes, by updates and heartbeats.

Each side of a heartbeat acknowledges how far it follows the other's records, and gets
what it lacks. A process that restarts, or that switches to another control VM, thus
gets all records.
"""

import math

from cherryrudder.routing import crashbook
from cherryrudder.routing.crashbook import Crash, CrashBook, RequestRecord, Trial

from .gossip import (
    CrashSync,
    ReportedCrash,
    ReportedRecord,
    ReportedTrial,
    SyncPosition,
)

NO_POSITION = SyncPosition("", 0)


class PeerPositions:
    """How far this process follows its peers' records, and they follow its own."""

    def __init__(self):
        self.followed: dict[str, SyncPosition] = {}
        self.acked: dict[str, SyncPosition] = {}


def make_sync(
    book: CrashBook, positions: PeerPositions, address: str, now_s: float
) -> CrashSync:
    """Return the records for the next heartbeat to an address."""
    acked = positions.acked.get(address, NO_POSITION)
    since = acked.version if acked.boot == book.boot else -1
    changed = [one for one, version in book.changed.items() if version > since]
    return CrashSync(
        SyncPosition(book.boot, book.version),
        since,
        positions.followed.get(address, NO_POSITION),
        report_records(book, changed, now_s),
    )


def merge_sync(
    book: CrashBook,
    positions: PeerPositions,
    address: str,
    sync: CrashSync,
    now_s: float,
) -> list[str]:
    """Merge the records of a heartbeat; return the changed fingerprints."""
    if _is_contiguous(positions.followed.get(address, NO_POSITION), sync):
        positions.followed[address] = sync.position
    positions.acked[address] = sync.acked
    return merge_records(book, sync.records, now_s)


def _is_contiguous(applied, sync):
    """Return whether no change is missing between the applied ones and `sync`.

    After a restart of this process, a sender that hasn't received its new position yet
    leaves out what the previous process had acknowledged.
    """
    if sync.since < 0:
        return True
    return applied.boot == sync.position.boot and applied.version >= sync.since


def merge_records(
    book: CrashBook, records: tuple[ReportedRecord, ...], now_s: float
) -> list[str]:
    """Merge records; return the changed fingerprints."""
    return [
        one.fingerprint
        for one in records
        if crashbook.merge(book, one.fingerprint, _read(one, now_s))
    ]


def report_records(
    book: CrashBook, fingerprints, now_s: float
) -> tuple[ReportedRecord, ...]:
    """Return some records in the form in which they are sent."""
    known = [one for one in fingerprints if one in book.records]
    return tuple(_write(one, book.records[one], now_s) for one in known)


def prune(positions: PeerPositions, present: set[str]) -> None:
    """Drop the positions of processes that are gone."""
    for kept in (positions.followed, positions.acked):
        for address in set(kept) - present:
            del kept[address]


def _write(fingerprint, record, now_s):
    crashes = (
        ReportedCrash(*crash[:4], now_s - crash.at_s, crash.is_trial)
        for crash in record.crashes
    )
    trial = record.trial
    is_lifted = record.lifted_s > float("-inf")
    return ReportedRecord(
        fingerprint,
        record.account,
        record.service,
        tuple(crashes),
        record.passed,
        now_s - record.lifted_s if is_lifted else None,
        record.part,
        None if record.passed_s == math.inf else now_s - record.passed_s,
        None if record.companions is None else tuple(sorted(record.companions)),
        trial and ReportedTrial(trial[0], now_s - trial.begun_s, *trial[2:]),
    )


def _read(reported, now_s):
    crashes = (
        Crash(*crash[:4], now_s - crash.age_s, crash.is_trial)
        for crash in reported.crashes
    )
    trial = reported.trial
    age_s = reported.lifted_age_s
    lifted_s = float("-inf") if age_s is None else now_s - age_s
    passed_age_s, companions = reported.passed_age_s, reported.companions
    return RequestRecord(
        reported.account,
        reported.service,
        tuple(crashes),
        reported.passed,
        lifted_s,
        reported.part,
        math.inf if passed_age_s is None else now_s - passed_age_s,
        None if companions is None else frozenset(companions),
        trial and Trial(trial[0], now_s - trial.age_s, *trial[2:]),
    )
