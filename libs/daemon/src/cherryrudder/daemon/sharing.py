"""The shares of contracts among the entries: this entry's holders and allocators.

The live entry that ranks first for a customer leases out that customer's bound; every
entry asks it several times per lease. The decisions are `policy.shares`' and
`policy.shareholder`'s; this module carries the questions.
"""

from typing import NamedTuple

import anyio
from loguru import logger

from cherryrudder.membership.rendezvous import rank
from cherryrudder.model.errors import RequestError
from cherryrudder.policy import admission, shareholder, shares
from cherryrudder.policy.limits import Share, share_of
from cherryrudder.policy.shareholder import ShareHolder
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


class Ask(NamedTuple):
    """One entry's question about one customer."""

    customer: str
    demand: Share
    allocator: str
    received: int
    in_use: int


class Asks(NamedTuple):
    """What one entry asks one allocator in one message."""

    entry: str
    asks: tuple[Ask, ...]


class Grants(NamedTuple):
    """The answer to `Asks`; customers that another entry allocates are left out."""

    grants: tuple[Grant, ...]


class Sharing:
    """This entry's part in the sharing of all contracts."""

    def __init__(self, entry, name: str):
        self.entry = entry
        self.name = name
        self.holders: dict[str, ShareHolder] = {}
        self.allocators: dict[str, Allocator] = {}
        self.started_s = now_s()
        self._peers: dict[str, str] = {}
        self._seen_s: dict[str, float] = {}
        self._in_force: dict[str, tuple] = {}

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

    def put_in_force(self, at_s: float) -> None:
        """Give admission each customer's present share."""
        for contract in self.entry.held_contracts():
            customer = contract.customer
            holder = self.holders.get(customer)
            if holder is None:
                holder = ShareHolder(self.name, customer, LEASE_S, self.started_s)
                self.holders[customer] = holder
            bound = share_of(contract)
            floor = shares.floor_of(bound, self._seen_s, self.name)
            shareholder.set_floor(holder, floor)
            self._allocate(customer, bound, at_s)
            wanted = (contract, shareholder.current(holder, at_s))
            if self._in_force.get(customer) != wanted:
                self._in_force[customer] = wanted
                admission.set_contract(self.entry.door.admission, *wanted, at_s)

    def _allocate(self, customer, bound, at_s):
        if self._allocator_of(customer) != self.name:
            self.allocators.pop(customer, None)
            return
        if customer not in self.allocators:
            # A new one for each time that the role comes here: it must not lend before
            # the leases of whoever had the role in between have lapsed.
            name = f"{self.entry.process.incarnation}/{at_s}"
            self.allocators[customer] = Allocator(name, LEASE_S, at_s)
        shares.set_entries(self.allocators[customer], self._seen_s)
        shares.set_bound(self.allocators[customer], customer, bound)

    def _allocator_of(self, customer):
        return rank(list(self._peers), customer)[0]

    async def _loop(self):
        while True:
            at_s = now_s()
            self.put_in_force(at_s)
            due = {}
            for customer, holder in self.holders.items():
                demand = admission.demand(self.entry.door.admission, customer, at_s)
                if shareholder.is_due(holder, demand, at_s):
                    due.setdefault(self._allocator_of(customer), []).append(customer)
            async with anyio.create_task_group() as group:
                for allocator, customers in due.items():
                    group.start_soon(self._ask, allocator, customers, at_s)
            await anyio.sleep(LOOP_S)

    async def _ask(self, allocator, customers, asked_s):
        asks = Asks(self.name, tuple(self._question(c, asked_s) for c in customers))
        if allocator == self.name:
            grants = self._decide(asks, asked_s)
        else:
            url = f"http://{self._peers[allocator]}/v1/shares"
            client = self.entry.process.client
            try:
                grants = await client.call("POST", url, asks, Grants, ASK_S)
            except WireError as error:
                log.debug("No shares from {}: {}.", allocator, error)
                return
        for grant in grants.grants:
            holder = self.holders[grant.customer]
            shareholder.take(holder, grant, asked_s, now_s())

    def _question(self, customer, at_s):
        own = self.entry.door.admission
        holder = self.holders[customer]
        last = holder.grant
        return Ask(
            customer,
            admission.demand(own, customer, at_s),
            last.allocator if last is not None else "",
            last.number if last is not None else 0,
            own.limits[customer].running,
        )

    async def _answer(self, request: Request):
        asks = await request.json(Asks)
        if asks.entry not in self._seen_s:
            # Its floor is not reckoned with: a lease would pass the bound.
            raise RequestError(409, "unknown-entry", "this entry is not known yet")
        return json_reply(self._decide(asks, now_s()))

    def _decide(self, asks, at_s):
        grants = [
            self._grant(asks.entry, ask, at_s)
            for ask in asks.asks
            if ask.customer in self.allocators
        ]
        return Grants(tuple(grants))

    def _grant(self, entry, ask, at_s):
        allocator = self.allocators[ask.customer]
        # A number of another allocator's grant says nothing here.
        received = ask.received if ask.allocator == allocator.name else 0
        return shares.ask(
            allocator, entry, ask.customer, ask.demand, at_s, received, ask.in_use
        )
