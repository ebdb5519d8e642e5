"""Codec for length-prefixed msgpack frames, each a batch of messages.

With HTTP and JSON every token step would be a request of its own, and at many steps per
second and hop that alone uses a whole core (see docs/design/pipeline.md). Steps to the
same next hop therefore share a frame.
"""

import struct
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from .errors import FrameError

LENGTH = struct.Struct(">I")
# Far above any real batch; a larger length means that the bytes are not a frame.
MAX_FRAME_BYTES = 256 * 1024 * 1024


class Hello(NamedTuple):
    """First message on a link: the sender's key and frame address."""

    key: str
    address: str


class FrameCodec:
    """Encoder and decoder for batches of a fixed list of message types."""

    def __init__(self, kinds: Sequence[type]):
        kinds = (Hello, *kinds)
        self._tags = {kind: tag for tag, kind in enumerate(kinds)}
        self._decoders = [msgspec.msgpack.Decoder(kind) for kind in kinds]
        self._batch = msgspec.msgpack.Decoder(list[tuple[int, msgspec.Raw]])
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, messages: Sequence) -> bytes:
        """Encode all messages as one frame."""
        body = self._encoder.encode([(self._tags[type(m)], m) for m in messages])
        return LENGTH.pack(len(body)) + body

    def decode(self, body: bytes) -> list:
        """Decode the messages of a frame's body; raises FrameError."""
        try:
            batch = self._batch.decode(body)
            return [self._decoders[tag].decode(raw) for tag, raw in batch]
        except (msgspec.DecodeError, IndexError) as error:
            raise FrameError(f"bad frame: {error}") from error


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
