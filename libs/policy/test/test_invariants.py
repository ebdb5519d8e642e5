"""Invariants of admission, placement and retries under any order of events."""

import unittest

from builders import a_contract, a_fleet, an_admission, an_engine, an_offer
from hypothesis import given, settings, strategies as st

from cherryrudder.model.endpoints import Stop
from cherryrudder.policy import dispatch, fairqueue, limits, placement
from cherryrudder.policy.credits import Credits
from cherryrudder.policy.dispatch import Send, Silent, Work

ACTIONS = ["submit"] * 6 + ["finish"] * 3 + ["fail", "cancel", "late", "wait"] * 2
ACTIONS += ["credits", "stop"] * 2 + ["list", "replace"]
STEPS = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.integers(0, 7), st.integers(1, 300)),
    max_size=100,
)
CONTRACTS = [
    a_contract(f"c{n}", tokens_per_s=2e3, requests_per_s=4.0 + n, concurrent_requests=2)
    for n in range(3)
]
CUTS = [(0, 4), (4, 8), (0, 8), (0, 3), (3, 8), (4, 6), (6, 8), (0, 4)]
ENGINES = [an_engine(f"g{n}", layers=cut, slots=1) for n, cut in enumerate(CUTS)]


class Run:
    """A dispatcher beside a plain record of what it has said."""

    def __init__(self, test):
        self.test, self.now_s, self.gone, self.stopped = test, 0.0, set(), set()
        self.fleet = a_fleet(*ENGINES)
        admission = an_admission(*CONTRACTS, max_queued=12)
        self.dispatcher = dispatch.Dispatcher(admission, self.fleet)
        self.offers, self.running, self.ended = {}, {}, {}
        self.used = dict.fromkeys((c.customer for c in CONTRACTS), 0.0)

    def apply(self, effects):
        for effect in effects:
            name = effect.request_id
            self.test.assertNotIn(name, self.ended, "told something after its end")
            if isinstance(effect, Send):
                late = self.now_s >= self.offers[name].deadline_s
                self.test.assertFalse(late, "expired, yet started")
                self.running[name] = [stage.endpoint for stage in effect.stages]
                self.check_stages(effect.stages)
            elif not isinstance(effect, Silent):
                self.test.assertNotIn(name, self.running, "ran, yet refused")
                self.ended[name] = effect

    def check_stages(self, stages):
        cuts = [(stage.first_layer, stage.end_layer) for stage in stages]
        layers = [layer for cut in cuts for layer in range(*cut)]
        self.test.assertEqual(layers, list(range(8)))
        for stage in stages:
            member = self.fleet.members[stage.endpoint]
            self.test.assertLessEqual(member.in_flight, member.credits)
            self.test.assertNotIn(stage.endpoint, self.gone | self.stopped)

    def submit(self, which, size):
        name, customer = f"r{len(self.offers)}", f"c{which % 3}"
        deadline_s = self.now_s + size / 30
        asked = an_offer(name, customer, max_tokens=size, deadline_s=deadline_s)
        asked = self.offers[name] = asked._replace(priority=size % 3)
        work = Work(asked, prefix=f"p{size % 4}", is_idempotent=which > 0)
        self.apply(dispatch.submit(self.dispatcher, work, self.now_s))

    def finish(self, which, size):
        if self.running:
            name, _ = self.running.popitem()
            self.ended[name] = "answered"
            self.used[self.offers[name].customer] += 50 + size
            end = (name, 50 + size, 0.5, self.now_s)
            self.apply(dispatch.finish(self.dispatcher, *end))

    def fail(self, which, size):
        if self.running:
            name, stages = self.running.popitem()
            end = (name, stages[-1], size % 2 == 0, self.now_s)
            self.apply(dispatch.fail_attempt(self.dispatcher, *end))

    def cancel(self, which, size):
        name = f"r{size % (len(self.offers) + 1)}"
        self.running.pop(name, None)
        if name in self.offers:
            self.ended.setdefault(name, "cancelled")
        self.apply(dispatch.cancel(self.dispatcher, name, 0, self.now_s))

    def late(self, which, size):
        for name in list(self.ended)[-3:]:
            end = (name, 50, 0.5, self.now_s)
            self.apply(dispatch.finish(self.dispatcher, *end))
            end = (name, f"g{which}", True, self.now_s)
            self.apply(dispatch.fail_attempt(self.dispatcher, *end))

    def replace(self, which, size):
        for name, stages in list(self.running.items())[:1]:
            lost = (name, stages[0], self.now_s)
            found = dispatch.replace_stage(self.dispatcher, *lost)
            if found is not None:
                self.running[name] = [found.endpoint, *stages[1:]]

    def credits(self, which, size):
        given = Credits(f"g{which}", int(self.now_s * 1e6) + size, size % 4)
        placement.set_credits(self.fleet, given, self.now_s)

    def stop(self, which, size):
        self.stopped = {f"g{which}"} if size % 2 else set()
        stops = [Stop("s", "endpoint", name) for name in self.stopped]
        placement.set_stops(self.fleet, stops, self.now_s)

    def list(self, which, size):
        self.gone ^= {f"g{which}"}
        listed = [one for one in ENGINES if one.endpoint not in self.gone]
        placement.update(self.fleet, listed, self.now_s)

    def wait(self, which, size):
        self.now_s += size / 100

    def tick(self):
        self.apply(dispatch.tick(self.dispatcher, self.now_s))

    def check(self):
        test, admission = self.test, self.dispatcher.admission
        test.assertEqual(set(self.dispatcher.placed), set(self.running))
        test.assertEqual(set(self.dispatcher.works), set(self.offers) - set(self.ended))
        test.assertLessEqual(len(admission.offers), 12)
        for name, member in self.fleet.members.items():
            here = [stages for stages in self.running.values() if name in stages]
            test.assertEqual(member.in_flight, len(here))
        need = placement.Need("briefing", "1", 50)
        chain = placement.choose_chain(self.fleet, need, self.now_s)
        for contract in CONTRACTS:
            own = admission.limits[contract.customer]
            test.assertLessEqual(own.running, contract.concurrent_requests)
            test.assertGreaterEqual(own.requests.level, -1e-6)
            # Past burst and rate at most the debt, which the bucket holds against it.
            bound = contract.tokens_per_s * (contract.burst_s + self.now_s)
            over = self.used[contract.customer] - bound
            test.assertLessEqual(over, -own.tokens.level + 1e-6)
            queue = admission.queue
            first = fairqueue.head(queue, contract.customer, set(), set())
            if first is not None and chain is not None:
                within = limits.is_within(own, first.cost_tokens, self.now_s)
                test.assertFalse(within, "waits beside a free chain")


class InvariantTest(unittest.TestCase):
    @settings(derandomize=True, database=None, deadline=None, max_examples=300)
    @given(STEPS)
    def test_promises_hold_in_any_order_of_events(self, steps):
        """Requests, ends, failures, cancels, late news, stops and lost endpoints.

        Each request ends once; none is started past its deadline or refused while it
        runs; none waits beside a free chain within its limits; no customer passes its
        bound; no slot is lost. With no room at all each gets its answer in time.
        """
        run = Run(self)
        for action, which, size in steps:
            getattr(run, action)(which, size)
            run.tick()
            run.check()
        placement.update(run.fleet, [], run.now_s)
        run.now_s += 4.0
        run.tick()
        self.assertEqual(set(run.ended) | set(run.running), set(run.offers))
