"""Records of a file: a marker, a length, a checksum and a payload.

The marker lets a reader find intact records behind a damaged one. That tells a torn
tail, which a crash leaves and which was never acknowledged, from damage to something
that was accepted.
"""

import struct
from typing import NamedTuple

import xxhash

MARKER = b"\xc3CRQ"
HEADER = struct.Struct(">4sIQ")
# No write is ever this long; a damaged length must not be believed.
MAX_PAYLOAD_BYTES = 1 << 30


class Scan(NamedTuple):
    """What a file holds: intact payloads, where they end, and a later intact record."""

    payloads: list[bytes]
    end: int
    intact_after: int | None


def encode_record(payload: bytes) -> bytes:
    """Return the record of a payload."""
    checksum = xxhash.xxh64_intdigest(payload)
    return HEADER.pack(MARKER, len(payload), checksum) + payload


def scan(data: bytes) -> Scan:
    """Return the records up to the first that is not intact."""
    payloads = []
    offset = 0
    while (payload := _record_at(data, offset)) is not None:
        payloads.append(payload)
        offset += HEADER.size + len(payload)
    return Scan(payloads, offset, _intact_after(data, offset))


def _record_at(data, offset):
    start = offset + HEADER.size
    if start > len(data):
        return None
    marker, length, checksum = HEADER.unpack_from(data, offset)
    if marker != MARKER or length > min(MAX_PAYLOAD_BYTES, len(data) - start):
        return None
    payload = bytes(data[start : start + length])
    return payload if xxhash.xxh64_intdigest(payload) == checksum else None


def _intact_after(data, offset):
    found = data.find(MARKER, offset + 1)
    while found >= 0:
        if _record_at(data, found) is not None:
            return found
        found = data.find(MARKER, found + 1)
    return None
