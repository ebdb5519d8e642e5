"""Split an event stream into whole events and read their ids.

An engine that crashes may stop inside an event. Only whole events are forwarded to the
client, so that another engine can continue after the last one.
"""

import re
from typing import NamedTuple

from .errors import AnswerBroken

# Lines may end in LF or CR LF.
SEPARATOR = re.compile(rb"\n\r?\n")
# An event holds a few tokens in some hundred bytes; more data without a separator means
# that the body is not an event stream.
MAX_EVENT_BYTES = 1024 * 1024
# Processes tell each other the numbers in frames, whose integers have 64 bits.
MAX_NUMBER = 2**63 - 1
MAX_NUMBER_DIGITS = len(str(MAX_NUMBER))


class Event(NamedTuple):
    """An event with its separator; `number` is None without a numeric id."""

    number: int | None
    data: bytes


class EventSplitter:
    """Buffer for the bytes of an incomplete event."""

    def __init__(self):
        self.rest = bytearray()


def split(splitter: EventSplitter, data: bytes) -> list[Event]:
    """Add bytes to the buffer and return the events that are now complete.

    Raises AnswerBroken if an event is too long to be one.
    """
    # A separator may have begun with the last two bytes before.
    searched_bytes = max(0, len(splitter.rest) - 2)
    splitter.rest += data
    if SEPARATOR.search(splitter.rest, searched_bytes) is None:
        if len(splitter.rest) > MAX_EVENT_BYTES:
            raise AnswerBroken("an event is too long")
        return []
    received, begin = [], 0
    text = bytes(splitter.rest)
    for separator in SEPARATOR.finditer(text):
        piece = text[begin : separator.end()]
        received.append(Event(_number(piece), piece))
        begin = separator.end()
    splitter.rest = bytearray(text[begin:])
    return received


def _number(piece):
    for line in piece.split(b"\n"):
        if line.startswith(b"id:"):
            return parse_number(line[3:].decode("latin-1").strip())
    return None


def parse_number(text: str) -> int | None:
    """Return an event's number from its id, None if the id is no such number."""
    if not text.isdecimal() or len(text) > MAX_NUMBER_DIGITS:
        return None
    number = int(text)
    return number if number <= MAX_NUMBER else None
