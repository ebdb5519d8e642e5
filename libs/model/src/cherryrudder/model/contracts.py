"""Contracts: the access and limits that an operator has agreed with a customer."""

import hashlib
from typing import NamedTuple


class Contract(NamedTuple):
    """One customer's contract, from which all limits on the customer are derived."""

    customer: str
    key_sha256: str
    models: tuple[str, ...]
    services: tuple[str, ...]
    requests_per_s: float
    tokens_per_s: float
    concurrent_requests: int
    max_wait_s: float
    max_tokens: int = 4096
    burst_s: float = 2.0
    priorities: int = 3
    retired: bool = False


def digest_key(key: str) -> str:
    """Return the hex SHA-256 of a caller's key, as stored in contracts."""
    return hashlib.sha256(key.encode()).hexdigest()
