"""Which crashes of a request, or a part of prompts, nothing else explains.

Those that other suspects had as well don't tell which of them is the cause.
"""

import collections
import itertools
from collections.abc import Collection, Mapping, Set
from typing import NamedTuple

from .crashbook import CrashBook

# Weighted crashes after which a request is a suspect: suspects that ran side by side
# are sent at different times.
SUSPECT_CRASHES = 2.0


class OwnCrashes(NamedTuple):
    """The engines of a request's crashes that other suspects don't explain."""

    # No other suspect was cut there, request or part.
    alone: set[str]
    # Nothing else was cut there that is held, and so a suspect by its other crashes.
    beside_one_crash: set[str]


def own_crashes(
    book: CrashBook,
    counted: Mapping[str, Set[str]],
    totals: Mapping[str, float],
    causes: Collection[str],
) -> dict[str, OwnCrashes]:
    """Return what no other suspect had of each request's or part's crashes.

    `counted` are the engines of the crashes that count, `totals` their weights, and
    `causes` the likely causes. A trial runs apart from what is held, so that nothing
    else excuses its crash.
    """
    suspects = {one for one in counted if totals[one] >= SUSPECT_CRASHES}
    held = {one for one in suspects if totals[one] >= SUSPECT_CRASHES + 1}
    held = {one for one in held if one in causes or not book.records[one].part}
    alone = _unshared(book, counted, suspects)
    beside_one_crash = _unshared(book, counted, held)
    return {one: OwnCrashes(alone[one], beside_one_crash[one]) for one in alone}


def _unshared(book, counted, suspects):
    """Return the crashes that no other suspect had.

    What comes with a request in all its crashes explains them no other way. A part is
    only excused by whole requests, since others with it crash engines as well.
    """
    requests = {one for one in suspects if not book.records[one].part}
    times = _count_engines(counted, suspects)
    request_times = _count_engines(counted, requests)
    found = {}
    for one, ids in counted.items():
        record = book.records[one]
        others, seen = (requests, request_times) if record.part else (suspects, times)
        own = others & {one, *(record.companions or ())}
        found[one] = {
            engine_id
            for engine_id in ids
            if seen[engine_id] <= sum(engine_id in counted[same] for same in own)
        }
    return found


def _count_engines(counted, fingerprints):
    """Return how many of some requests and parts each engine ended under."""
    return collections.Counter(itertools.chain(*(counted[one] for one in fingerprints)))
