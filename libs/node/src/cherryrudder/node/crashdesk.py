"""One process's crash book: what it learns, what follows, and what it logs of it."""

from collections.abc import Iterable

from cherryrudder.routing import blame, crashbook
from cherryrudder.routing.crashbook import Block, CrashBook, Record

from . import crashsync
from .crashsync import PeerPositions
from .gossip import CrashNews, CrashSync, ReportedRecord
from .linesink import LineSink
from .metrics import Metrics


class CrashDesk:
    """The book of one process, and where its changes are told."""

    def __init__(self, boot: str, sink: LineSink, metrics: Metrics):
        self.book = CrashBook(boot)
        self.positions = PeerPositions()
        self._sink = sink
        self._metrics = metrics

    def merge_sync(self, address: str, sync: CrashSync, now_s: float) -> list[str]:
        """Take what came with a beat; return the fingerprints it is news of."""
        news = crashsync.merge_sync(self.book, self.positions, address, sync, now_s)
        self._refresh_if_relevant(news, now_s)
        return news

    def merge_records(
        self, records: tuple[ReportedRecord, ...], now_s: float
    ) -> list[str]:
        """Take news; return the fingerprints it is news of."""
        news = crashsync.merge_records(self.book, records, now_s)
        self._refresh_if_relevant(news, now_s)
        return news

    def record(self, records: dict[str, Record], now_s: float) -> CrashNews:
        """Take what this process itself saw; return what others are to hear of it."""
        news = [one for one in records if crashbook.merge(self.book, one, records[one])]
        self._refresh_if_relevant(news, now_s)
        return self.make_update(news, now_s)

    def make_update(self, fingerprints: Iterable[str], now_s: float) -> CrashNews:
        """Return what others are to hear of some requests."""
        return CrashNews(crashsync.report_records(self.book, fingerprints, now_s))

    def make_sync(self, address: str, now_s: float) -> CrashSync:
        """Return what the process at an address is to hear with the next beat."""
        return crashsync.make_sync(self.book, self.positions, address, now_s)

    def has_synced(self) -> bool:
        """Tell whether any other process has told its book."""
        return bool(self.positions.applied)

    def is_watched(self, fingerprint: str) -> bool:
        """Tell whether it matters how far a request gets."""
        return fingerprint in self.book.suspects or fingerprint in self.book.blocks

    def block_of(self, fingerprint: str, now_s: float) -> Block | None:
        """Return the block of a request, if there is one."""
        block = self.book.blocks.get(fingerprint)
        return block if block is not None and now_s < block.until_s else None

    def lift(self, fingerprint: str, now_s: float) -> CrashNews:
        """End a block by an operator's word; return what others are to hear."""
        known = self.book.records.get(fingerprint)
        if known is None or fingerprint not in self.book.blocks:
            return CrashNews(())
        return self.record({fingerprint: known._replace(lifted_s=now_s)}, now_s)

    def dump(self, now_s: float) -> dict:
        """Return all blocks and suspects, for operators."""
        records = self.book.records
        blocks = [
            {
                "fingerprint": fingerprint,
                "account": records[fingerprint].account,
                "service": records[fingerprint].service,
                "engine_ids": block.engine_ids,
                "versions": sorted(block.versions),
                "left_s": round(block.until_s - now_s, 1),
            }
            for fingerprint, block in self.book.blocks.items()
        ]
        suspects = sorted(self.book.suspects)
        return {"blocks": blocks, "suspects": suspects, "records": len(records)}

    def sweep(self, present: set[str], now_s: float) -> None:
        """Forget what is old, and end the blocks that are over."""
        if self.book.records:
            crashbook.sweep(self.book, now_s)
            self._refresh(now_s)
        crashsync.forget(self.positions, present)

    def _refresh_if_relevant(self, news, now_s):
        """Draw conclusions, unless each request has one crash at the most."""
        book = self.book
        if any(len(book.records[one].crashes) > 1 for one in news) or any(
            self.is_watched(one) for one in news
        ):
            self._refresh(now_s)

    def _refresh(self, now_s):
        known = dict(self.book.blocks)
        begun, ended = blame.refresh(self.book, now_s)
        for fingerprint in begun:
            self._log("blocked", fingerprint, self.book.blocks[fingerprint], now_s)
        for fingerprint in ended:
            self._log("unblocked", fingerprint, known[fingerprint], now_s)

    def _log(self, event, fingerprint, block, now_s):
        record = self.book.records.get(fingerprint, Record("", ""))
        self._metrics.crashes.labels(event).inc()
        self._sink.write(
            "crashes",
            event,
            True,
            fingerprint=fingerprint,
            account=record.account,
            service=record.service,
            engine_ids=block.engine_ids,
            versions=sorted(block.versions),
            left_s=round(block.until_s - now_s, 1),
        )
