"""Fingerprints that identify a request, or a part of its prompt, at all entries."""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

DIGEST_BYTES = 12
LENGTH_BYTES = 8
# Further parts are ignored, which bounds the work for a request.
MAX_PARTS = 32
MAX_LABEL_CHARACTERS = 32


class Part(NamedTuple):
    """A part of a prompt that requests share."""

    # The part's ID as the client sent it, shortened.
    label: str
    # The same for all client accounts.
    fingerprint: str
    # For one client account, so that its crashes alone block no other account.
    account_fingerprint: str


def fingerprint(
    account: str, method: bytes, host: str, target: bytes, body: bytes
) -> str:
    """Return the digest of a client account's request, in hexadecimal.

    Each field is prefixed with its length, so that bytes can't move from one field to
    the next, and requests of different accounts never have the same digest.
    """
    return _digest((account.encode(), method, host.lower().encode(), target, body))


def part_fingerprints(
    account: str, service: str, part_ids: Iterable[str]
) -> tuple[Part, ...]:
    """Return the distinct parts of a request for a service."""
    distinct = list(dict.fromkeys(part_ids))[:MAX_PARTS]
    return tuple(
        Part(
            part_id[:MAX_LABEL_CHARACTERS],
            _digest((b"part", service.encode(), part_id.encode())),
            _digest((account.encode(), service.encode(), part_id.encode())),
        )
        for part_id in distinct
    )


def _digest(fields):
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        digest.update(field)
    return digest.hexdigest()
