"""Split the bytes of a client's connection into requests for the parser.

The parser gets one request at a time, without what a server has to accept and h11
refuses: empty lines before a request (RFC 9112, 2.2) and chunk extensions after white
space (7.1.1). Chunks are merged, since each costs the parser as much as a large one.
All other bytes pass unchanged, so that h11 refuses what is invalid.
"""

import re
from enum import Enum, auto
from typing import NamedTuple

from .errors import BadRequest

# An empty line, after the line end before it.
HEAD_END = re.compile(rb"\n\r?\n")
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,20})[ \t]*(?:;[^\r\n\x00]*)?\r\n")
# Empty lines that are left out before a request; more are no mistake but a flood.
MAX_EMPTY_LINES = 8
# A longer line between chunks is passed on as it is.
MAX_LINE_BYTES = 4096
# Bytes that are looked at for chunks at a time, and chunks that are merged into one.
WINDOW_BYTES = 2048
MAX_MERGED_CHUNKS = 512
HEX_DIGITS = b"0123456789abcdefABCDEF"
MAX_SIZE_DIGITS = 20
# Costs in microseconds of a request, a line of its head, and some bytes of its body.
REQUEST_UNITS, LINE_UNITS = 100, 6
BYTES_PER_UNIT, CHUNK_BYTES_PER_UNIT = 512, 8


class _Part(Enum):
    """What the next bytes belong to."""

    HEAD = auto()
    # The head is passed on, but not yet parsed.
    PARSING = auto()
    BODY = auto()
    CHUNK_LINE = auto()
    CHUNK = auto()
    # The line end after a chunk's data.
    CHUNK_END = auto()
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

    def unread_bytes(self) -> int:
        """Return how many bytes have arrived that the parser hasn't been given."""
        return len(self._buffer)

    def cost_units(self, slice_units: int) -> int:
        """Return about how many microseconds `take` and the parser need."""
        size = len(self._buffer)
        if self._part is _Part.HEAD:
            return REQUEST_UNITS + LINE_UNITS * self._buffer.count(b"\n")
        if self._part in (_Part.CHUNK_LINE, _Part.CHUNK_END):
            return min(slice_units, 1 + size // CHUNK_BYTES_PER_UNIT)
        return 1 + size // BYTES_PER_UNIT

    def take(self) -> bytes:
        """Return and remove bytes that the parser may have now.

        That is a bounded amount of work, after which there may be more to take. Raises
        BadRequest if a chunk has no end.
        """
        passed = bytearray()
        while self._buffer:
            part = self._part
            piece = self._take_piece()
            passed += piece
            if part in (_Part.CHUNK_LINE, _Part.CHUNK) and piece:
                break
            if not piece and part is self._part:
                break
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
            case _Part.BODY:
                return self._take_data()
            case _Part.CHUNK_LINE:
                return self._take_chunks() or self._take_chunk_line()
            case _Part.CHUNK:
                return _as_chunk(self._take_data())
            case _Part.CHUNK_END:
                return self._take_chunk_end()
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
            self._part = _Part.CHUNK_END if is_chunk else _Part.DONE
        return piece

    def _take_chunks(self):
        """Return whole chunks merged into one, none if there is no whole one."""
        data, count = bytearray(), 0
        while count < MAX_MERGED_CHUNKS:
            window = bytes(self._buffer[:WINDOW_BYTES])
            found = _split_plain(window) or _split_any(window)
            if not found.count:
                break
            data += found.data
            count += found.count
            del self._buffer[: found.size]
        return _as_chunk(data)

    def _take_chunk_line(self):
        """Begin a chunk that hasn't arrived as a whole, or pass on the last one."""
        line = self._take_line()
        found = CHUNK_LINE.fullmatch(line)
        if found is None:
            # Both would lose count of the chunks if only one of them took this line.
            self._part = _Part.INVALID if line else self._part
            return line
        self._left_bytes = int(found[1], 16)
        if self._left_bytes:
            self._part = _Part.CHUNK
            return b""
        self._part = _Part.TRAILERS
        return b"0\r\n"

    def _take_chunk_end(self):
        if not b"\r\n".startswith(self._buffer[:2]):
            raise BadRequest(400, "a chunk is longer than its size")
        if len(self._buffer) > 1:
            self._cut(2)
            self._part = _Part.CHUNK_LINE
        return b""

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


class _Chunks(NamedTuple):
    """Whole chunks at the start of some bytes: their data, number and length."""

    data: bytes = b""
    count: int = 0
    size: int = 0


def _split_plain(window):
    """Find chunks without extensions whose data hold no line ends, None if others.

    Splitting all lines at once takes a fraction of the time of a look at each.
    """
    lines = window.split(b"\r\n")
    # What follows the last line end, and a size without its data.
    del lines[(len(lines) - 1) & ~1 :]
    sizes, pieces = lines[::2], lines[1::2]
    digits = b"".join(sizes)
    if not pieces or digits.translate(None, HEX_DIGITS) or b"" in sizes:
        return None
    lengths = [int(size, 16) for size in sizes]
    is_exact = lengths == list(map(len, pieces)) and 0 not in lengths
    if not is_exact or max(map(len, sizes)) > MAX_SIZE_DIGITS:
        return None
    data = b"".join(pieces)
    return _Chunks(data, len(pieces), len(digits) + len(data) + 4 * len(pieces))


def _split_any(window):
    """Find chunks one by one, up to the first that isn't whole or is the last."""
    pieces, at = [], 0
    while (line := CHUNK_LINE.match(window, at)) is not None:
        begin, size = line.end(), int(line[1], 16)
        end = begin + size
        if not size or window[end : end + 2] != b"\r\n":
            break
        pieces.append(window[begin:end])
        at = end + 2
    return _Chunks(b"".join(pieces), len(pieces), at)


def _as_chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""
