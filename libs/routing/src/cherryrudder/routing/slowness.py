"""How slow the endpoints are that were found to be slower than their kind.

Load pattern: see `layers.pace`. A belief ends by itself, since whoever told it may be
gone: an engine that was slow once would be avoided for ever, and its copy overloaded.
"""

from typing import NamedTuple

# A slow endpoint is looked at again every half second; this is three such looks.
BELIEVED_S = 1.6
# Engines answer somewhat unevenly by themselves. What is less isn't worth a detour.
MIN_SLOWNESS = 1.3


class Told(NamedTuple):
    """What was told of an endpoint, and until when it counts."""

    slowness: float
    until_s: float


class SlownessBook:
    """What was told, by the endpoint's incarnation."""

    def __init__(self):
        self.told: dict[str, Told] = {}


def record_slowness(
    book: SlownessBook, engine_id: str, slowness: float, now_s: float
) -> bool:
    """Take how many times slower an endpoint is than its kind; tell whether news."""
    known = slowness_of(book, engine_id, now_s)
    if slowness < MIN_SLOWNESS:
        book.told.pop(engine_id, None)
        return known > 1.0
    book.told[engine_id] = Told(slowness, now_s + BELIEVED_S)
    return known == 1.0


def slowness_of(book: SlownessBook, engine_id: str, now_s: float) -> float:
    """Return how many times slower an endpoint is than its kind, 1 if nobody says."""
    told = book.told.get(engine_id)
    return told.slowness if told is not None and now_s < told.until_s else 1.0


def sweep(book: SlownessBook, now_s: float) -> None:
    """Forget what counts no longer."""
    book.told = {name: told for name, told in book.told.items() if now_s < told.until_s}
