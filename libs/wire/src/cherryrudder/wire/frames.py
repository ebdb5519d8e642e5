"""The token-step codec: length-prefixed msgpack frames, each a batch of messages.

HTTP with JSON costs one request per step; at many steps a second per hop that alone
fills a core (see docs/design/pipeline.md), so steps to one next hop share a frame.
"""

import struct
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from .errors import FrameError

LENGTH = struct.Struct(">I")
# Far above a batch of any real size; a length over it means bytes that are no frame.
MAX_FRAME_BYTES = 256 * 1024 * 1024


class Hello(NamedTuple):
    """First message of a link: the sender's key and its own frame address."""

    key: str
    address: str


class FrameCodec:
    """Encodes and decodes batches of a fixed list of message types."""

    def __init__(self, kinds: Sequence[type]):
        kinds = (Hello, *kinds)
        self._tags = {kind: tag for tag, kind in enumerate(kinds)}
        self._decoders = [msgspec.msgpack.Decoder(kind) for kind in kinds]
        self._batch = msgspec.msgpack.Decoder(list[tuple[int, msgspec.Raw]])
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, messages: Sequence) -> bytes:
        """Return one frame that holds all messages."""
        body = self._encoder.encode([(self._tags[type(m)], m) for m in messages])
        return LENGTH.pack(len(body)) + body

    def decode(self, body: bytes) -> list:
        """Return the messages of a frame's body; raises FrameError."""
        try:
            batch = self._batch.decode(body)
            return [self._decoders[tag].decode(raw) for tag, raw in batch]
        except (msgspec.DecodeError, IndexError) as error:
            raise FrameError(f"bad frame: {error}") from error


class FrameBuffer:
    """Cuts a stream of bytes into frames' bodies."""

    def __init__(self):
        self._data = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the bodies that are whole; raises FrameError."""
        self._data += data
        bodies = []
        start = 0
        while len(self._data) - start >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self._data, start)
            if size > MAX_FRAME_BYTES:
                raise FrameError(f"a frame of {size} bytes")
            end = start + LENGTH.size + size
            if len(self._data) < end:
                break
            bodies.append(bytes(self._data[start + LENGTH.size : end]))
            start = end
        del self._data[:start]
        return bodies
