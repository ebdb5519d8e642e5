"""Reports of endpoints that are slower than others of their kind.

Load pattern: see `layers.pace`. Reports expire, since their sender may be gone.
Otherwise an engine that was slow once would be avoided for ever, and the other engines
with its layers would be overloaded.
"""

from typing import NamedTuple

# A slow endpoint is measured again every half second; this is three measurements.
REPORT_TTL_S = 1.6
# Engines' speeds vary somewhat anyway. Smaller factors aren't worth a detour.
MIN_SLOWNESS = 1.3


class RecordedSlowness(NamedTuple):
    """An endpoint's reported slowness, and until when it is valid."""

    slowness: float
    until_s: float


class SlownessBook:
    """The reports by the endpoint's incarnation."""

    def __init__(self):
        self.reports: dict[str, RecordedSlowness] = {}


def record_slowness(
    book: SlownessBook, engine_id: str, slowness: float, now_s: float
) -> bool:
    """Record how many times slower an endpoint is than its kind.

    Return whether this makes it slow or ends its slowness.
    """
    known = slowness_of(book, engine_id, now_s)
    if slowness < MIN_SLOWNESS:
        book.reports.pop(engine_id, None)
        return known > 1.0
    book.reports[engine_id] = RecordedSlowness(slowness, now_s + REPORT_TTL_S)
    return known == 1.0


def slowness_of(book: SlownessBook, engine_id: str, now_s: float) -> float:
    """Return how many times slower an endpoint is than its kind, 1 without a report."""
    report = book.reports.get(engine_id)
    return report.slowness if report is not None and now_s < report.until_s else 1.0


def sweep(book: SlownessBook, now_s: float) -> None:
    """Drop expired reports."""
    book.reports = {
        name: report for name, report in book.reports.items() if now_s < report.until_s
    }
