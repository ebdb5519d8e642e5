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
NOTHING = Share(0.0, 0.0, 0)
# A part of a slot would be lost when parts are rounded down to whole ones.
SLOTS = Share._fields.index("concurrency")


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


class Allocator:
    """All leases that one process has given; `name` differs after each start."""

    def __init__(self, name, lease_s, now_s):
        self.name = name
        self.lease_s = lease_s
        self.started_s = now_s
        self.entries: tuple[str, ...] = ()
        self.bounds: dict[str, Share] = {}
        self.parts: dict[str, dict[str, Part]] = {}
        self.number = 0


def set_entries(allocator: Allocator, entries) -> None:
    """Replace the set of entries; take one out only when it serves no caller."""
    allocator.entries = tuple(sorted(entries))


def set_bound(allocator: Allocator, customer: str, bound: Share) -> None:
    """Put a contract's bound in force; older leases run out within one lease time."""
    allocator.bounds[customer] = bound


def floor_of(bound: Share, entries, entry: str) -> Share:
    """Return an entry's floor; what whole slots leave over goes to the first ones."""
    names = sorted(entries)
    if entry not in names:
        return NOTHING
    count = len(names)
    slots, rest = divmod(bound.concurrency, count)
    slots += names.index(entry) < rest
    return Share(bound.requests_per_s / count, bound.tokens_per_s / count, slots)


def ask(
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
    bound = allocator.bounds.get(customer, NOTHING)
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
    part.floor = floor_of(bound, allocator.entries, entry)
    share, until_s = _decide(allocator, bound, parts, entry, now_s)
    share = _keep_running(share, part, in_use, now_s)
    allocator.number += 1
    part.leases.append(Lease(allocator.number, share, until_s))
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
    """Return max-min fair parts of a pool; what nobody demands is split evenly."""
    parts = [0.0] * len(demands)
    left = max(0.0, pool)
    order = sorted(range(len(demands)), key=demands.__getitem__)
    for done, index in enumerate(order):
        parts[index] = min(demands[index], left / (len(order) - done))
        left -= parts[index]
    return [part + left / len(parts) for part in parts]


def outstanding(allocator: Allocator, customer: str, now_s: float) -> Share:
    """Return the sum of the largest lease that each entry may be using."""
    parts = allocator.parts.get(customer, {}).values()
    return _sum(_largest(part, now_s) for part in parts)


def _decide(allocator, bound, parts, entry, now_s):
    """Return the share and the end of an entry's next lease."""
    held, reserved = NOTHING, NOTHING
    until_s = now_s + allocator.lease_s
    askers = [entry]
    for name in {*allocator.entries, *parts} - {entry}:
        part = parts.get(name)
        if part is None:
            part = Part(now_s)
        floor = _max(part.floor, floor_of(bound, allocator.entries, name))
        lease = _largest(part, now_s)
        if _lends(allocator, part, now_s):
            askers.append(name)
            held = _sum((held, lease))
            if _exceeds(floor, lease):
                until_s = min(until_s, _reverts_s(part))
        else:
            held = _sum((held, _max(lease, floor)))
            reserved = _sum((reserved, _max(lease, floor)))
    available = _less(bound, held)
    floor = parts[entry].floor
    # A new allocator doesn't know the leases of the one before it. Until those have
    # lapsed only floors are safe: two allocators would lend the same part twice.
    if now_s < allocator.started_s + allocator.lease_s:
        return _min(floor, available), now_s + allocator.lease_s
    share = _min(_fair(bound, reserved, parts, askers), available)
    if not _exceeds(share, floor):
        until_s = now_s + allocator.lease_s
    return share, until_s


def _fair(bound, reserved, parts, askers):
    pool = _less(bound, reserved)
    fair = []
    for field in range(len(pool)):
        demands = []
        for name in askers:
            least = 0.0 if field == SLOTS else IDLE_PART * parts[name].floor[field]
            demands.append(max(least, parts[name].demand[field]))
        fair.append(max_min(demands, pool[field])[0])
    return Share(fair[0], fair[1], int(fair[2] + ROUNDING))


def _keep_running(share, part, in_use, now_s):
    # Running requests aren't cut, so their slots can't be given to another entry: it
    # would start its own, and the contract's concurrency be passed until these end.
    before = _largest(part, now_s).concurrency
    return share._replace(concurrency=max(share.concurrency, min(in_use, before)))


def _lends(allocator, part, now_s):
    """Tell whether others may use what a part's lease leaves of its floor."""
    if not part.leases:
        return False
    # An entry that came from another allocator may have lent its floor there, until
    # the lease that it held then has lapsed.
    if now_s < part.since_s + allocator.lease_s:
        return False
    return _reverts_s(part) - now_s >= LEND_PART * allocator.lease_s


def _reverts_s(part):
    """Return when an entry goes back to its floor, had it missed the last answers."""
    return min(lease.expires_s for lease in part.leases)


def _largest(part, now_s):
    share = NOTHING
    for lease in part.leases:
        if lease.expires_s > now_s:
            share = _max(share, lease.share)
    return share


def _exceeds(share, other):
    return any(mine > its + ROUNDING for mine, its in zip(share, other, strict=True))


def _sum(shares):
    total = NOTHING
    for share in shares:
        total = Share(*(a + b for a, b in zip(total, share, strict=True)))
    return total


def _less(share, other):
    return Share(*(max(0, a - b) for a, b in zip(share, other, strict=True)))


def _min(share, other):
    return Share(*map(min, share, other))


def _max(share, other):
    return Share(*map(max, share, other))
