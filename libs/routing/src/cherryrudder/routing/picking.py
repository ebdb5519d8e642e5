"""Which endpoint of a plain service gets a request.

Load pattern: few endpoints with few places each (some six), work of
some 20 ms beside now and then 110 ms, objectives of 125 ms, and several entries that
don't see one another's requests. Without a choice by load some endpoints queue while
others idle, and a slow one keeps its share.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

# What an endpoint told of itself halves in weight after this time; work of 20 ms is
# long over then, but a queue is not.
TOLD_HALF_LIFE_S = 0.25
# A place in another data centre counts as this much of a request more: 0.25 ms each
# way is little beside 20 ms of work, and crossings cost the operators.
FAR_LOAD = 0.5


class EndpointLoad(NamedTuple):
    """An endpoint as one entry sees it."""

    engine_id: str
    address: str
    vm_zone: str
    slots: int
    # Requests of this entry that are under way there.
    own_in_flight: int = 0
    # Running and waiting when it last answered, and how long ago that was.
    reported_load: float = 0.0
    report_age_s: float = 0.0
    is_suspect: bool = False


def pick(
    places: Iterable[EndpointLoad],
    home_zone: str,
    exclude: set[str],
    rng: random.Random,
) -> EndpointLoad | None:
    """Return the endpoint that is likely to answer first, suspects only in need."""
    usable = [place for place in places if place.engine_id not in exclude]
    sound = [place for place in usable if not place.is_suspect]
    candidates = sound or usable
    if not candidates:
        return None
    return min(candidates, key=lambda place: (_load(place, home_zone), rng.random()))


def _load(place, home_zone):
    weight = 0.5 ** (place.report_age_s / TOLD_HALF_LIFE_S)
    others = max(0.0, place.reported_load - place.own_in_flight) * weight
    far = FAR_LOAD if place.vm_zone != home_zone else 0.0
    return (place.own_in_flight + others + far) / max(1, place.slots)
