"""Tests of the sidecar's at-most-once gate."""

import unittest
from unittest import mock

from builders import a_claim
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from cherryrudder.daemon import gate
from cherryrudder.daemon.gate import Gate


class GateTest(unittest.TestCase):
    def setUp(self):
        self.gate = Gate("run-1")

    def test_a_doubled_run_waits_and_is_replayed(self):
        claim = a_claim()
        self.assertEqual(gate.admit(self.gate, claim).action, "run")
        self.assertEqual(gate.admit(self.gate, claim).action, "wait")
        gate.finish(self.gate, claim, 200, "receipt")
        self.assertEqual(
            gate.admit(self.gate, claim), gate.Verdict("replay", 200, "receipt")
        )

    def test_a_run_that_comes_after_its_burial_does_not_run(self):
        """A caller resends through a second entry, which asks before the run arrives.

        The gate buries the attempt and the caller hears "not run". Then the first
        entry's delayed run arrives. Were it run, the answer would have been a lie.
        """
        claim = a_claim()
        self.assertEqual(gate.query(self.gate, claim).action, "tombstone")
        self.assertEqual(gate.admit(self.gate, claim).action, "tombstone")

    def test_a_claim_for_an_earlier_incarnation_neither_runs_nor_is_judged(self):
        """The sidecar restarts between a claim and the arrival of its run.

        The new process has forgotten what the old one ran: running the claim could
        double it, and calling it "not run" could be false.
        """
        claim = a_claim(incarnation="run-0")
        self.assertEqual(gate.admit(self.gate, claim).action, "forgotten")
        self.assertEqual(gate.query(self.gate, claim).action, "forgotten")

    def test_what_is_below_the_floor_never_runs(self):
        """Thousands of filings later a packet of the first one comes again.

        The gate has dropped that attempt to bound its memory. Without the floor it
        would take the packet for a new attempt and file a second time.
        """
        first = a_claim("first", 1)
        gate.admit(self.gate, first)
        gate.finish(self.gate, first, 200, "")
        for number in range(gate.KEPT_ATTEMPTS):
            claim = a_claim(f"later-{number}", 2 + number)
            gate.admit(self.gate, claim)
            gate.finish(self.gate, claim, 200, "")
        self.assertNotIn("first", self.gate.verdicts)
        self.assertEqual(gate.admit(self.gate, first).action, "forgotten")


class GateMachine(RuleBasedStateMachine):
    """Copies of runs and queries in any order, against what was run and buried."""

    def __init__(self):
        super().__init__()
        patch = mock.patch.object(gate, "KEPT_ATTEMPTS", 3)
        patch.start()
        self.addCleanup = patch.stop
        self.gate = Gate("run-1")
        self.ran = set()
        self.buried = set()

    def teardown(self):
        self.addCleanup()

    @rule(number=st.integers(1, 12))
    def run_arrives(self, number):
        claim = a_claim(f"attempt-{number}", number)
        if gate.admit(self.gate, claim).action == "run":
            assert number not in self.ran, "ran twice"
            assert number not in self.buried, "ran after not-run was said"
            self.ran.add(number)

    @rule(number=st.integers(1, 12))
    def call_ends(self, number):
        if f"attempt-{number}" in self.gate.running:
            gate.finish(self.gate, a_claim(f"attempt-{number}", number), 200, "x")

    @rule(number=st.integers(1, 12))
    def query_arrives(self, number):
        verdict = gate.query(self.gate, a_claim(f"attempt-{number}", number))
        if verdict.action == "tombstone":
            assert number not in self.ran, "not-run was said of a call that ran"
            self.buried.add(number)
        if verdict.action in ("replay", "wait"):
            assert number in self.ran

    @rule()
    def memory_is_bounded(self):
        assert len(self.gate.verdicts) <= 3


GateMachine.TestCase.settings = settings(
    derandomize=True, database=None, deadline=None, max_examples=200
)
GateMachineTest = GateMachine.TestCase
