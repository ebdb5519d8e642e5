"""Credits: the number of requests that each entry may have at an endpoint.

Several entries send to the same endpoints and receive their load seconds late. Without
credits all entries see the same idle endpoint and send to it at the same moment, and
the requests wait there while other endpoints have capacity (a herd). With credits,
which the endpoint's sidecar grants, a request stays in the entry's queue until an
endpoint has capacity for it (late binding). A faster accelerator, which frees its slots
sooner, gets more requests without tuning.

The sum of credits never exceeds the slots, except for requests in flight while credits
are withdrawn, which is one round trip's worth.
"""

import math
from typing import NamedTuple

# After this long without a report an entry holds only the requests that it runs. At
# four reports a second two may be lost, and a dead entry's credits are free again in a
# second.
CREDIT_LEASE_S = 1.0


class Credits(NamedTuple):
    """The requests that an entry may have at an endpoint; higher numbers are newer."""

    endpoint: str
    number: int
    count: int


class Holding(NamedTuple):
    """What an entry holds of an endpoint's slots."""

    count: int
    running: int
    wanted: int
    reported_s: float


class Issuer:
    """The credits that one endpoint's sidecar has granted."""

    def __init__(self, endpoint, slots):
        self.endpoint = endpoint
        self.slots = slots
        self.is_leaving = False
        self.number = 0
        self.holdings: dict[str, Holding] = {}


def handle_report(issuer: Issuer, entry: str, running, wanted, now_s: float) -> Credits:
    """Record an entry's running and additionally wanted requests; return its credits.

    A leaving endpoint grants no new ones, so that it ends with the requests that it
    runs.
    """
    _drop_lapsed(issuer, now_s)
    issuer.holdings.pop(entry, None)
    others = issuer.holdings.values()
    taken = sum(max(other.count, other.running) for other in others)
    free = max(0, issuer.slots - taken - running)
    spare = 0 if issuer.is_leaving else _spare_credits(issuer, wanted, free, running)
    count = running + spare
    issuer.number += 1
    issuer.holdings[entry] = Holding(count, running, wanted, now_s)
    return Credits(issuer.endpoint, issuer.number, count)


def _spare_credits(issuer, wanted, free, running):
    """Return the entry's part of the free slots."""
    others = issuer.holdings.values()
    # An entry without demand may keep one credit, so that its next request starts
    # without a round trip, but only if that leaves one for each other entry.
    if wanted <= 0:
        return min(1, max(0, free - len(issuer.holdings)))
    demands = [running + wanted]
    demands += [other.running + other.wanted for other in others]
    # Max-min: what others leave of an even split goes to entries with a higher demand.
    # Under a plain even split an entry with little load would hold half of each
    # endpoint idle.
    fair = math.ceil(fair_part(demands, issuer.slots))
    return min(free, wanted, max(0, fair - running))


def fair_part(demands: list[float], pool: float) -> float:
    """Return the max-min fair part of a pool for the first of these demands."""
    mine = demands[0]
    left = pool
    for served, demand in enumerate(sorted(demands)):
        even = left / (len(demands) - served)
        if mine <= demand or demand > even:
            return min(mine, even)
        left -= demand
    return 0.0


def _drop_lapsed(issuer, now_s):
    for entry, holding in list(issuer.holdings.items()):
        if now_s - holding.reported_s < CREDIT_LEASE_S:
            continue
        if holding.running:
            kept = holding._replace(count=holding.running, wanted=0)
            issuer.holdings[entry] = kept
        else:
            del issuer.holdings[entry]
