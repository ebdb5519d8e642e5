"""Load balancing between the endpoints of a plain service.

Load pattern: few endpoints with few slots each (some six), requests of
some 20 ms and occasionally 110 ms, objectives of 125 ms, and several entries that
don't see one another's requests. Without a choice by load some endpoints queue while
others are idle, and a slow one keeps its share.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

# The weight of an endpoint's reported load halves in this time. A request of 20 ms has
# long ended by then, but a queue has not.
REPORT_HALF_LIFE_S = 0.25
# Added load of an endpoint in another data centre, in requests. The 0.25 ms each way
# are little compared to 20 ms of work, but the operators pay for traffic between them.
REMOTE_ZONE_LOAD = 0.5


class EndpointLoad(NamedTuple):
    """An endpoint and its load as one entry sees it."""

    engine_id: str
    address: str
    vm_zone: str
    slots: int
    # Requests of this entry that are in flight there.
    own_in_flight: int = 0
    # Requests running and queued as of its last answer, and the age of that answer.
    reported_load: float = 0.0
    report_age_s: float = 0.0
    is_suspect: bool = False


def pick(
    places: Iterable[EndpointLoad],
    home_zone: str,
    exclude: set[str],
    rng: random.Random,
) -> EndpointLoad | None:
    """Return the least loaded endpoint; suspects only if there is no other, or None."""
    usable = [place for place in places if place.engine_id not in exclude]
    sound = [place for place in usable if not place.is_suspect]
    candidates = sound or usable
    if not candidates:
        return None
    return min(candidates, key=lambda place: (_load(place, home_zone), rng.random()))


def _load(endpoint, home_zone):
    weight = 0.5 ** (endpoint.report_age_s / REPORT_HALF_LIFE_S)
    others = max(0.0, endpoint.reported_load - endpoint.own_in_flight) * weight
    remote = REMOTE_ZONE_LOAD if endpoint.vm_zone != home_zone else 0.0
    return (endpoint.own_in_flight + others + remote) / max(1, endpoint.slots)
