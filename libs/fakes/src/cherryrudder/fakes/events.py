"""Numbered cache events, published with delay and losses as by real engines."""

import random
from collections import deque
from typing import NamedTuple

# Enough for the longest run of the tests. A reader that falls further behind sees a
# gap, which it must handle in any case.
MAX_EVENTS = 10_000


class Event(NamedTuple):
    """A block was added to the cache (`stored`) or removed from it (`evicted`)."""

    number: int
    kind: str
    prefix: str


class EventLog:
    """The events of one engine; lost ones leave gaps in the numbers."""

    def __init__(self, lag_s: float, lost_share: float, rng: random.Random):
        self.lag_s = lag_s
        self.lost_share = lost_share
        self.rng = rng
        self.last_number = 0
        self.visible_s = 0.0
        self.events = deque(maxlen=MAX_EVENTS)


def publish(log: EventLog, kind: str, prefix: str, now_s: float):
    """Add an event with the next number; it is readable after the lag, or lost."""
    log.last_number += 1
    lag_s = log.lag_s * log.rng.uniform(0.5, 1.5)
    # Events become readable in the order of their numbers, as engines send them; only
    # the delay varies.
    log.visible_s = max(log.visible_s, now_s + lag_s)
    if log.rng.random() >= log.lost_share:
        event = Event(log.last_number, kind, prefix)
        log.events.append((log.visible_s, event))


def read_since(log: EventLog, number: int, now_s: float) -> list[Event]:
    """Return the events after a number that are readable by now."""
    return [
        event
        for visible_s, event in log.events
        if event.number > number and visible_s <= now_s
    ]
