"""Who gets the room that comes free on full engines, and who is told to come back.

Load pattern: engines die and take a part of the layers with them, or a partner floods;
for some seconds more streams come than the rest has room for, and room comes free as
others end. Without an order each waiting stream tries by itself: who comes in at the
right moment is served, a flooding account gets its part of the arrivals, streams that
are late already take the room that others could use in time, and each try costs a
search through all chains.

Order: answers that have begun and were interrupted go first; their clients see them
stand still and leave within seconds, and what they have is worth nothing without the
rest. Streams that can still meet their objective go before those that can't, as a late
answer is worth a quarter of one in time. Within each rank, accounts take turns by
the tokens that they were given (start-time fair queueing with equal weights), and an
account's streams go by arrival. The first one that finds no room holds the others up,
since small ones that slip by would starve the large.

Nobody waits longer than its client does, and nobody who can't be reached in that time
by the rate at which room came free is let in: it is refused at once, with that time. An
answer that has begun can't be refused any more, so it waits as long as its client.
"""

from collections.abc import Container
from typing import NamedTuple

# Weight of the newest turn in the rate at which room comes free. A turn comes some ten
# times a second on a full entry, so that a second is remembered. Tokens and times are
# remembered each by itself: the mean of their quotients is far too high, as several
# turns come at almost the same moment.
RATE_MEMORY = 0.1
# Turns before the rate counts; the first ones after a calm say little.
FEWEST_TURNS = 5
# The ranks, first to last.
BEGUN, IN_TIME, LATE = range(3)
# Streams that wait at one entry at the most. At a thousand bytes each it bounds the
# memory, and at ten turns a second nobody behind it would be reached.
MAX_WAITING = 256


class WaitingStream(NamedTuple):
    """A stream that waits for room; times are by the entry's own clock."""

    # Differs from those of all others that wait.
    request_id: str
    account: str
    tokens: float
    arrived_s: float
    # Until then its first event can still be in time.
    first_event_deadline_s: float
    # Then its client is about to leave, or its answer is refused.
    expires_s: float
    # Its client has a part of the answer already.
    has_begun: bool = False


class CapacityQueue:
    """The streams of one entry that wait for room."""

    def __init__(self):
        self.waiting: dict[str, WaitingStream] = {}
        # What each account was given, in tokens; only differences count.
        self.tags: dict[str, float] = {}
        self.virtual = 0.0
        # Of a usual turn: the tokens that got room, and the time since the one before.
        self.turn_tokens = 0.0
        self.turn_gap_s = 0.0
        self.turns = 0
        self.turn_s: float | None = None


def ahead_tokens(queue: CapacityQueue, request: WaitingStream, now_s: float) -> float:
    """Return the tokens that are given room before a new request."""
    return sum(
        other.tokens
        for other in queue.waiting.values()
        if _rank(other, now_s) <= _rank(request, now_s)
    )


def expected_wait_s(queue: CapacityQueue, tokens: float) -> float:
    """Return how long room for so many tokens takes to come free, 0 if unknown."""
    if queue.turns < FEWEST_TURNS:
        return 0.0
    return tokens * queue.turn_gap_s / queue.turn_tokens


def push(queue: CapacityQueue, request: WaitingStream, now_s: float) -> float | None:
    """Let a request wait; else return in how many seconds there may be room."""
    ahead = ahead_tokens(queue, request, now_s)
    wait_s = expected_wait_s(queue, ahead + request.tokens)
    is_in_vain = not request.has_begun and now_s + wait_s > request.expires_s
    if len(queue.waiting) >= MAX_WAITING or is_in_vain:
        return wait_s
    if not queue.waiting:
        # Time without anybody waiting says nothing of the room that came free.
        queue.turn_s = None
    queue.waiting[request.request_id] = request
    return None


def next_waiting(
    queue: CapacityQueue, now_s: float, skipped: Container[str] = ()
) -> WaitingStream | None:
    """Return the request that is next to get room."""
    usable = [r for r in queue.waiting.values() if r.request_id not in skipped]
    return min(usable, key=lambda r: _order(queue, r, now_s), default=None)


def _order(queue, request, now_s):
    tag = max(queue.tags.get(request.account, 0.0), queue.virtual)
    return (_rank(request, now_s), tag, request.arrived_s)


def _rank(request, now_s):
    if request.has_begun:
        return BEGUN
    return LATE if now_s > request.first_event_deadline_s else IN_TIME


def record_start(queue: CapacityQueue, request_id: str, now_s: float) -> None:
    """Take a request out that was given room."""
    request = queue.waiting.pop(request_id)
    tag = max(queue.tags.get(request.account, 0.0), queue.virtual)
    queue.virtual = tag
    queue.tags[request.account] = tag + request.tokens
    _count_turn(queue, request.tokens, now_s)
    if not queue.waiting:
        # Nobody is ahead of anybody any more.
        queue.tags.clear()
        queue.virtual = 0.0


def _count_turn(queue, tokens, now_s):
    if queue.turn_s is not None:
        gap_s = now_s - queue.turn_s
        weight = RATE_MEMORY if queue.turns else 1.0
        queue.turn_tokens += weight * (tokens - queue.turn_tokens)
        queue.turn_gap_s += weight * (gap_s - queue.turn_gap_s)
        queue.turns += 1
    queue.turn_s = now_s


def remove(queue: CapacityQueue, request_id: str) -> None:
    """Take a request out that waits no longer."""
    queue.waiting.pop(request_id, None)


def take_expired(queue: CapacityQueue, now_s: float) -> list[WaitingStream]:
    """Take out the requests that have waited as long as their clients will."""
    expired = [r for r in queue.waiting.values() if now_s >= r.expires_s]
    for request in expired:
        del queue.waiting[request.request_id]
    return expired
