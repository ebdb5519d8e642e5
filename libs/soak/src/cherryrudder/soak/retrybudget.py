"""Check the operators' retry budget against the arrivals at all engines."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from cherryrudder.standin.engine import Arrival


class RetryBound(NamedTuple):
    """How many retries a service may get in each window of time."""

    ratio: float
    slack: float
    window_s: float


class Sent(NamedTuple):
    """A request that a client sent on a route to a service."""

    service: str
    sent_s: float


class Excess(NamedTuple):
    """The window in which a service got the most retries beyond the bound."""

    service: str
    ends_s: float
    retries: int
    allowed: float


def find_worst(
    sent: Iterable[Sent], arrivals: Iterable[Arrival], bound: RetryBound
) -> list[Excess]:
    """Return each service's window with the most retries relative to the bound."""
    sent_s = defaultdict(list)
    for one in sorted(sent):
        sent_s[one.service].append(one.sent_s)
    retries_s, seen = defaultdict(list), set()
    for one in sorted(arrivals, key=lambda arrival: arrival.at_s):
        if not one.request_id:
            # A health check.
            continue
        if one.request_id in seen:
            retries_s[one.service].append(one.at_s)
        seen.add(one.request_id)
    return [
        max(
            (
                _window(service, times_s, sent_s[service], n, bound)
                for n in range(len(times_s))
            ),
            key=lambda window: window.retries - window.allowed,
        )
        for service, times_s in retries_s.items()
    ]


def _window(service, retries_s, sent_s, last, bound):
    ends_s, length_s = retries_s[last], bound.window_s
    retries = last + 1 - bisect_left(retries_s, ends_s - length_s)
    # Requests count in this window, the one before or the one half a window before.
    requests = max(
        _count(sent_s, ends_s - (1 + shift) * length_s, ends_s - shift * length_s)
        for shift in (0, 0.5, 1)
    )
    return Excess(service, ends_s, retries, bound.ratio * requests + bound.slack)


def _count(times_s, begins_s, ends_s):
    return bisect_right(times_s, ends_s) - bisect_left(times_s, begins_s)
