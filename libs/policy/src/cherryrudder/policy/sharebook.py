"""All customers' shares at one entry: which to ask for, and putting them in force.

Load pattern: hundreds of customers, of whom a few are busy at any moment; shares change
by a grant, by a new contract, by another set of entries or by a lapsed lease.
Without it: one of these is missed, and a customer is held to an old share. An entry
that asks only for its busy customers keeps the floors of the others from being lent.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cherryrudder.model.contracts import Contract

from . import admission as adm, limits, shareholder, shares
from .admission import Admission
from .limits import Share
from .shareholder import ShareHolder
from .shares import Allocator, Grant


class ShareRequest(NamedTuple):
    """An entry's message to a customer's allocator.

    `allocator` and `received` name the last grant that the entry has.
    """

    entry: str
    customer: str
    demand: Share
    in_use: int
    allocator: str
    received: int


class ShareBook:
    """The shares of all customers at one entry."""

    def __init__(self, entry, lease_s, now_s):
        self.entry = entry
        self.lease_s = lease_s
        self.started_s = now_s
        # None known yet: an entry that took itself for the only one would use it all.
        self.entries: tuple[str, ...] = ()
        self.contracts: dict[str, Contract] = {}
        self.holders: dict[str, ShareHolder] = {}
        self.in_force: dict[str, tuple[Contract, Share]] = {}


def set_contract(book: ShareBook, contract: Contract) -> None:
    """Take in a contract, new or changed."""
    customer = contract.customer
    book.contracts[customer] = contract
    if customer not in book.holders:
        # Counted from the entry's start and not from now: only a process that ran
        # before it can have lent the floor.
        book.holders[customer] = ShareHolder(
            book.entry, customer, book.lease_s, book.started_s
        )
    _set_floor(book, customer)


def set_entries(book: ShareBook, entries: Iterable[str]) -> None:
    """Take in the set of entries, on which the floors depend.

    It has to come from the control VMs. An entry that is cut off must keep the last set
    that it was told: if it dropped the entries that it no longer hears of, its floor
    would grow to the whole bound while they go on using theirs.
    """
    book.entries = tuple(sorted(entries))
    for customer in book.contracts:
        _set_floor(book, customer)


def is_ready(book: ShareBook, now_s: float) -> bool:
    """Tell whether the entry has shares to use; until then it refuses all work."""
    return bool(book.entries) and now_s >= book.started_s + book.lease_s


def due_requests(
    book: ShareBook, admission: Admission, now_s: float
) -> list[ShareRequest]:
    """Return the asks to send now, each to its customer's allocator."""
    asks = []
    for customer, holder in book.holders.items():
        if customer not in admission.limits:
            continue
        demand = adm.demand(admission, customer, now_s)
        if not shareholder.is_due(holder, demand, now_s):
            continue
        grant = holder.grant
        ask = ShareRequest(
            book.entry,
            customer,
            demand,
            admission.limits[customer].running,
            grant.allocator if grant else "",
            grant.number if grant else 0,
        )
        asks.append(ask)
        # Asking counts, answered or not: a silent allocator must not be asked at each
        # tick by all entries for all customers.
        holder.asked_s = now_s
    return asks


def handle_request(allocator: Allocator, request: ShareRequest, now_s: float) -> Grant:
    """Return the allocator's answer to an ask."""
    received = request.received if request.allocator == allocator.name else 0
    return shares.grant_lease(
        allocator,
        request.entry,
        request.customer,
        request.demand,
        now_s,
        received,
        request.in_use,
    )


def record_grant(book: ShareBook, grant: Grant, asked_s: float, now_s: float) -> None:
    """Take in the answer to an ask that was sent at `asked_s`."""
    holder = book.holders.get(grant.customer)
    if holder is not None and grant.entry == book.entry:
        shareholder.take(holder, grant, asked_s, now_s)


def apply_shares(book: ShareBook, admission: Admission, now_s: float) -> None:
    """Give admission each share that has changed; call it at each tick.

    A share also changes without any message, when its lease lapses.
    """
    for customer, holder in book.holders.items():
        contract = book.contracts[customer]
        wanted = (contract, shareholder.current(holder, now_s))
        if book.in_force.get(customer) != wanted:
            book.in_force[customer] = wanted
            adm.set_contract(admission, *wanted, now_s)


def drop_retired(book: ShareBook, admission: Admission) -> list[str]:
    """Forget retired contracts of which nothing runs or waits any more."""
    dropped = []
    for customer, contract in list(book.contracts.items()):
        if contract.retired and adm.forget_contract(admission, customer):
            for known in (book.contracts, book.holders, book.in_force):
                known.pop(customer, None)
            dropped.append(customer)
    return dropped


def _set_floor(book, customer):
    bound = limits.share_of(book.contracts[customer])
    floor = shares.floor_of(bound, book.entries, book.entry)
    shareholder.set_floor(book.holders[customer], floor)
