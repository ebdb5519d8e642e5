"""Record of the endpoints that probably hold the KV cache of a prompt prefix.

Many requests share a few prompt prefixes, and one prefix may take more than half of the
load. Without affinity each endpoint would compute each prefix itself. With affinity
alone, the endpoint of the most popular prefix would be overloaded while others are
idle; so affinity is limited by load.

Endpoints are ranked for a prefix by rendezvous hashing, so that all entries get the
same ranking without communication, and the loss of an endpoint moves only its own
prefixes. Cache events from engines arrive late and with gaps, so they are only
additional hints. They are numbered, and a gap drops the record of that engine's cache.
"""

from typing import NamedTuple

import xxhash

# Prefixes are ranked by hash slot, so that rankings can be stored: 1024 slots over 40
# engines put some 25 slots on each, an imbalance that the load bound evens out.
HASH_SLOTS = 1024
# The first choice, and the one that takes the load above its bound.
RANKED_COUNT = 2
# An endpoint with more than this times the mean in flight is not used. A quarter above
# the mean is the usual choice for consistent hashing with bounded loads.
LOAD_BOUND = 1.25
# An endpoint with less than this fraction of its slots in use is not overloaded,
# whatever the mean; otherwise affinity would end at two requests when little is in
# flight.
UNLOADED_FRACTION = 0.5
# Prefixes recorded per endpoint from its events; more than an engine's cache holds of
# long ones.
MAX_PREFIXES = 2000
# Prefixes that count as cached because this entry has just sent them there. Engines
# evict by use in limited memory, and other entries send too, so only the latest are
# likely to be cached.
MAX_SENT = 8


class CacheEvent(NamedTuple):
    """One change of an engine's prefix cache; a gap in the numbers is a lost event."""

    number: int
    prefix: str
    is_stored: bool


class CacheView:
    """The prefixes that the engines' caches probably hold."""

    def __init__(self, max_prefixes=MAX_PREFIXES):
        self.max_prefixes = max_prefixes
        self.numbers: dict[str, int] = {}
        self.prefixes: dict[str, dict[str, None]] = {}
        self.holders: dict[str, set[str]] = {}


def hash_slot(prefix: str) -> int:
    """Return a prefix's hash slot."""
    return xxhash.xxh3_64_intdigest(prefix.encode("utf-8", "replace")) % HASH_SLOTS


def rank(endpoints, slot: int) -> tuple[str, ...]:
    """Return the preferred endpoints of a slot by rendezvous hashing, best first."""
    hashed = xxhash.xxh3_64_intdigest
    scored = [(hashed(name.encode(), slot), name) for name in endpoints]
    return tuple(name for _, name in sorted(scored, reverse=True)[:RANKED_COUNT])


def load_bound(in_flight: int, endpoints: int, slots: int) -> float:
    """Return the most requests in flight at an endpoint that is chosen by affinity.

    `in_flight` is the sum over the `endpoints` of its group; `slots` are its own.
    """
    mean = (in_flight + 1) / max(1, endpoints)
    return max(1.0, LOAD_BOUND * mean, UNLOADED_FRACTION * slots)


def apply_event(view: CacheView, endpoint: str, event: CacheEvent) -> None:
    """Apply a cache event; a gap or a restart drops the endpoint's record first."""
    last = view.numbers.get(endpoint)
    if last is not None and event.number <= last and event.number > 1:
        return
    if last is not None and event.number != last + 1:
        # Evictions in the gap are unknown: with the old record, requests would be sent
        # to caches that have long dropped the prefix.
        drop_endpoint(view, endpoint)
    view.numbers[endpoint] = event.number
    if event.is_stored:
        record_stored(view, endpoint, event.prefix)
    elif holds(view, endpoint, event.prefix):
        _drop(view, endpoint, event.prefix)


def record_stored(view: CacheView, endpoint: str, prefix: str) -> None:
    """Record that an endpoint probably holds a prefix, as its most recent one."""
    known = view.prefixes.setdefault(endpoint, {})
    known.pop(prefix, None)
    known[prefix] = None
    view.holders.setdefault(prefix, set()).add(endpoint)
    if len(known) > view.max_prefixes:
        _drop(view, endpoint, next(iter(known)))


def holds(view: CacheView, endpoint: str, prefix: str) -> bool:
    """Return whether an endpoint probably holds a prefix."""
    return prefix in view.prefixes.get(endpoint, ())


def drop_endpoint(view: CacheView, endpoint: str) -> None:
    """Drop the record of an endpoint's cache."""
    for prefix in list(view.prefixes.get(endpoint, ())):
        _drop(view, endpoint, prefix)
    view.prefixes.pop(endpoint, None)
    view.numbers.pop(endpoint, None)


def holders_of(view: CacheView, prefix: str) -> set[str]:
    """Return the endpoints that probably hold a prefix."""
    return view.holders.get(prefix, set())


def _drop(view, endpoint, prefix):
    del view.prefixes[endpoint][prefix]
    holders = view.holders[prefix]
    holders.discard(endpoint)
    if not holders:
        del view.holders[prefix]
