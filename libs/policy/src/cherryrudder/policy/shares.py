"""The allocator's side of a customer's share: leases of its bound to entries.

All of a customer's load may come through one entry, or move from one to another within
seconds, while entries die, return or are cut off. A static split would hold a customer
whose load comes through one of five entries to a fifth of its contract. Without a split
the contract could be used five times.

Each entry has a floor, bound / entries, which it may use when its lease has expired.
The sum of what the entries use never exceeds the bound: a floor is lent to others only
while its owner holds a smaller lease, and the loan ends before that lease does. So an
entry that is cut off or dead keeps its floor reserved until it is removed from the set
of entries. This is the price of serving during a partition.

Each entry process runs one allocator, for the customers that rendezvous hashing assigns
to it. `shareholder` is the entry's side.
"""

import math
from typing import NamedTuple

from .limits import ROUNDING, Share

# Holders renew after a quarter of the lease, so three renewals in a row can be lost
# before a share expires.
RENEW_FRACTION = 0.25
# An owner's lease must have this fraction left for others to borrow its floor; this is
# the lower bound of the borrower's lease.
LEND_FRACTION = 0.25
# An entry without load keeps this fraction of its floor, so that its next request
# starts at once. Over five entries it costs a single busy entry 1.6% of the bound.
IDLE_FRACTION = 0.02
# Half of what nobody demands is spread evenly, so that a burst finds some at any entry.
# The other half stays unleased and goes entirely to the first entry that requests more.
# What was spread returns with its holders' next renewals.
SPREAD_FRACTION = 0.5
NO_SHARE = Share(0.0, 0.0, 0)
# Concurrency is in whole slots: fractions of a slot would be lost in rounding down.
CONCURRENCY_INDEX = Share._fields.index("concurrency")
FIELD_INDEXES = range(len(Share._fields))


class Grant(NamedTuple):
    """A lease of part of a bound; it lasts `lease_s` from when it was requested."""

    allocator: str
    entry: str
    customer: str
    number: int
    share: Share
    floor: Share
    lease_s: float


class Lease(NamedTuple):
    """A grant as its allocator records it."""

    number: int
    share: Share
    expires_s: float


class EntryPart:
    """One entry's part of one customer's bound."""

    def __init__(self, now_s):
        self.leases: list[Lease] = []
        self.demand = NO_SHARE
        self.floor = NO_SHARE
        self.since_s = now_s
        # The largest share that the entry may be using until `expires_s`. If it has
        # missed the last answers, it returns to its floor at `reverts_s`.
        self.held = NO_SHARE
        self.expires_s = now_s
        self.reverts_s = now_s


class OtherEntries(NamedTuple):
    """What the other entries hold; the reserved part must not be shared."""

    held: list[float]
    reserved: list[float]
    lenders: list[EntryPart]
    loans_end_s: float


class Allocator:
    """All leases that one process has granted; `name` is new after each start."""

    def __init__(self, name, lease_s, now_s):
        self.name = name
        self.lease_s = lease_s
        self.started_s = now_s
        self.entries: tuple[str, ...] = ()
        self.bounds: dict[str, Share] = {}
        self.floors: dict[str, dict[str, Share]] = {}
        self.parts: dict[str, dict[str, EntryPart]] = {}
        self.number = 0


def set_entries(allocator: Allocator, entries) -> None:
    """Replace the set of entries; remove an entry only once it serves no callers."""
    allocator.entries = tuple(sorted(entries))
    for customer in allocator.bounds:
        _set_floors(allocator, customer)
    for parts in allocator.parts.values():
        for name in parts.keys() - set(allocator.entries):
            # Only the leases of a removed entry still count.
            parts[name].floor = NO_SHARE


def set_bound(allocator: Allocator, customer: str, bound: Share) -> None:
    """Set a contract's bound; older leases expire within one lease time."""
    allocator.bounds[customer] = bound
    _set_floors(allocator, customer)


