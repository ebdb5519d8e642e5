"""The prefix cache: KV of whole blocks of inputs, least recently used out first."""

from collections import OrderedDict
from typing import NamedTuple

import xxhash

# vLLM's default block: small enough that a shared instruction of a few dozen tokens
# is worth caching, large enough that the table stays small beside the KV itself.
BLOCK_TOKENS = 16


class Block(NamedTuple):
    """The KV after a block, and the outputs of its positions for the next stage."""

    kv: tuple[str, ...]
    outputs: tuple[str, ...]


class Hit(NamedTuple):
    """What the cache holds of a prompt; `prefix` names the last block found."""

    prefix: str
    kv: tuple[str, ...]
    outputs: tuple[str, ...]


class PrefixCache:
    """Cached blocks by the digest of all inputs up to their end."""

    def __init__(self):
        self.blocks = OrderedDict()


def root_prefix(model: str, version: str) -> str:
    """Return the digest of the empty prefix."""
    return _digest(f"{model}/{version}")


def next_prefix(prefix: str, inputs: list[str]) -> str:
    """Return the digest of a prefix with one more block of inputs."""
    return _digest(f"{prefix}/{' '.join(inputs)}")


def match(cache: PrefixCache, root: str, inputs: list[str]) -> Hit | None:
    """Return the longest cached prefix of a prompt, which becomes the newest.

    The last input is always left to compute, since a step without any would give the
    engine no output of its own.
    """
    found = []
    prefix = root
    for start in range(0, len(inputs) - BLOCK_TOKENS, BLOCK_TOKENS):
        prefix = next_prefix(prefix, inputs[start : start + BLOCK_TOKENS])
        if prefix not in cache.blocks:
            break
        found.append(prefix)
    if not found:
        return None
    # A block is of no use without those before it; touching the last block first
    # makes the least recently used one a block that no other stands on.
    for prefix in reversed(found):
        cache.blocks.move_to_end(prefix)
    outputs = [value for prefix in found for value in cache.blocks[prefix].outputs]
    return Hit(found[-1], cache.blocks[found[-1]].kv, tuple(outputs))


def store(cache: PrefixCache, prefix: str, block: Block) -> bool:
    """Keep a block and tell whether it is new."""
    new = prefix not in cache.blocks
    cache.blocks[prefix] = block
    cache.blocks.move_to_end(prefix)
    return new


def shrink(cache: PrefixCache, room_tokens: int) -> list[str]:
    """Evict blocks until the cache fits the room; return their prefixes."""
    evicted = []
    while len(cache.blocks) * BLOCK_TOKENS > max(0, room_tokens):
        prefix, _ = cache.blocks.popitem(last=False)
        evicted.append(prefix)
    return evicted


def _digest(text):
    return xxhash.xxh64_hexdigest(text.encode())
