"""The allocator's side of a customer's share: leases of its bound to entries.

Load pattern: all of a customer's load comes through one entry, or moves from one to
another within seconds; entries die, come back or are cut off meanwhile.
Without it: a static split holds a customer whose load comes through one of five entries
to a fifth of its contract, and no split at all lets it through five times.

Each entry has a floor, bound / entries, which it may use when its lease has lapsed. The
sum of what entries use never passes the bound because a floor is lent to others only
while its owner holds a smaller lease, and the loan ends before that lease does. So an
entry that is cut off, or dead, keeps its floor reserved until it is taken out of the
set of entries; that is the price of serving on during a partition.

The state is one allocator per entry process, for the customers that rendezvous hashing
gives it. `shareholder` is the entry's side.
"""

import math
from typing import NamedTuple

from .limits import ROUNDING, Share

# Holders renew when a quarter of the lease has passed, so three renewals in a row can
# be lost before a share lapses.
RENEW_PART = 0.25
# An owner's lease must have this much left for others to borrow its floor; it bounds
# from below how short the borrower's lease gets.
LEND_PART = 0.25
# An entry without load keeps this part of its floor, so that its next request starts at
# once; over five entries it costs a lone busy entry 1.6% of the bound.
IDLE_PART = 0.02
# Of what nobody demands, half is spread evenly, so that a burst finds something at any
# entry. The other half stays unleased and goes whole to the first that asks for more;
# what is spread out comes back with its holders' next renewals.
SPREAD_PART = 0.5
NOTHING = Share(0.0, 0.0, 0)
# A part of a slot would be lost when parts are rounded down to whole ones.
SLOTS = Share._fields.index("concurrency")
FIELDS = range(len(Share._fields))


class Grant(NamedTuple):
    """A lease of part of a bound; it runs `lease_s` from when it was asked for."""

    allocator: str
    entry: str
    customer: str
    number: int
    share: Share
    floor: Share
    lease_s: float


class Lease(NamedTuple):
    """A grant as its allocator remembers it."""

    number: int
    share: Share
    expires_s: float


class Part:
    """One entry's part of one customer's bound."""

    def __init__(self, now_s):
        self.leases: list[Lease] = []
        self.demand = NOTHING
        self.floor = NOTHING
        self.since_s = now_s
        # The largest share that it may be using until `expires_s`, and when it goes
        # back to its floor if it has missed the last answers.
        self.held = NOTHING
        self.expires_s = now_s
        self.reverts_s = now_s


class Others(NamedTuple):
    """What the other entries hold; the part that is reserved isn't to be shared."""

    held: list[float]
    reserved: list[float]
    lenders: list[Part]
    loans_end_s: float


class Allocator:
    """All leases that one process has given; `name` differs after each start."""

    def __init__(self, name, lease_s, now_s):
        self.name = name
        self.lease_s = lease_s
        self.started_s = now_s
        self.entries: tuple[str, ...] = ()
        self.bounds: dict[str, Share] = {}
        self.floors: dict[str, dict[str, Share]] = {}
        self.parts: dict[str, dict[str, Part]] = {}
        self.number = 0


def set_entries(allocator: Allocator, entries) -> None:
    """Replace the set of entries; take one out only when it serves no caller."""
    allocator.entries = tuple(sorted(entries))
    for customer in allocator.bounds:
        _set_floors(allocator, customer)
    for parts in allocator.parts.values():
        for name in parts.keys() - set(allocator.entries):
            # Of an entry that was taken out only its leases still count.
            parts[name].floor = NOTHING


def set_bound(allocator: Allocator, customer: str, bound: Share) -> None:
    """Put a contract's bound in force; older leases run out within one lease time."""
    allocator.bounds[customer] = bound
    _set_floors(allocator, customer)


def floor_of(bound: Share, entries, entry: str) -> Share:
    """Return an entry's floor; what whole slots leave over goes to the first ones."""
    names = sorted(entries)
    if entry not in names:
        return NOTHING
    count = len(names)
    slots, rest = divmod(bound.concurrency, count)
    slots += names.index(entry) < rest
    return Share(bound.requests_per_s / count, bound.tokens_per_s / count, slots)


def grant_lease(
    allocator: Allocator,
    entry: str,
    customer: str,
    demand: Share,
    now_s: float,
    received: int = 0,
    in_use: int = 0,
) -> Grant:
    """Lease an entry its max-min fair part of a customer's bound.

    `received` is the number of the last grant that the entry has from this allocator,
    0 if its last one is another's or it has just started; `in_use` is how many
    requests it is running.
    """
    parts = allocator.parts.setdefault(customer, {})
    part = parts.get(entry)
    if part is None:
        part = parts[entry] = Part(now_s)
    part.leases = [lease for lease in part.leases if lease.expires_s > now_s]
    # Without a live lease the entry is at its floor now, even if later grants, whose
    # answers were lost, are on record here: lending it would use it twice.
    if received not in (lease.number for lease in part.leases):
        part.since_s = now_s
    part.leases = [lease for lease in part.leases if lease.number >= received]
    part.demand = demand
    part.floor = allocator.floors.get(customer, {}).get(entry, NOTHING)
    _sum_up(part, now_s)
    share, until_s = _decide(allocator, customer, parts, entry, now_s)
    # Running requests aren't cut, so their slots can't be given to another entry: it
    # would start its own, and the contract's concurrency be passed until these end.
    kept = min(in_use, part.held.concurrency)
    share = share._replace(concurrency=max(share.concurrency, kept))
    allocator.number += 1
    part.leases.append(Lease(allocator.number, share, until_s))
    _sum_up(part, now_s)
    return Grant(
        allocator.name,
        entry,
        customer,
        allocator.number,
        share,
        part.floor,
        until_s - now_s,
    )


