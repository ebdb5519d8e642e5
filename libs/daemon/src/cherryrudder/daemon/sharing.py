"""The shares of contracts among the entries: this entry's holders and allocators.

The live entry that ranks first for a customer leases out that customer's bound; every
entry asks it several times per lease. The decisions are `policy.sharebook`'s and
`policy.shares`'; this module carries the asks and the grants.
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

# Some round trips between regions, and short enough that a dead allocator's customers
# are back at their bound within two leases.
LEASE_S = 2.0
LOOP_S = 0.1
ASK_S = 0.5
# An entry that is gone without a word may be cut off and still serving at its floor.
# After this its floor is given to others: longer would hold a customer of a dead entry
# below its bound, shorter would pass the bound in a brief cut.
GONE_S = 10.0

log = logger.bind(part="shares")


class Asks(NamedTuple):
    """What one entry asks one allocator in one message."""

    entry: str
    asks: tuple[ShareRequest, ...]


class Grants(NamedTuple):
    """The answer to `Asks`; customers that another entry allocates are left out."""

    grants: tuple[Grant, ...]


class Sharing:
    """This entry's part in the sharing of all contracts."""

    def __init__(self, entry, name: str):
        self.entry = entry
        self.name = name
        self.started_s = now_s()
        self.book = ShareBook(name, LEASE_S, self.started_s)
        self.allocators: dict[str, Allocator] = {}
        self._peers: dict[str, str] = {}
        self._seen_s: dict[str, float] = {}

    def start(self) -> None:
        """Start asking."""
        self.entry.process.group.start_soon(self._loop)

    def is_ready(self, at_s: float) -> bool:
        """Tell whether this entry may use its floors."""
        return at_s >= self.started_s + LEASE_S

    def routes(self) -> Routes:
        """Return the route that other entries ask."""
        return {("POST", "/v1/shares"): self._answer}

    def dump(self) -> dict:
        """Return which customers are allocated here."""
        return {"allocates": sorted(self.allocators), "entries": sorted(self._seen_s)}

    def see_contracts(self, contracts) -> None:
        """Take the contracts that are in force now."""
        for contract in contracts:
            sharebook.set_contract(self.book, contract)

    def see_entries(self, announcements, at_s: float) -> None:
        """Take the entries that are live now."""
        self._peers = {a.endpoint: a.address for a in announcements if not a.leaving}
        self._peers[self.name] = self.entry.process.settings.listen.internal
        for announcement in announcements:
            # One that leaves by plan takes no more callers and frees its floor.
            if announcement.leaving:
                self._seen_s.pop(announcement.endpoint, None)
        for name in self._peers:
            self._seen_s[name] = at_s
        for name in [n for n, s in self._seen_s.items() if s < at_s - GONE_S]:
            del self._seen_s[name]
        sharebook.set_entries(self.book, self._seen_s)

    def put_in_force(self, at_s: float) -> None:
        """Give admission each customer's present share."""
        sharebook.apply_shares(self.book, self.entry.door.admission, at_s)
        for customer in sharebook.drop_retired(self.book, self.entry.door.admission):
            self.allocators.pop(customer, None)

    async def _loop(self):
        while True:
            at_s = now_s()
            self._allocate(at_s)
            self.put_in_force(at_s)
            due = {}
            for ask in sharebook.due_requests(
                self.book, self.entry.door.admission, at_s
            ):
                due.setdefault(self._allocator_of(ask.customer), []).append(ask)
            async with anyio.create_task_group() as group:
                for allocator, asks in due.items():
                    # The address as it is known now. By the time that the task begins
                    # the allocator may have left the table; looked up there, it ended
                    # this entry, and callers had their connections refused.
                    address = self._peers[allocator]
                    group.start_soon(self._ask, allocator, address, asks, at_s)
            await anyio.sleep(LOOP_S)

    def _allocate(self, at_s):
        """Take up and lay down the role of allocator, customer by customer."""
        for customer, contract in self.book.contracts.items():
            if self._allocator_of(customer) != self.name:
                self.allocators.pop(customer, None)
                continue
            if customer not in self.allocators:
                # A new one for each time that the role comes here: it must not lend
                # before the leases of whoever had the role in between have lapsed.
                name = f"{self.entry.process.incarnation}/{at_s}"
                self.allocators[customer] = Allocator(name, LEASE_S, at_s)
            shares.set_entries(self.allocators[customer], self._seen_s)
            shares.set_bound(self.allocators[customer], customer, share_of(contract))

    def _allocator_of(self, customer):
        return rank(list(self._peers), customer)[0]

    async def _ask(self, allocator, address, asks, asked_s):
        if allocator == self.name:
            grants = self._decide(asks, asked_s)
        else:
            url = f"http://{address}/v1/shares"
            value = Asks(self.name, tuple(asks))
            client = self.entry.process.client
            try:
                grants = await client.call("POST", url, value, Grants, ASK_S)
            except WireError as error:
                log.debug("No shares from {}: {}.", allocator, error)
                return
        for grant in grants.grants:
            sharebook.record_grant(self.book, grant, asked_s, now_s())

    async def _answer(self, request: Request):
        value = await request.json(Asks)
        if value.entry not in self._seen_s:
            # Its floor is not reckoned with: a lease would pass the bound.
            raise RequestError(409, "unknown-entry", "this entry is not known yet")
        return json_reply(self._decide(value.asks, now_s()))

    def _decide(self, asks, at_s):
        grants = [
            sharebook.handle_request(self.allocators[ask.customer], ask, at_s)
            for ask in asks
            if ask.customer in self.allocators
        ]
        return Grants(tuple(grants))
