"""Endpoints that turned a request away and want nothing from this process for a while.

Load pattern: an endpoint in need answers each request at once that it doesn't run. Left
in the choice, it looks like the least busy one and draws more requests than those that
serve. As its backoff ends, all that waited for it would come at the same moment; so the
first request goes alone, and others follow once that one was served.
"""

from collections.abc import Container
from typing import NamedTuple

# However long an endpoint asks for, it is tried again after this time.
MOST_BACKOFF_S = 3600.0
# The request that goes alone is waited for so long before another one may go.
PROBE_S = 1.0


class Backoff(NamedTuple):
    """An endpoint's backoff, and when the first request after it was sent."""

    until_s: float
    probe_s: float = float("-inf")


class BackoffBook:
    """The backoffs that endpoints asked this process for, by incarnation."""

    def __init__(self):
        self.backoffs: dict[str, Backoff] = {}


def start(book: BackoffBook, engine_id: str, backoff_s: float, now_s: float) -> None:
    """Take an endpoint's word that it wants nothing for some time."""
    known = book.backoffs.get(engine_id, Backoff(now_s))
    until_s = max(known.until_s, now_s + min(backoff_s, MOST_BACKOFF_S))
    book.backoffs[engine_id] = Backoff(until_s)


def is_active(book: BackoffBook, engine_id: str, now_s: float) -> bool:
    """Tell whether an endpoint's backoff isn't over."""
    backoff = book.backoffs.get(engine_id)
    return backoff is not None and now_s < backoff.until_s


def may_send(book: BackoffBook, engine_id: str, now_s: float) -> bool:
    """Tell whether an endpoint may be sent a request now."""
    return left_s(book, engine_id, now_s) <= 0


def left_s(book: BackoffBook, engine_id: str, now_s: float) -> float:
    """Return the time until an endpoint may be sent a request, 0 for now."""
    backoff = book.backoffs.get(engine_id)
    if backoff is None:
        return 0.0
    return max(0.0, backoff.until_s - now_s, backoff.probe_s + PROBE_S - now_s)


def record_sent(book: BackoffBook, engine_id: str, now_s: float) -> None:
    """Take note of a request that is about to be sent."""
    backoff = book.backoffs.get(engine_id)
    if backoff is not None:
        book.backoffs[engine_id] = backoff._replace(probe_s=now_s)


def record_answer(book: BackoffBook, engine_id: str, sent_s: float) -> bool:
    """Take an answer that asks for nothing; tell whether it ends one.

    Only one to a request that was sent after the backoff: the others were on their way.
    """
    backoff = book.backoffs.get(engine_id)
    if backoff is None or sent_s < backoff.until_s:
        return False
    del book.backoffs[engine_id]
    return True


def prune(book: BackoffBook, known: Container[str]) -> None:
    """Drop the incarnations that are no longer known."""
    book.backoffs = {e: backoff for e, backoff in book.backoffs.items() if e in known}
