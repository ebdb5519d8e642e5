"""Credits: how many requests each entry may have at an endpoint, told by its sidecar.

Load pattern: several entries send to the same endpoints and learn of their load seconds
late. Without it: all entries see the same endpoint idle and send to it at the same
moment; the requests wait there, blindly, while other endpoints have room (a herd). With
credits a request stays in the entry's queue until an endpoint has room for it (late
binding), and a faster accelerator, which frees its slots sooner, earns more without
being tuned.

The sum of credits never passes the slots, but for requests under way while credits are
taken back, which is one round trip's worth.
"""

import math
from typing import NamedTuple

# An entry that has not reported for so long holds only what it is running: two lost
# reports at four a second are borne, and a dead entry's credits are back in a second.
CREDIT_LEASE_S = 1.0


class Credits(NamedTuple):
    """How many requests an entry may have at an endpoint; larger numbers are newer."""

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
    """The credits that one endpoint's sidecar has given."""

    def __init__(self, endpoint, slots):
        self.endpoint = endpoint
        self.slots = slots
        self.is_leaving = False
        self.number = 0
        self.holdings: dict[str, Holding] = {}


def handle_report(issuer: Issuer, entry: str, running, wanted, now_s: float) -> Credits:
    """Take an entry's report, what it runs here and wants besides; return its credits.

    A leaving endpoint gives none, so that its last request is the last of those that
    it has already.
    """
    _drop_lapsed(issuer, now_s)
    issuer.holdings.pop(entry, None)
    others = issuer.holdings.values()
    taken = sum(max(other.count, other.running) for other in others)
    free = max(0, issuer.slots - taken - running)
    spare = 0 if issuer.is_leaving else _part(issuer, wanted, free, running)
    count = running + spare
    issuer.number += 1
    issuer.holdings[entry] = Holding(count, running, wanted, now_s)
    return Credits(issuer.endpoint, issuer.number, count)


def _part(issuer, wanted, free, running):
    """Return the part of the free slots for an entry that wants so many."""
    others = issuer.holdings.values()
    # An entry that wants nothing now may still keep one, so that its next request
    # starts without a round trip; but only if that leaves one for each other.
    if wanted <= 0:
        return min(1, max(0, free - len(issuer.holdings)))
    demands = [running + wanted]
    demands += [other.running + other.wanted for other in others]
    # Max-min: what others leave of an even split is for those that want more. Under a
    # plain even split an entry with little load would hold half of each endpoint idle.
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
