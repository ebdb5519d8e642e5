"""Builders of test data for the policy's tests."""

import random

from cherryrudder.model.contracts import Contract
from cherryrudder.model.endpoints import Announcement, Kind, Place
from cherryrudder.policy import shareholder, shares
from cherryrudder.policy.admission import Admission, Offer, set_contract
from cherryrudder.policy.fleet import Fleet, update
from cherryrudder.policy.limits import Share
from cherryrudder.policy.shares import NO_SHARE


def a_contract(customer="petra", **changes):
    """Return a contract for 10 requests and 1000 tokens a second."""
    models, services = ("briefing", "other"), ("slots",)
    contract = Contract(customer, "0" * 64, models, services, 10.0, 1000.0, 8, 4.0)
    return contract._replace(**changes)


def an_offer(request_id, customer="petra", **changes):
    """Return an offer of 50 prompt and at most 100 answer tokens."""
    asked = Offer(request_id, customer, "briefing", 50, 100, 0, 1e6)
    return asked._replace(**changes)


def an_admission(*contracts, max_queued=1000):
    """Return an admission at time 0 that has the whole share of these contracts."""
    admission = Admission(max_queued)
    for contract in contracts or (a_contract(),):
        set_contract(admission, contract, 1.0, 0.0)
    return admission


class Entries:
    """Entries that share one customer's bound; messages may be lost."""

    lease_s = 2.0

    def __init__(self, bound, count, seed):
        self.bound = bound
        self.rng = random.Random(seed)
        self.names = [f"e{number}" for number in range(count)]
        self.now_s = 0.0
        self.starts = 0
        self.allocators = [self.new_allocator(), self.new_allocator()]
        self.uses = dict.fromkeys(self.names, 0)
        self.demand = dict.fromkeys(self.names, NO_SHARE)
        self.lost = dict.fromkeys(self.names, 0.0)
        self.holders = {name: self.new_holder(name) for name in self.names}

    def new_allocator(self):
        self.starts += 1
        allocator = shares.Allocator(f"a{self.starts}", self.lease_s, self.now_s)
        shares.set_entries(allocator, self.names)
        shares.set_bound(allocator, "petra", self.bound)
        return allocator

    def new_holder(self, name):
        holder = shareholder.ShareHolder(name, "petra", self.lease_s, self.now_s)
        shareholder.set_floor(holder, self.floor(name))
        return holder

    def floor(self, name):
        return shares.floor_of(self.bound, self.names, name)

    def set_entries(self, names):
        """Pass another set of entries to the allocators and the running entries."""
        self.names = list(names)
        for allocator in self.allocators:
            shares.set_entries(allocator, names)
        for name in names:
            shareholder.set_floor(self.holders[name], self.floor(name))

    def act(self, action, name, amount):
        if action == "load":
            load = 2 * amount
            self.demand[name] = Share(*(int(part * load) for part in self.bound))
        elif action == "lose":
            self.lost[name] = amount
        elif action == "restart":
            self.holders[name] = self.new_holder(name)
        elif action == "allocator":
            self.allocators[0] = self.new_allocator()
        else:
            self.uses[name] = 1 - self.uses[name]

    def run(self, duration_s):
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            for name in self.names:
                holder, wanted = self.holders[name], self.demand[name]
                if shareholder.is_due(holder, wanted, self.now_s):
                    self.request_lease(name)
            self.now_s = round(self.now_s + 0.05, 6)

    def request_lease(self, name):
        holder, allocator = self.holders[name], self.allocators[self.uses[name]]
        received = shareholder.received_from(holder, allocator.name)
        if self.rng.random() < self.lost[name]:
            return
        wanted = self.demand[name]
        grant = shares.grant_lease(
            allocator, name, "petra", wanted, self.now_s, received
        )
        if self.rng.random() >= self.lost[name]:
            shareholder.record_grant(holder, grant, self.now_s, self.now_s)

    def share(self, name):
        return shareholder.current(self.holders[name], self.now_s)

    def used(self):
        parts = [self.share(name) for name in self.names]
        return [sum(values) for values in zip(*parts, strict=True)]


def an_engine(endpoint="g1", centre="amman-1", layers=(0, 8), **changes):
    """Return an engine's announcement; its model has 8 layers."""
    place, address = Place(f"vm-{endpoint}", centre, "jordan"), "127.0.0.1:7001"
    announcement = Announcement(endpoint, Kind.ENGINE, "1", 1, place, address)
    announcement = announcement._replace(
        model="briefing", version="1", accelerator="a100", slots=4, tokens_per_s=200.0
    )
    first, end = layers
    announcement = announcement._replace(first_layer=first, end_layer=end)
    return announcement._replace(model_layers=8, **changes)


def a_fleet(*announcements, seed=1):
    """Return a fleet of these endpoints at time 0, its entry in amman-1."""
    home = Place("vm-entry", "amman-1", "jordan")
    fleet = Fleet(random.Random(seed), home)
    update(fleet, announcements, 0.0)
    return fleet
