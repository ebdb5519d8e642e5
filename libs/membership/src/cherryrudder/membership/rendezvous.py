"""Rendezvous hashing: each key ranks all names; a lost name moves only its keys."""

from collections.abc import Iterable

import xxhash


def rank(names: Iterable[str], key: str) -> list[str]:
    """Return the names in the key's order of preference, best first."""
    return sorted(names, key=lambda name: (_weight(name, key), name), reverse=True)


def _weight(name, key):
    # The key's length distinguishes ("ab", "c") from ("a", "bc").
    return xxhash.xxh64_intdigest(f"{len(key)}/{key}/{name}".encode())
