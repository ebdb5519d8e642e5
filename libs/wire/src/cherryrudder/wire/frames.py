"""Codec for length-prefixed msgpack frames, each a batch of messages.

With HTTP and JSON every token step would be a request of its own, and at many steps per
second and hop that alone uses a whole core (see docs/design/pipeline.md). Steps to the
same next hop therefore share a frame.
"""

import struct
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec
from loguru import logger

from .errors import FrameError

LENGTH = struct.Struct(">I")
# Far above any real batch; a larger length means that the bytes are not a frame.
MAX_FRAME_BYTES = 256 * 1024 * 1024

log = logger.bind(part="links")


class Hello(NamedTuple):
    """First message on a link: the sender's key and frame address."""

    key: str
    address: str


class FrameCodec:
    """Encoder and decoder for batches of a fixed list of message types.

    A message that can't be encoded or decoded is left out of its batch: all processes
    exchange much the same messages, so one that ended its reader or writer would end
    every process.
    """

    def __init__(self, kinds: Sequence[type]):
        kinds = (Hello, *kinds)
        self._kinds = kinds
        self._tags = {kind: tag for tag, kind in enumerate(kinds)}
        self._decoders = [msgspec.msgpack.Decoder(kind) for kind in kinds]
        self._batch = msgspec.msgpack.Decoder(list[tuple[int, msgspec.Raw]])
        self._encoder = msgspec.msgpack.Encoder()
        # Called with the name of the kind of each message that is left out.
        self.on_left_out: Callable[[str], None] = lambda kind: None
        self._logged: set[tuple[str, type]] = set()

    def encode(self, messages: Sequence) -> bytes:
        """Encode messages as one frame, or as several if one doesn't hold them."""
        try:
            return self._encode_frame(messages)
        except Exception as error:
            if len(messages) == 1:
                self._leave_out(type(messages[0]).__name__, error)
                return b""
        middle = len(messages) // 2
        return self.encode(messages[:middle]) + self.encode(messages[middle:])

    def _encode_frame(self, messages):
        body = self._encoder.encode([(self._tags[type(m)], m) for m in messages])
        if len(body) > MAX_FRAME_BYTES:
            raise FrameError(f"frame too large: {len(body)} bytes")
        return LENGTH.pack(len(body)) + body

    def decode(self, body: bytes) -> list:
        """Decode a frame's body to its messages; raises FrameError."""
        try:
            batch = self._batch.decode(body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise FrameError(f"bad frame: {error}") from error
        messages = []
        for tag, raw in batch:
            try:
                messages.append(self._decode_message(tag, raw))
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
                self._leave_out(self._kinds[tag].__name__, error)
            except FrameError as error:
                self._leave_out("unknown", error)
        return messages

    def _decode_message(self, tag, raw):
        if not 0 <= tag < len(self._decoders):
            raise FrameError(f"unknown tag {tag}")
        return self._decoders[tag].decode(raw)

    def _leave_out(self, kind, error):
        self.on_left_out(kind)
        if (kind, type(error)) not in self._logged:
            # Heartbeats would repeat it several times per second.
            self._logged.add((kind, type(error)))
            log.error("A message of kind {} was left out: {!r}.", kind, error)


class FrameBuffer:
    """Splits a byte stream into the bodies of frames."""

    def __init__(self):
        self._data = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the bodies that are complete; raises FrameError."""
        self._data += data
        bodies = []
        start = 0
        while len(self._data) - start >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self._data, start)
            if size > MAX_FRAME_BYTES:
                raise FrameError(f"frame too large: {size} bytes")
            end = start + LENGTH.size + size
            if len(self._data) < end:
                break
            bodies.append(bytes(self._data[start + LENGTH.size : end]))
            start = end
        del self._data[:start]
        return bodies
