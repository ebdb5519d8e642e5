"""Shares contracts' bounds among the entries by leases.

The live entry that ranks first for a customer is the allocator of that customer's
bound; every entry requests a share from it several times per lease. `policy.sharebook`
and `policy.shares` make the decisions; this module transports requests and grants.
"""

from typing import NamedTuple

import anyio
from loguru import logger

from cherryrudder.membership.rendezvous import rank
from cherryrudder.model.errors import RequestError
from cherryrudder.policy import sharebook, shares
from cherryrudder.policy.limits import share_of
from cherryrudder.policy.sharebook import ShareBook, ShareRequest
from cherryrudder.policy.shares import Allocator, Grant
from cherryrudder.wire.asgi import Request, Routes, json_reply
from cherryrudder.wire.errors import WireError

from .clock import now_s

# Several round trips between regions, and short enough that the customers of a dead
# allocator are back at their bound within two leases.
LEASE_S = 2.0
LOOP_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 0.5
# An entry that vanished without leaving may be partitioned and still serve at its
# floor. After this timeout its floor is granted to others. Longer would keep customers
# of a dead entry below their bound; shorter would exceed it in a brief partition.
ENTRY_TIMEOUT_S = 10.0

log = logger.bind(part="shares")


class ShareRequests(NamedTuple):
    """The share requests of one entry to one allocator."""

    entry: str
    asks: tuple[ShareRequest, ...]


class Grants(NamedTuple):
    """The answer to `ShareRequests`, without customers that another entry allocates."""

    grants: tuple[Grant, ...]


class Sharing:
    """Requests this entry's shares, and grants those that it allocates."""

    def __init__(self, entry, name: str):
        self.entry = entry
        self.name = name
        self.started_s = now_s()
        self.book = ShareBook(name, LEASE_S, self.started_s)
        self.allocators: dict[str, Allocator] = {}
        self._peers: dict[str, str] = {}
        self._last_seen_s: dict[str, float] = {}

    def start(self) -> None:
        """Start requesting shares."""
        self.entry.process.group.start_soon(self._loop)

    def is_ready(self, at_s: float) -> bool:
        """Return whether this entry may use its floors."""
        return at_s >= self.started_s + LEASE_S

    def routes(self) -> Routes:
        """Return the route for the share requests of other entries."""
        return {("POST", "/v1/shares"): self._handle_requests}

    def dump(self) -> dict:
        """Return the customers that are allocated here and the entries in use."""
        return {
            "allocates": sorted(self.allocators),
            "entries": sorted(self._last_seen_s),
        }

    def set_contracts(self, contracts) -> None:
        """Set the contracts that are in force."""
        for contract in contracts:
            sharebook.set_contract(self.book, contract)

    def set_entries(self, announcements, at_s: float) -> None:
        """Set the entries that are live."""
        self._peers = {a.endpoint: a.address for a in announcements if not a.leaving}
        self._peers[self.name] = self.entry.process.settings.listen.internal
        for announcement in announcements:
            # An entry that leaves by plan accepts no more callers and frees its floor.
            if announcement.leaving:
                self._last_seen_s.pop(announcement.endpoint, None)
        for name in self._peers:
            self._last_seen_s[name] = at_s
        for name in [
            n for n, s in self._last_seen_s.items() if s < at_s - ENTRY_TIMEOUT_S
        ]:
            del self._last_seen_s[name]
        sharebook.set_entries(self.book, self._last_seen_s)

    def apply_shares(self, at_s: float) -> None:
        """Set each customer's current share in admission."""
        sharebook.apply_shares(self.book, self.entry.requests.admission, at_s)
        for customer in sharebook.drop_retired(
            self.book, self.entry.requests.admission
        ):
            self.allocators.pop(customer, None)

    async def _loop(self):
        while True:
            at_s = now_s()
            self._allocate(at_s)
            self.apply_shares(at_s)
            due = {}
            for ask in sharebook.due_requests(
                self.book, self.entry.requests.admission, at_s
            ):
                due.setdefault(self._allocator_of(ask.customer), []).append(ask)
            async with anyio.create_task_group() as group:
                for allocator, asks in due.items():
                    # Look the address up now. The allocator may have left the table by
                    # the time the task starts: a lookup there raised an error that
                    # ended this entry, and callers had their connections refused.
                    address = self._peers[allocator]
                    group.start_soon(
                        self._request_shares, allocator, address, asks, at_s
                    )
            await anyio.sleep(LOOP_INTERVAL_S)

    def _allocate(self, at_s):
        """Start or stop being the allocator of each customer."""
        for customer, contract in self.book.contracts.items():
            if self._allocator_of(customer) != self.name:
                self.allocators.pop(customer, None)
                continue
            if customer not in self.allocators:
                # Use a new allocator each time this entry takes over the role: it must
                # not grant before the leases of the previous allocator have expired.
                name = f"{self.entry.process.incarnation}/{at_s}"
                self.allocators[customer] = Allocator(name, LEASE_S, at_s)
            shares.set_entries(self.allocators[customer], self._last_seen_s)
            shares.set_bound(self.allocators[customer], customer, share_of(contract))

    def _allocator_of(self, customer):
        return rank(list(self._peers), customer)[0]

    async def _request_shares(self, allocator, address, asks, asked_s):
        if allocator == self.name:
            grants = self._grant_shares(asks, asked_s)
        else:
            url = f"http://{address}/v1/shares"
            value = ShareRequests(self.name, tuple(asks))
            client = self.entry.process.client
            try:
                grants = await client.call(
                    "POST", url, value, Grants, REQUEST_TIMEOUT_S
                )
            except WireError as error:
                log.debug("Share request to {} failed: {}.", allocator, error)
                return
        for grant in grants.grants:
            sharebook.record_grant(self.book, grant, asked_s, now_s())

    async def _handle_requests(self, request: Request):
        value = await request.json(ShareRequests)
        if value.entry not in self._last_seen_s:
            # The entry's floor is not accounted for: a lease could exceed the bound.
            raise RequestError(409, "unknown-entry", "this entry is not known yet")
        return json_reply(self._grant_shares(value.asks, now_s()))

    def _grant_shares(self, asks, at_s):
        grants = [
            sharebook.handle_request(self.allocators[ask.customer], ask, at_s)
            for ask in asks
            if ask.customer in self.allocators
        ]
        return Grants(tuple(grants))
