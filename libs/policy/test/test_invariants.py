"""Invariants of admission under any order of events."""

import unittest

from builders import a_contract, an_admission, an_offer
from hypothesis import given, settings, strategies as st

from cherryrudder.model.outcomes import Refusal
from cherryrudder.policy import admission as adm

ACTIONS = st.sampled_from(["offer", "offer", "settle", "wait", "slots", "cancel"])
STEPS = st.lists(
    st.tuples(ACTIONS, st.integers(0, 2), st.integers(1, 300)), max_size=120
)
CONTRACTS = [a_contract(f"c{n}", tokens_per_s=200.0 * (n + 1)) for n in range(3)]


class Run:
    """An admission beside a plain record of what it has decided."""

    def __init__(self, test):
        self.test, self.now_s, self.slots = test, 0.0, 4
        self.admission = an_admission(*CONTRACTS, max_queued=30)
        self.offers, self.running, self.decided = {}, {}, {}
        self.used = dict.fromkeys((c.customer for c in CONTRACTS), 0.0)

    def decide(self, request_id, outcome):
        self.test.assertNotIn(request_id, self.decided, "decided twice")
        self.decided[request_id] = outcome

    def place(self, request_id):
        if len(self.running) >= self.slots:
            return False
        asked = self.offers[request_id]
        self.test.assertGreater(asked.deadline_s, self.now_s, "expired, yet started")
        self.running[request_id] = asked
        self.decide(request_id, "started")
        return True

    def offer(self, customer, size):
        request_id = f"r{len(self.offers)}"
        asked = an_offer(request_id, f"c{customer}", max_tokens=size)
        asked = asked._replace(priority=size % 3, deadline_s=self.now_s + size / 30)
        self.offers[request_id] = asked
        answer = adm.offer(self.admission, asked, self.now_s)
        if isinstance(answer, adm.Admitted) and not self.place(request_id):
            answer = adm.put_back(self.admission, request_id, self.now_s)
        if isinstance(answer, Refusal):
            self.decide(request_id, "refused")

    def settle(self, customer, size):
        if self.running:
            request_id, asked = self.running.popitem()
            self.used[asked.customer] += 50 + size
            adm.settle(self.admission, request_id, 50 + size, self.now_s)

    def cancel(self, customer, size):
        waiting = list(self.admission.offers)
        mine = [n for n in waiting if self.offers[n].customer == f"c{customer}"]
        if mine:
            self.test.assertTrue(adm.cancel(self.admission, mine[0], self.now_s))
            self.decide(mine[0], "cancelled")

    def release(self):
        for result in adm.release(self.admission, self.now_s, self.place):
            if isinstance(result, adm.GaveUp):
                self.decide(result.request_id, "refused")

    def check(self):
        waiting = set(self.admission.offers)
        self.test.assertEqual(waiting, set(self.offers) - set(self.decided))
        self.test.assertLessEqual(len(waiting), 30)
        for contract in CONTRACTS:
            own = self.admission.limits[contract.customer]
            self.test.assertLessEqual(own.running, contract.concurrent_requests)
            # At most one debt past the burst and the rate; settled work may add its
            # estimate's error, which the bucket then holds against the customer.
            bound = contract.tokens_per_s * (contract.burst_s + self.now_s)
            over = self.used[contract.customer] - bound
            self.test.assertLessEqual(over, -own.tokens.level + 1e-6)
            queue = self.admission.queue
            first = adm.fairqueue.head(queue, contract.customer, set(), set())
            if first is not None and len(self.running) < self.slots:
                within = adm.limits.is_within(own, first.cost_tokens, self.now_s)
                self.test.assertFalse(within, "waits beside a free slot")


class InvariantTest(unittest.TestCase):
    @settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @given(STEPS)
    def test_admission_keeps_its_promises(self, steps):
        """Offers, ends, cancels and changes of room in any order.

        No request is lost, decided twice or started past its deadline; none waits
        beside a free slot within its limits; no customer passes its bound; and in the
        end, with no room at all, each one gets its answer within its longest wait.
        """
        run = Run(self)
        for action, customer, size in steps:
            if action in ("offer", "settle", "cancel"):
                getattr(run, action)(customer, size)
            elif action == "slots":
                run.slots = size % 7
            else:
                run.now_s += size / 100
            run.release()
            run.check()
        run.slots = 0
        run.now_s += 4.0
        run.release()
        self.assertEqual(set(run.decided), set(run.offers))
