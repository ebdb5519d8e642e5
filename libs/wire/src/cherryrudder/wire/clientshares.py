"""Decide for which clients a process holds bytes, and whose connection gives way.

Load pattern: many clients send bodies that are each within the limits, stop before the
end and stay, or ask for long answers and read them slowly. Without a bound on the sum
the process runs out of memory, and ends with all requests that it serves.

A client's cost is the bytes held for it times the time for which they are. The client
with the highest cost gives way to others, so that what is small or has just come is
served while any that is large and has stopped remains.
"""

import heapq
import math
from collections.abc import Callable
from enum import StrEnum

# Objects and buffers of a connection without a request.
CONNECTION_BYTES = 16 * 1024
# Clients that hold no more than this are small; the rest of the bound is theirs alone.
SMALL_BYTES = 256 * 1024
LARGE_SHARE = 0.75
# Connections are dropped down to this part of a bound at once, since finding the ones
# with the highest cost takes a look at all.
LOW_MARK = 0.95


class Bound(StrEnum):
    """The bound for which a client is refused or its connection closed."""

    MEMORY = "memory"
    CONNECTIONS = "connections"


class Holding:
    """What is held for one connection, and how to close it."""

    __slots__ = ("drop", "held_bytes", "is_droppable", "since_s")

    def __init__(self, drop: Callable[[Bound], None], now_s: float):
        self.drop = drop
        self.held_bytes = CONNECTION_BYTES
        # Since when the connection waits for its client.
        self.since_s = now_s
        # False while a request is served, which may have run already.
        self.is_droppable = True


class ClientShares:
    """What is held for the clients of one listener."""

    def __init__(
        self, limit_bytes: float = math.inf, max_connections: float = math.inf
    ):
        self.limit_bytes = limit_bytes
        self.max_connections = max_connections
        self.held_bytes = 0
        self.holdings: set[Holding] = set()
        # Called with the bound for which a connection is dropped.
        self.on_drop: Callable[[Bound], None] = lambda bound: None


def open_holding(
    shares: ClientShares, drop: Callable[[Bound], None], now_s: float
) -> Holding:
    """Return the holding of a new connection; `drop` is to close it when called."""
    holding = Holding(drop, now_s)
    shares.holdings.add(holding)
    shares.held_bytes += holding.held_bytes
    return holding


def close_holding(shares: ClientShares, holding: Holding) -> None:
    """Remove a connection, if it hasn't been dropped yet."""
    if holding in shares.holdings:
        shares.holdings.discard(holding)
        shares.held_bytes -= holding.held_bytes


def hold(shares: ClientShares, holding: Holding, size: int, now_s: float) -> bool:
    """Count more bytes for a connection; return false if there is no room for them.

    Connections that cost more are dropped first.
    """
    if holding not in shares.holdings:
        return False
    is_small = holding.held_bytes + size <= SMALL_BYTES
    limit_bytes = shares.limit_bytes * (1.0 if is_small else LARGE_SHARE)
    holding.held_bytes += size
    shares.held_bytes += size
    if shares.held_bytes > limit_bytes:
        _make_room(shares, holding, limit_bytes, now_s)
    if shares.held_bytes <= limit_bytes:
        return True
    release(shares, holding, size)
    return False


def release(shares: ClientShares, holding: Holding, size: int) -> None:
    """Count fewer bytes for a connection."""
    if holding in shares.holdings:
        holding.held_bytes -= size
        shares.held_bytes -= size


def make_place(shares: ClientShares, now_s: float) -> bool:
    """Return whether one more connection may be opened; others may be dropped."""
    if len(shares.holdings) < shares.max_connections:
        return True
    count = 1 + int((1 - LOW_MARK) * len(shares.holdings))
    for holding in heapq.nlargest(count, _droppable(shares), _cost_at(now_s)):
        _drop(shares, holding, Bound.CONNECTIONS)
    return len(shares.holdings) < shares.max_connections


def _make_room(shares, asking, limit_bytes, now_s):
    """Drop the connections that cost more than the asking one, until there is room."""
    cost = _cost_at(now_s)
    others = [one for one in _droppable(shares) if one is not asking]
    if asking.is_droppable:
        others = [one for one in others if cost(one) > cost(asking)]
    for holding in sorted(others, key=cost, reverse=True):
        _drop(shares, holding, Bound.MEMORY)
        if shares.held_bytes <= LOW_MARK * limit_bytes:
            return


def _droppable(shares):
    return [holding for holding in shares.holdings if holding.is_droppable]


def _cost_at(now_s):
    return lambda holding: holding.held_bytes * (now_s - holding.since_s)


def _drop(shares, holding, bound):
    close_holding(shares, holding)
    shares.on_drop(bound)
    holding.drop(bound)
