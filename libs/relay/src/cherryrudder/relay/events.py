"""Cutting an event stream into whole events, and knowing which came last.

An engine that dies may stop inside an event. Only whole events go to the client, so
that another engine can go on right behind the last one.
"""

from typing import NamedTuple

SEPARATOR = b"\n\n"
# Far above any event, which holds a few tokens in some hundred bytes; more means that
# this is no event stream.
MAX_EVENT_BYTES = 1024 * 1024


class Event(NamedTuple):
    """One event with its separator; `number` is None for one without a numeric id."""

    number: int | None
    data: bytes


class EventSplitter:
    """The bytes that are not a whole event yet."""

    def __init__(self):
        self.rest = b""


def split(splitter: EventSplitter, data: bytes) -> list[Event]:
    """Add bytes and return the events that are whole now."""
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
