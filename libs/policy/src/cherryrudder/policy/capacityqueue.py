"""Queue of the streams that wait for capacity on full engines.

When engines die with a part of the layers, or one account sends too much, more streams
arrive for some seconds than the remaining engines can run, and capacity becomes free as
others end. Without an order each waiting stream retries by itself: whichever tries at
the right moment is served, an account with excessive load gets its part of the
arrivals, streams that are already late take capacity that others could use in time, and
each attempt costs a search through all chains.

Interrupted answers that have begun go first: their clients see them stop and leave
within seconds, and the part that they have is worthless without the rest. Streams that
can still meet their objective go before those that cannot, as a late answer is worth a
quarter of one in time. Within each rank, accounts take turns by the tokens that they
were given (start-time fair queueing with equal weights), and an account's streams go by
arrival. The first stream that does not fit blocks the others, since small ones that
overtake it would starve the large.

No stream waits longer than its client does. A stream that cannot be reached in that
time at the current rate is refused at once, with that time. An answer that has begun
can no longer be refused, so it waits as long as its client.
"""

from collections.abc import Container
from typing import NamedTuple

# Weight of the newest admission in the rate at which capacity is freed. A full entry
# admits some ten streams a second, so the mean covers a second. Tokens and gaps are
# averaged separately: the mean of their quotients is far too high, as several
# admissions come at almost the same moment.
RATE_WEIGHT = 0.1
# Admissions before the rate is used; the first ones after an idle period are not
# representative.
MIN_ADMISSIONS = 5
# Ranks, in the order in which they are served.
BEGUN, IN_TIME, LATE = range(3)
# The most streams that wait at one entry. At a thousand bytes each it limits the
# memory, and at ten admissions a second no stream behind it would be reached.
MAX_WAITING = 256


class WaitingStream(NamedTuple):
    """A stream that waits for capacity; times are by the entry's own clock."""

    # Unique among the waiting streams.
    request_id: str
    account: str
    tokens: float
    arrived_s: float
    # Until then its first event can still meet the objective.
    first_event_deadline_s: float
    # Then its client is about to leave, or the stream is refused.
    expires_s: float
    # Its client already has a part of the answer.
    has_begun: bool = False


class CapacityQueue:
    """The streams of one entry that wait for capacity."""

    def __init__(self):
        self.waiting: dict[str, WaitingStream] = {}
        # Tokens that each account was given; only differences count.
        self.tags: dict[str, float] = {}
        self.virtual_time = 0.0
        # Means over the admissions: the tokens of a stream, and the time since the
        # previous one.
        self.mean_admitted_tokens = 0.0
        self.mean_gap_s = 0.0
        self.admissions = 0
        self.last_admitted_s: float | None = None


def ahead_tokens(queue: CapacityQueue, request: WaitingStream, now_s: float) -> float:
    """Return the tokens of the streams that are admitted before a new request."""
    return sum(
        other.tokens
        for other in queue.waiting.values()
        if _rank(other, now_s) <= _rank(request, now_s)
    )


def expected_wait_s(queue: CapacityQueue, tokens: float) -> float:
    """Return the seconds until capacity for this many tokens is free, 0 if unknown."""
    if queue.admissions < MIN_ADMISSIONS:
        return 0.0
    return tokens * queue.mean_gap_s / queue.mean_admitted_tokens


def push(queue: CapacityQueue, request: WaitingStream, now_s: float) -> float | None:
    """Queue a request; if it is refused, return after how many seconds to come back."""
    ahead = ahead_tokens(queue, request, now_s)
    wait_s = expected_wait_s(queue, ahead + request.tokens)
    would_expire = not request.has_begun and now_s + wait_s > request.expires_s
    if len(queue.waiting) >= MAX_WAITING or would_expire:
        return wait_s
    if not queue.waiting:
        # Time without waiting streams does not show how fast capacity is freed.
        queue.last_admitted_s = None
    queue.waiting[request.request_id] = request
    return None


def next_waiting(
    queue: CapacityQueue, now_s: float, skipped: Container[str] = ()
) -> WaitingStream | None:
    """Return the request that is admitted next."""
    usable = [r for r in queue.waiting.values() if r.request_id not in skipped]
    return min(usable, key=lambda r: _order(queue, r, now_s), default=None)


def _order(queue, request, now_s):
    tag = max(queue.tags.get(request.account, 0.0), queue.virtual_time)
    return (_rank(request, now_s), tag, request.arrived_s)


def _rank(request, now_s):
    if request.has_begun:
        return BEGUN
    return LATE if now_s > request.first_event_deadline_s else IN_TIME


def record_start(queue: CapacityQueue, request_id: str, now_s: float) -> None:
    """Remove a request that was given capacity."""
    request = queue.waiting.pop(request_id)
    tag = max(queue.tags.get(request.account, 0.0), queue.virtual_time)
    queue.virtual_time = tag
    queue.tags[request.account] = tag + request.tokens
    _record_admission(queue, request.tokens, now_s)
    if not queue.waiting:
        # With no stream waiting, no account is ahead of another.
        queue.tags.clear()
        queue.virtual_time = 0.0


def _record_admission(queue, tokens, now_s):
    if queue.last_admitted_s is not None:
        gap_s = now_s - queue.last_admitted_s
        weight = RATE_WEIGHT if queue.admissions else 1.0
        queue.mean_admitted_tokens += weight * (tokens - queue.mean_admitted_tokens)
        queue.mean_gap_s += weight * (gap_s - queue.mean_gap_s)
        queue.admissions += 1
    queue.last_admitted_s = now_s


def remove(queue: CapacityQueue, request_id: str) -> None:
    """Remove a request that no longer waits."""
    queue.waiting.pop(request_id, None)


def take_expired(queue: CapacityQueue, now_s: float) -> list[WaitingStream]:
    """Remove and return the requests whose wait has expired."""
    expired = [r for r in queue.waiting.values() if now_s >= r.expires_s]
    for request in expired:
        del queue.waiting[request.request_id]
    return expired
