"""Fingerprints that identify a request across attempts and entries."""

import hashlib

DIGEST_BYTES = 12
LENGTH_BYTES = 8


def fingerprint(
    account: str, method: bytes, host: str, target: bytes, body: bytes
) -> str:
    """Return the digest of a client account's request, in hexadecimal.

    Each field is prefixed with its length, so that bytes can't move from one field to
    the next, and requests of different accounts never have the same digest.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (account.encode(), method, host.lower().encode(), target, body):
        digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        digest.update(field)
    return digest.hexdigest()
