"""Track what crashes engines: crash records, blocks and their log lines."""

from collections.abc import Iterable

from cherryrudder.routing import blame, crashbook
from cherryrudder.routing.crashbook import CrashBook, RequestRecord

from . import crashsync
from .crashsync import PeerPositions
from .gossip import CrashSync, CrashUpdate, ReportedRecord
from .linesink import LineSink
from .metrics import Metrics


class CrashTracker:
    """One process's crash records, kept in sync with those of other processes."""

    def __init__(self, boot: str, sink: LineSink, metrics: Metrics):
        self.book = CrashBook(boot)
        self.positions = PeerPositions()
        # From when a blocked request may try engines of a new version.
        self.probes_s: dict[str, float] = {}
        self._sink = sink
        self._metrics = metrics

    def merge_sync(self, address: str, sync: CrashSync, now_s: float) -> list[str]:
        """Merge the records of a heartbeat; return the changed fingerprints."""
        changed = crashsync.merge_sync(self.book, self.positions, address, sync, now_s)
        self._refresh_if_relevant(changed, now_s)
        return changed

    def merge_records(
        self, records: tuple[ReportedRecord, ...], now_s: float
    ) -> list[str]:
        """Merge the records of an update; return the changed fingerprints."""
        changed = crashsync.merge_records(self.book, records, now_s)
        self._refresh_if_relevant(changed, now_s)
        return changed

    def record(self, records: dict[str, RequestRecord], now_s: float) -> CrashUpdate:
        """Record this process's own observations; return the update for others."""
        changed = [
            one for one in records if crashbook.merge(self.book, one, records[one])
        ]
        self._refresh_if_relevant(changed, now_s)
        return self.make_update(changed, now_s)

    def make_update(self, fingerprints: Iterable[str], now_s: float) -> CrashUpdate:
        """Return the update for others that holds some requests' records."""
        return CrashUpdate(crashsync.report_records(self.book, fingerprints, now_s))

    def make_sync(self, address: str, now_s: float) -> CrashSync:
        """Return the records for the next heartbeat to an address."""
        return crashsync.make_sync(self.book, self.positions, address, now_s)

    def has_synced(self) -> bool:
        """Return whether the records of any other process have arrived."""
        return bool(self.positions.followed)

    def is_watched(self, fingerprint: str) -> bool:
        """Return whether crashes may be put down to a request or part."""
        return fingerprint in self.book.watched

    def lift(self, name: str, now_s: float) -> CrashUpdate:
        """Lift blocks by a fingerprint or a part's ID; return the update for others.

        What explains the same crashes is lifted too, or it would be blocked instead.
        """
        records, blocks = self.book.records, self.book.blocks
        watched = blocks | self.book.held_until_s
        found = [one for one in watched if name and name in (one, records[one].part)]
        parts = {
            (records[one].service, records[one].part)
            for one in found
            if records[one].part
        }
        lifted = set(found)
        for one in found:
            lifted |= blocks[one].companions if one in blocks else set()
        lifted |= {
            one
            for one, record in records.items()
            if (record.service, record.part) in parts
        }
        changes = {
            one: records[one]._replace(lifted_s=now_s)
            for one in lifted
            if one in records
        }
        return self.record(changes, now_s)

    def dump(self, now_s: float) -> dict:
        """Return all blocks and suspects, for the operators' API."""
        records = self.book.records
        blocks = [
            {
                "fingerprint": fingerprint,
                "part": records[fingerprint].part,
                "account": records[fingerprint].account,
                "service": records[fingerprint].service,
                "engine_ids": block.engine_ids,
                "versions": sorted(block.versions),
                "left_s": round(block.until_s - now_s, 1),
            }
            for fingerprint, block in self.book.blocks.items()
            if block.is_final
        ]
        held = [
            {
                "fingerprint": one,
                "part": records[one].part,
                "account": records[one].account,
                "service": records[one].service,
                "left_s": round(until_s - now_s, 1),
            }
            for one, until_s in self.book.held_until_s.items()
        ]
        suspects = sorted(self.book.suspects)
        return {
            "blocks": blocks,
            "held": held,
            "suspects": suspects,
            "records": len(records),
        }

    def sweep(self, present: set[str], now_s: float) -> None:
        """Drop old records, expired blocks and the positions of absent processes."""
        if self.book.records:
            crashbook.prune(self.book, now_s)
            self._refresh(now_s)
        for fingerprint in set(self.probes_s) - set(self.book.blocks):
            del self.probes_s[fingerprint]
        crashsync.prune(self.positions, present)

    def _refresh_if_relevant(self, changed, now_s):
        """Update the blocks if a changed request is suspect or has several crashes."""
        book = self.book
        if any(len(book.records[one].crashes) > 1 for one in changed) or any(
            self.is_watched(one) for one in changed
        ):
            self._refresh(now_s)

    def _refresh(self, now_s):
        old_blocks = dict(self.book.blocks)
        old_held = dict(self.book.held_until_s)
        begun, ended = blame.update_blocks(self.book, now_s)
        for fingerprint in begun:
            self._log("blocked", fingerprint, self.book.blocks[fingerprint], now_s)
        for fingerprint in ended:
            self._log("unblocked", fingerprint, old_blocks[fingerprint], now_s)
        for fingerprint in self.book.held_until_s.keys() - old_held.keys():
            self._log_held("held", fingerprint)
        for fingerprint in old_held.keys() - self.book.held_until_s.keys():
            self._log_held("released", fingerprint)

    def _log_held(self, event, fingerprint):
        record = self.book.records.get(fingerprint, RequestRecord("", ""))
        self._metrics.crashes.labels(event).inc()
        self._sink.write(
            "crashes",
            event,
            True,
            fingerprint=fingerprint,
            prompt_part=record.part,
            account=record.account,
            service=record.service,
            engine_ids=[crash.engine_id for crash in record.crashes],
            shared=blame.count_shared(self.book, fingerprint),
            passed=record.passed,
        )

    def _log(self, event, fingerprint, block, now_s):
        record = self.book.records.get(fingerprint, RequestRecord("", ""))
        self._metrics.crashes.labels(event).inc()
        self._sink.write(
            "crashes",
            event,
            True,
            fingerprint=fingerprint,
            prompt_part=record.part,
            account=record.account,
            service=record.service,
            engine_ids=block.engine_ids,
            versions=sorted(block.versions),
            left_s=round(block.until_s - now_s, 1),
        )
