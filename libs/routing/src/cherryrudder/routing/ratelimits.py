"""The request rates that endpoints ask their senders to keep to.

An endpoint names its limit in its answers for as long as it holds, and it holds for all
senders together. Every process keeps such a book and merges what it hears of others: of
each incarnation the newest statement counts, also one that ends a limit.
"""

from collections.abc import Container
from typing import NamedTuple

# The end of a limit is told for this long, so that it overtakes older news of it.
ENDED_S = 10.0


class Limit(NamedTuple):
    """What an endpoint last said, and when by this process's clock."""

    # Requests a second from all senders together; None once it names none any more.
    per_s: float | None
    stated_s: float


class LimitBook:
    """The newest statement of each incarnation that has named a limit."""

    def __init__(self):
        self.limits: dict[str, Limit] = {}


def record_limit(book: LimitBook, engine_id: str, heard: Limit) -> bool:
    """Take a statement; tell whether it changes the limit."""
    known = book.limits.get(engine_id)
    if known is None and heard.per_s is None:
        return False
    if known is not None and heard.stated_s <= known.stated_s:
        return False
    book.limits[engine_id] = heard
    return known is None or known.per_s != heard.per_s


def limit_of(book: LimitBook, engine_id: str) -> float | None:
    """Return the requests a second that an endpoint takes, None for no limit."""
    known = book.limits.get(engine_id)
    return known.per_s if known is not None else None


def sweep(book: LimitBook, known: Container[str], now_s: float) -> None:
    """Forget incarnations that are no longer known, and limits that ended long ago."""
    book.limits = {
        engine_id: limit
        for engine_id, limit in book.limits.items()
        if engine_id in known
        and (limit.per_s is not None or now_s - limit.stated_s < ENDED_S)
    }
