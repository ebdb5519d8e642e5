"""The shares of all customers at one entry: when to request and how to apply them.

Of hundreds of customers a few are busy at any moment, and their shares change with a
grant, a new contract, a new set of entries or an expired lease. If one of these were
missed, a customer would be held to an old share. If an entry sent requests only for its
busy customers, the floors of the others could not be lent.
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
    """An entry's request to a customer's allocator.

    `allocator` and `received` identify the last grant that the entry has received.
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
        # Empty at first: an entry that assumed to be the only one would use the whole
        # bound.
        self.entries: tuple[str, ...] = ()
        self.contracts: dict[str, Contract] = {}
        self.holders: dict[str, ShareHolder] = {}
        self.applied: dict[str, tuple[Contract, Share]] = {}


def set_contract(book: ShareBook, contract: Contract) -> None:
    """Add a contract, or replace a changed one."""
    customer = contract.customer
    book.contracts[customer] = contract
    if customer not in book.holders:
        # Counted from the entry's start, not from now: only a process that ran before
        # it can have lent the floor.
        book.holders[customer] = ShareHolder(
            book.entry, customer, book.lease_s, book.started_s
        )
    _set_floor(book, customer)


def set_entries(book: ShareBook, entries: Iterable[str]) -> None:
    """Set the entries, on which the floors depend.

    The set must come from the control VMs. An entry that is cut off must keep the last
    set that it received. If it dropped the entries that it no longer receives messages
    from, its floor would grow to the whole bound while they still use theirs.
    """
    book.entries = tuple(sorted(entries))
    for customer in book.contracts:
        _set_floor(book, customer)


def is_ready(book: ShareBook, now_s: float) -> bool:
    """Return whether the entry has shares; until then it refuses all requests."""
    return bool(book.entries) and now_s >= book.started_s + book.lease_s


def due_requests(
    book: ShareBook, admission: Admission, now_s: float
) -> list[ShareRequest]:
    """Return the requests to send now, each to its customer's allocator."""
    requests = []
    for customer, holder in book.holders.items():
        if customer not in admission.limits:
            continue
        demand = adm.demand(admission, customer, now_s)
        if not shareholder.is_due(holder, demand, now_s):
            continue
        grant = holder.grant
        request = ShareRequest(
            book.entry,
            customer,
            demand,
            admission.limits[customer].running,
            grant.allocator if grant else "",
            grant.number if grant else 0,
        )
        requests.append(request)
        # A request counts even if it is not answered. Otherwise a silent allocator
        # would receive requests from all entries for all customers at each tick.
        holder.asked_s = now_s
    return requests


def handle_request(allocator: Allocator, request: ShareRequest, now_s: float) -> Grant:
    """Return the allocator's grant for a request."""
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
    """Record the grant for a request that was sent at `asked_s`."""
    holder = book.holders.get(grant.customer)
    if holder is not None and grant.entry == book.entry:
        shareholder.record_grant(holder, grant, asked_s, now_s)


def apply_shares(book: ShareBook, admission: Admission, now_s: float) -> None:
    """Pass each changed share to admission; call it at each tick.

    A share also changes without a message, when its lease expires.
    """
    for customer, holder in book.holders.items():
        contract = book.contracts[customer]
        wanted = (contract, shareholder.current(holder, now_s))
        if book.applied.get(customer) != wanted:
            book.applied[customer] = wanted
            adm.set_contract(admission, *wanted, now_s)


def drop_retired(book: ShareBook, admission: Admission) -> list[str]:
    """Drop retired contracts that have no requests left; return their customers."""
    dropped = []
    for customer, contract in list(book.contracts.items()):
        if contract.retired and adm.drop_contract(admission, customer):
            for known in (book.contracts, book.holders, book.applied):
                known.pop(customer, None)
            dropped.append(customer)
    return dropped


def _set_floor(book, customer):
    bound = limits.share_of(book.contracts[customer])
    floor = shares.floor_of(bound, book.entries, book.entry)
    shareholder.set_floor(book.holders[customer], floor)
