"""Split an event stream into whole events and read their ids.

An engine that crashes may stop inside an event. Only whole events are forwarded to the
client, so that another engine can continue after the last one.
"""

from typing import NamedTuple

SEPARATOR = b"\n\n"
# An event holds a few tokens in some hundred bytes; more data without a separator means
# that the body is not an event stream.
MAX_EVENT_BYTES = 1024 * 1024


class Event(NamedTuple):
    """An event with its separator; `number` is None without a numeric id."""

    number: int | None
    data: bytes


class EventSplitter:
    """Buffer for the bytes of an incomplete event."""

    def __init__(self):
        self.rest = b""


def split(splitter: EventSplitter, data: bytes) -> list[Event]:
    """Add bytes to the buffer and return the events that are now complete."""
    pieces = (splitter.rest + data).split(SEPARATOR)
    splitter.rest = pieces.pop()
    return [Event(_number(piece), piece + SEPARATOR) for piece in pieces]


def _number(piece):
    for line in piece.split(b"\n"):
        if line.startswith(b"id:"):
            try:
                return int(line[3:])
            except ValueError:
                return None
    return None