def floor_of(bound: Share, entries, entry: str) -> Share:
    """Return an entry's floor; remaining slots go to the first entries by name."""
    names = sorted(entries)
    if entry not in names:
        return NO_SHARE
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

    `received` is the number of the last grant that the entry has received from this
    allocator, or 0 if its last grant is another's or it has just started. `in_use` is
    the number of requests that it runs.
    """
    parts = allocator.parts.setdefault(customer, {})
    part = parts.get(entry)
    if part is None:
        part = parts[entry] = EntryPart(now_s)
    part.leases = [lease for lease in part.leases if lease.expires_s > now_s]
    # Without a valid lease the entry is at its floor now, even if later grants, whose
    # answers were lost, are recorded here. If its floor were lent, it would be used
    # twice.
    if received not in (lease.number for lease in part.leases):
        part.since_s = now_s
    part.leases = [lease for lease in part.leases if lease.number >= received]
    part.demand = demand
    part.floor = allocator.floors.get(customer, {}).get(entry, NO_SHARE)
    _update_totals(part, now_s)
    share, until_s = _decide(allocator, customer, parts, entry, now_s)
    # Running requests are not ended early, so their slots cannot be given to another
    # entry: it would start its own requests, and the contract's concurrency would be
    # exceeded until these end.
    kept = min(in_use, part.held.concurrency)
    share = share._replace(concurrency=max(share.concurrency, kept))
    allocator.number += 1
    part.leases.append(Lease(allocator.number, share, until_s))
    _update_totals(part, now_s)
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
        spread = SPREAD_FRACTION * (left - wanted) / len(demands)
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
    return Share(*(sum(values) for values in zip(NO_SHARE, *live, strict=True)))


def _decide(allocator, customer, parts, entry, now_s):
    """Return the share and the end of an entry's next lease."""
    bound = allocator.bounds.get(customer, NO_SHARE)
    part = parts[entry]
    lease_ends_s = now_s + allocator.lease_s
    others = _others(allocator, customer, parts, entry, now_s)
    available = [max(0, bound[field] - others.held[field]) for field in FIELD_INDEXES]
    # A new allocator has no record of the previous one's leases. Until those have
    # expired only floors are safe: otherwise both allocators would lend the same part.
    if now_s < allocator.started_s + allocator.lease_s:
        return Share(*map(min, part.floor, available)), lease_ends_s
    fair = _fair_share(bound, others.reserved, [part, *others.lenders])
    share = Share(*map(min, fair, available))
    if _exceeds(share, part.floor):
        return share, min(lease_ends_s, others.loans_end_s)
    return share, lease_ends_s


def _others(allocator, customer, parts, entry, now_s):
    """Return what the other entries hold, and until when they lend some of it."""
    floors = allocator.floors.get(customer, {})
    held, reserved = [0.0, 0.0, 0], [0.0, 0.0, 0]
    lenders, loans_end_s = [], math.inf
    for name in floors.keys() | parts.keys():
        if name == entry:
            continue
        other = parts.get(name, NO_ENTRY_PART)
        floor = floors.get(name, NO_SHARE)
        if other.floor is not floor:
            floor = Share(*map(max, floor, other.floor))
        using = other.held if other.expires_s > now_s else NO_SHARE
        if _may_lend(allocator, other, now_s):
            lenders.append(other)
            _add(held, using)
            if _exceeds(floor, using):
                loans_end_s = min(loans_end_s, other.reverts_s)
            continue
        max_use = Share(*map(max, using, floor))
        _add(held, max_use)
        _add(reserved, max_use)
    return OtherEntries(held, reserved, lenders, loans_end_s)


def _add(total, share):
    for field in FIELD_INDEXES:
        total[field] += share[field]


def _fair_share(bound, reserved, requesters):
    fair = []
    for field in FIELD_INDEXES:
        idle = 0.0 if field == CONCURRENCY_INDEX else IDLE_FRACTION
        demands = [
            max(idle * one.floor[field], one.demand[field]) for one in requesters
        ]
        fair.append(max_min(demands, bound[field] - reserved[field])[0])
    return fair[0], fair[1], int(fair[2] + ROUNDING)


def _may_lend(allocator, part, now_s):
    """Return whether others may use what a part's lease leaves of its floor."""
    if part.reverts_s - now_s < LEND_FRACTION * allocator.lease_s:
        return False
    # Another allocator may have lent the entry's floor, until the lease that the entry
    # held then has expired.
    return now_s >= part.since_s + allocator.lease_s


def _update_totals(part, now_s):
    part.held, part.expires_s, part.reverts_s = NO_SHARE, now_s, now_s
    if part.leases:
        shares = [lease.share for lease in part.leases]
        ends = [lease.expires_s for lease in part.leases]
        part.held = Share(*map(max, NO_SHARE, *shares))
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


# Used for an entry that has sent no request yet.
NO_ENTRY_PART = EntryPart(-math.inf)
