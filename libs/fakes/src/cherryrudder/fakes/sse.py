"""Parser of server-sent events."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple


class ServerEvent(NamedTuple):
    """One event; `kind` is `message` unless the stream sets another."""

    kind: str
    data: str


class EventParser:
    """State of the parser: the lines of the incomplete event."""

    def __init__(self):
        self.kind = "message"
        self.data = []


def feed(parser: EventParser, line: str) -> ServerEvent | None:
    """Parse a line without its line end; return the event that it completes, if any."""
    if line:
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "event":
            parser.kind = value
        elif name == "data":
            parser.data.append(value)
        return None
    if not parser.data:
        return None
    event = ServerEvent(parser.kind, "\n".join(parser.data))
    parser.kind, parser.data = "message", []
    return event


def parse(lines: Iterable[str]) -> Iterator[ServerEvent]:
    """Yield the events of complete lines."""
    parser = EventParser()
    for line in lines:
        if event := feed(parser, line):
            yield event
