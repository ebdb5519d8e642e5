"""Endpoints that turned a request away and want nothing from this process for a while.

Load pattern: an endpoint in need answers each request at once that it doesn't run. Left
in the choice, it looks like the least busy one and draws more requests than those that
serve. As its rest ends, all that waited for it would come at the same moment; so the
first request goes alone, and others follow once that one was served.
"""

from collections.abc import Container
from typing import NamedTuple

# However long a rest an endpoint asks for, it is tried again after this time.
MOST_REST_S = 3600.0
# The request that goes alone is waited for so long before another one may go.
TRIAL_S = 1.0


class Rest(NamedTuple):
    """An endpoint's rest, and when the first request after it was sent."""

    until_s: float
    trial_s: float = float("-inf")


class RestBook:
    """The rests that endpoints asked this process for, by incarnation."""

    def __init__(self):
        self.rests: dict[str, Rest] = {}


def ask(book: RestBook, engine_id: str, rest_s: float, now_s: float) -> None:
    """Take an endpoint's word that it wants nothing for some time."""
    known = book.rests.get(engine_id, Rest(now_s))
    until_s = max(known.until_s, now_s + min(rest_s, MOST_REST_S))
    book.rests[engine_id] = Rest(until_s)


def is_resting(book: RestBook, engine_id: str, now_s: float) -> bool:
    """Tell whether an endpoint's rest isn't over."""
    rest = book.rests.get(engine_id)
    return rest is not None and now_s < rest.until_s


def may_begin(book: RestBook, engine_id: str, now_s: float) -> bool:
    """Tell whether an endpoint may be sent a request now."""
    return left_s(book, engine_id, now_s) <= 0


def left_s(book: RestBook, engine_id: str, now_s: float) -> float:
    """Return the time until an endpoint may be sent a request, 0 for now."""
    rest = book.rests.get(engine_id)
    if rest is None:
        return 0.0
    return max(0.0, rest.until_s - now_s, rest.trial_s + TRIAL_S - now_s)


def begin(book: RestBook, engine_id: str, now_s: float) -> None:
    """Take note of a request that is about to be sent."""
    rest = book.rests.get(engine_id)
    if rest is not None:
        book.rests[engine_id] = rest._replace(trial_s=now_s)


def answered(book: RestBook, engine_id: str, sent_s: float) -> bool:
    """Take an answer without any word of rest; tell whether it ends one.

    Only one to a request that was sent after the rest: the others were on their way.
    """
    rest = book.rests.get(engine_id)
    if rest is None or sent_s < rest.until_s:
        return False
    del book.rests[engine_id]
    return True


def forget(book: RestBook, known: Container[str]) -> None:
    """Drop the incarnations that are no longer known."""
    book.rests = {e: rest for e, rest in book.rests.items() if e in known}
