"""Split the bytes of a client's connection into requests for the parser.

The parser gets one request at a time, without what a server has to accept and h11
refuses: empty lines before a request (RFC 9112, 2.2) and chunk extensions after white
space (7.1.1). All other bytes pass unchanged, so that h11 refuses what is invalid.
"""

import re
from enum import Enum, auto

# An empty line, after the line end before it.
HEAD_END = re.compile(rb"\n\r?\n")
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,20})[ \t]*(?:;[^\r\n\x00]*)?\r\n")
# Empty lines that are left out before a request; more are no mistake but a flood.
MAX_EMPTY_LINES = 8
# A longer line between chunks is passed on as it is.
MAX_LINE_BYTES = 4096


class _Part(Enum):
    """What the next bytes belong to."""

    HEAD = auto()
    # The head is passed on, but not yet parsed.
    PARSING = auto()
    BODY = auto()
    CHUNK_LINE = auto()
    CHUNK = auto()
    TRAILERS = auto()
    DONE = auto()
    # Left to the parser to refuse.
    INVALID = auto()


class RequestFramer:
    """The bytes of a connection that the parser hasn't been given yet."""

    def __init__(self):
        self._buffer = bytearray()
        self._part = _Part.HEAD
        self._left_bytes = 0
        # The last bytes of the head that were passed on.
        self._tail = b""
        self._empty_lines = 0

    def receive(self, data: bytes) -> None:
        """Add bytes that came from the client."""
        self._buffer += data

    def has_request(self) -> bool:
        """Return whether a request has begun, which empty lines don't do."""
        if self._part is _Part.HEAD and not self._tail:
            self._drop_empty_lines()
            return bool(self._buffer)
        return True

    def take(self) -> bytes:
        """Return and remove the bytes that the parser may have now."""
        passed = bytearray()
        while self._buffer:
            piece = self._take_piece()
            if not piece:
                break
            passed += piece
        return bytes(passed)

    def begin_body(self, headers) -> None:
        """Go on to the body of a request whose head was parsed."""
        found = dict(headers)
        if b"transfer-encoding" in found:
            self._part = _Part.CHUNK_LINE
            return
        self._left_bytes = int(found.get(b"content-length", b"0"))
        self._part = _Part.BODY if self._left_bytes else _Part.DONE

    def begin_next(self) -> None:
        """Go on to the next request."""
        self._part, self._tail, self._empty_lines = _Part.HEAD, b"", 0

    def _take_piece(self):
        match self._part:
            case _Part.HEAD:
                return self._take_head()
            case _Part.BODY | _Part.CHUNK:
                return self._take_data()
            case _Part.CHUNK_LINE:
                return self._take_chunk_line()
            case _Part.TRAILERS:
                return self._take_trailer()
            case _Part.INVALID:
                return self._cut(len(self._buffer))
        return b""

    def _drop_empty_lines(self):
        while self._buffer[:2] == b"\r\n" and self._empty_lines < MAX_EMPTY_LINES:
            self._empty_lines += 1
            del self._buffer[:2]

    def _take_head(self):
        if not self._tail:
            self._drop_empty_lines()
            if self._buffer == b"\r" and self._empty_lines < MAX_EMPTY_LINES:
                return b""
        end = HEAD_END.search(self._tail + self._buffer)
        if end is None:
            piece = self._cut(len(self._buffer))
            self._tail = (self._tail + piece)[-2:]
            return piece
        self._part = _Part.PARSING
        return self._cut(end.end() - len(self._tail))

    def _take_data(self):
        piece = self._cut(min(self._left_bytes, len(self._buffer)))
        self._left_bytes -= len(piece)
        if not self._left_bytes:
            is_chunk = self._part is _Part.CHUNK
            self._part = _Part.CHUNK_LINE if is_chunk else _Part.DONE
        return piece

    def _take_chunk_line(self):
        line = self._take_line()
        found = CHUNK_LINE.fullmatch(line)
        if not line or found is None:
            return line
        size = int(found[1], 16)
        # The line end after a chunk belongs to its data.
        self._left_bytes = size + 2
        self._part = _Part.CHUNK if size else _Part.TRAILERS
        return b"%x\r\n" % size

    def _take_trailer(self):
        line = self._take_line()
        if line in (b"\r\n", b"\n"):
            self._part = _Part.DONE
        return line

    def _take_line(self):
        """Return the next line, b"" if it isn't complete, or what is too long."""
        end = self._buffer.find(b"\n") + 1
        if not end and len(self._buffer) > MAX_LINE_BYTES:
            self._part = _Part.INVALID
            end = len(self._buffer)
        return self._cut(end)

    def _cut(self, count):
        piece = bytes(self._buffer[:count])
        del self._buffer[:count]
        return piece
