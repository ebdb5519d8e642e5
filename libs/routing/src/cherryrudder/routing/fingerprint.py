"""Telling a request by what it is, whichever attempt or entry brings it."""

import hashlib

DIGEST_BYTES = 12
LENGTH_BYTES = 8


def fingerprint(
    account: str, method: bytes, host: str, target: bytes, body: bytes
) -> str:
    """Return the digest of what a client account asks.

    Each field goes in with its length, so that none can pass for a part of its
    neighbour, and one account's request never has another's digest.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (account.encode(), method, host.lower().encode(), target, body):
        digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        digest.update(field)
    return digest.hexdigest()
