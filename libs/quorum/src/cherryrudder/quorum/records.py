"""Records in a file: marker, length, checksum and payload.

The marker allows finding intact records after a damaged one. This distinguishes a torn
tail, which a crash leaves and which was never acknowledged, from damage to accepted
data.
"""

import struct
from typing import NamedTuple

import xxhash

MARKER = b"\xc3CRQ"
HEADER = struct.Struct(">4sIQ")
# No write is this long, so a larger length means that the header is damaged.
MAX_PAYLOAD_BYTES = 1 << 30


class Scan(NamedTuple):
    """Result of a scan: intact payloads, their end offset, and a later intact record.

    `intact_after` is the offset of an intact record after damage, or None.
    """

    payloads: list[bytes]
    end: int
    intact_after: int | None


def encode_record(payload: bytes) -> bytes:
    """Return a payload with its record header."""
    checksum = xxhash.xxh64_intdigest(payload)
    return HEADER.pack(MARKER, len(payload), checksum) + payload


def scan(data: bytes) -> Scan:
    """Return the payloads up to the first record that is not intact."""
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
