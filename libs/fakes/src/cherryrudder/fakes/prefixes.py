"""The prefix cache: KV of whole blocks of inputs, with LRU eviction."""

from collections import OrderedDict
from typing import NamedTuple

import xxhash

# The default of vLLM: small enough to cache a shared instruction of a few dozen tokens,
# large enough to keep the table small compared to the KV itself.
BLOCK_TOKENS = 16


class Block(NamedTuple):
    """The KV after a block, and the outputs of its positions for the next stage."""

    kv: tuple[str, ...]
    outputs: tuple[str, ...]


class Hit(NamedTuple):
    """The cached part of a prompt; `prefix` is the digest of the last block found."""

    prefix: str
    kv: tuple[str, ...]
    outputs: tuple[str, ...]


class PrefixCache:
    """Cached blocks, by the digest of all inputs up to their end."""

    def __init__(self):
        self.blocks = OrderedDict()


def root_prefix(model: str, version: str) -> str:
    """Return the digest of the empty prefix."""
    return _digest(f"{model}/{version}")


def next_prefix(prefix: str, inputs: list[str]) -> str:
    """Return the digest of a prefix with one more block of inputs."""
    return _digest(f"{prefix}/{' '.join(inputs)}")


def match(cache: PrefixCache, root: str, inputs: list[str]) -> Hit | None:
    """Return the longest cached prefix of a prompt and mark it as recently used.

    The last input is always left to compute, since the engine needs at least one to
    produce an output.
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
    # A block is useless without those before it. Marking the last block first ensures
    # that the least recently used block is one that no other depends on.
    for prefix in reversed(found):
        cache.blocks.move_to_end(prefix)
    outputs = [value for prefix in found for value in cache.blocks[prefix].outputs]
    return Hit(found[-1], cache.blocks[found[-1]].kv, tuple(outputs))


def store(cache: PrefixCache, prefix: str, block: Block) -> bool:
    """Add a block and return whether it is new."""
    new = prefix not in cache.blocks
    cache.blocks[prefix] = block
    cache.blocks.move_to_end(prefix)
    return new


def shrink(cache: PrefixCache, room_tokens: int) -> list[str]:
    """Evict blocks until the cache fits into `room_tokens`; return their prefixes."""
    evicted = []
    while len(cache.blocks) * BLOCK_TOKENS > max(0, room_tokens):
        prefix, _ = cache.blocks.popitem(last=False)
        evicted.append(prefix)
    return evicted


def _digest(text):
    return xxhash.xxh64_hexdigest(text.encode())
