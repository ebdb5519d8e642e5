"""Builders of crash books whose records arrive in a given order."""

from typing import NamedTuple

from cherryrudder.routing import blame, crashbook
from cherryrudder.routing.crashbook import Crash, CrashBook, RequestRecord


class Report(NamedTuple):
    """A crash of one engine and the requests that it cut, with their positions."""

    engine_id: str
    zone: str
    at_s: float
    last_events: dict[str, int]


def receive(book: CrashBook, report: Report, now_s: float) -> None:
    """Merge the records of one crash and update the blocks."""
    for fingerprint, event in report.last_events.items():
        crash = Crash(report.engine_id, report.zone, "v1", event, report.at_s)
        crashbook.merge(book, fingerprint, RequestRecord("acme", "llm", (crash,)))
    blame.update_blocks(book, now_s)


def a_book_of(*reports: Report) -> CrashBook:
    """Return a book that received some reports when the crashes occurred."""
    book = CrashBook("boot-1")
    for report in reports:
        receive(book, report, report.at_s)
    return book
