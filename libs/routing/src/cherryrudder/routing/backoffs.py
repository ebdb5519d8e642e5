"""Backoffs that endpoints ask for when they refuse a request.

Load pattern: an overloaded endpoint refuses requests at once. If it stays a candidate,
it looks like the least busy endpoint and attracts more requests than those that serve.
When its backoff ends, all requests that waited for it would come at the same time. So
the first request is sent alone as a probe, and others follow once it was served.
"""

from collections.abc import Container
from typing import NamedTuple

# Upper bound of a backoff, however long an endpoint asks for.
MAX_BACKOFF_S = 3600.0
# Time to wait for the probe's answer before another request may be sent.
PROBE_TIMEOUT_S = 1.0


class Backoff(NamedTuple):
    """An endpoint's backoff, and when the probe after it was sent."""

    until_s: float
    probe_sent_s: float = float("-inf")


class BackoffBook:
    """The backoffs of endpoints towards this process, by incarnation."""

    def __init__(self):
        self.backoffs: dict[str, Backoff] = {}


def start(book: BackoffBook, engine_id: str, backoff_s: float, now_s: float) -> None:
    """Start or extend the backoff that an endpoint asked for."""
    known = book.backoffs.get(engine_id, Backoff(now_s))
    until_s = max(known.until_s, now_s + min(backoff_s, MAX_BACKOFF_S))
    book.backoffs[engine_id] = Backoff(until_s)


def is_active(book: BackoffBook, engine_id: str, now_s: float) -> bool:
    """Return whether an endpoint's backoff is still running."""
    backoff = book.backoffs.get(engine_id)
    return backoff is not None and now_s < backoff.until_s


def may_send(book: BackoffBook, engine_id: str, now_s: float) -> bool:
    """Return whether a request may be sent to an endpoint now."""
    return left_s(book, engine_id, now_s) <= 0


def left_s(book: BackoffBook, engine_id: str, now_s: float) -> float:
    """Return the time until a request may be sent to an endpoint, 0 for now."""
    backoff = book.backoffs.get(engine_id)
    if backoff is None:
        return 0.0
    return max(
        0.0, backoff.until_s - now_s, backoff.probe_sent_s + PROBE_TIMEOUT_S - now_s
    )


def record_sent(book: BackoffBook, engine_id: str, now_s: float) -> None:
    """Record a request that is about to be sent; after a backoff it is the probe."""
    backoff = book.backoffs.get(engine_id)
    if backoff is not None:
        book.backoffs[engine_id] = backoff._replace(probe_sent_s=now_s)


def record_answer(book: BackoffBook, engine_id: str, sent_s: float) -> bool:
    """Record an answer that asks for no backoff; return whether it ends one.

    Only answers to requests that were sent after the backoff count. Earlier requests
    were already in flight.
    """
    backoff = book.backoffs.get(engine_id)
    if backoff is None or sent_s < backoff.until_s:
        return False
    del book.backoffs[engine_id]
    return True


def prune(book: BackoffBook, known: Container[str]) -> None:
    """Drop the backoffs of all incarnations except the known ones."""
    book.backoffs = {e: backoff for e, backoff in book.backoffs.items() if e in known}
