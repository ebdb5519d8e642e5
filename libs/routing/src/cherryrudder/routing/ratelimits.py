"""Rate limits that endpoints set for their senders.

An endpoint states its limit in its answers for as long as the limit holds, and the
limit holds for all senders together. Every process keeps such a book and merges the
statements that it receives from others: for each incarnation the newest statement
counts, including one that ends a limit.
"""

from collections.abc import Container
from typing import NamedTuple

# The end of a limit is sent to others for this long, so that it reaches them after any
# older statement.
ENDED_RETENTION_S = 10.0


class Limit(NamedTuple):
    """An endpoint's last statement of its limit."""

    # Requests a second from all senders together; None once the limit has ended.
    per_s: float | None
    # Time of the statement, by this process's clock.
    stated_s: float


class LimitBook:
    """The newest statement of each incarnation that has set a limit."""

    def __init__(self):
        self.limits: dict[str, Limit] = {}


def record_limit(book: LimitBook, engine_id: str, received: Limit) -> bool:
    """Record a statement; return whether it changes the limit."""
    known = book.limits.get(engine_id)
    if known is None and received.per_s is None:
        return False
    if known is not None and received.stated_s <= known.stated_s:
        return False
    book.limits[engine_id] = received
    return known is None or known.per_s != received.per_s


def limit_of(book: LimitBook, engine_id: str) -> float | None:
    """Return an endpoint's limit in requests a second, None for no limit."""
    known = book.limits.get(engine_id)
    return known.per_s if known is not None else None


def sweep(book: LimitBook, known: Container[str], now_s: float) -> None:
    """Drop incarnations that are no longer known, and limits that ended long ago."""
    book.limits = {
        engine_id: limit
        for engine_id, limit in book.limits.items()
        if engine_id in known
        and (limit.per_s is not None or now_s - limit.stated_s < ENDED_RETENTION_S)
    }