def max_min(demands: list[float], pool: float) -> list[float]:
    """Return max-min fair parts of a pool, with some of what nobody demands."""
    left = max(0.0, pool)
    wanted = sum(demands)
    if wanted <= left:
        spread = SPREAD_PART * (left - wanted) / len(demands)
        return [demand + spread for demand in demands]
    parts = [0.0] * len(demands)
    order = sorted(range(len(demands)), key=demands.__getitem__)
    for done, index in enumerate(order):
        parts[index] = min(demands[index], left / (len(order) - done))
        left -= parts[index]
    return parts


def outstanding(allocator: Allocator, customer: str, now_s: float) -> Share:
    """Return the sum of the largest lease that each entry may be using."""
    parts = allocator.parts.get(customer, {}).values()
    live = [part.held for part in parts if part.expires_s > now_s]
    return Share(*(sum(values) for values in zip(NOTHING, *live, strict=True)))


def _decide(allocator, customer, parts, entry, now_s):
    """Return the share and the end of an entry's next lease."""
    bound = allocator.bounds.get(customer, NOTHING)
    part = parts[entry]
    lease_ends_s = now_s + allocator.lease_s
    others = _others(allocator, customer, parts, entry, now_s)
    available = [max(0, bound[field] - others.held[field]) for field in FIELDS]
    # A new allocator doesn't know the leases of the one before it. Until those have
    # lapsed only floors are safe: two allocators would lend the same part twice.
    if now_s < allocator.started_s + allocator.lease_s:
        return Share(*map(min, part.floor, available)), lease_ends_s
    fair = _fair(bound, others.reserved, [part, *others.lenders])
    share = Share(*map(min, fair, available))
    if _exceeds(share, part.floor):
        return share, min(lease_ends_s, others.loans_end_s)
    return share, lease_ends_s


def _others(allocator, customer, parts, entry, now_s):
    """Return what the other entries hold, and until when they lend of it."""
    floors = allocator.floors.get(customer, {})
    held, reserved = [0.0, 0.0, 0], [0.0, 0.0, 0]
    lenders, loans_end_s = [], math.inf
    for name in floors.keys() | parts.keys():
        if name == entry:
            continue
        other = parts.get(name, NO_PART)
        floor = floors.get(name, NOTHING)
        if other.floor is not floor:
            floor = Share(*map(max, floor, other.floor))
        using = other.held if other.expires_s > now_s else NOTHING
        if _lends(allocator, other, now_s):
            lenders.append(other)
            _add(held, using)
            if _exceeds(floor, using):
                loans_end_s = min(loans_end_s, other.reverts_s)
            continue
        most = Share(*map(max, using, floor))
        _add(held, most)
        _add(reserved, most)
    return Others(held, reserved, lenders, loans_end_s)


def _add(total, share):
    for field in FIELDS:
        total[field] += share[field]


def _fair(bound, reserved, askers):
    fair = []
    for field in FIELDS:
        idle = 0.0 if field == SLOTS else IDLE_PART
        demands = [max(idle * one.floor[field], one.demand[field]) for one in askers]
        fair.append(max_min(demands, bound[field] - reserved[field])[0])
    return fair[0], fair[1], int(fair[2] + ROUNDING)


def _lends(allocator, part, now_s):
    """Tell whether others may use what a part's lease leaves of its floor."""
    if part.reverts_s - now_s < LEND_PART * allocator.lease_s:
        return False
    # An entry that came from another allocator may have lent its floor there, until
    # the lease that it held then has lapsed.
    return now_s >= part.since_s + allocator.lease_s


def _sum_up(part, now_s):
    part.held, part.expires_s, part.reverts_s = NOTHING, now_s, now_s
    if part.leases:
        shares = [lease.share for lease in part.leases]
        ends = [lease.expires_s for lease in part.leases]
        part.held = Share(*map(max, NOTHING, *shares))
        part.expires_s, part.reverts_s = max(ends), min(ends)


def _set_floors(allocator, customer):
    bound = allocator.bounds[customer]
    allocator.floors[customer] = {
        name: floor_of(bound, allocator.entries, name) for name in allocator.entries
    }


def _exceeds(share, other):
    return (
        share[0] > other[0] + ROUNDING
        or share[1] > other[1] + ROUNDING
        or share[2] > other[2]
    )


# Stands for an entry that has never asked.
NO_PART = Part(-math.inf)
