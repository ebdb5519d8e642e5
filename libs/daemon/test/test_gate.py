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

    def test_a_duplicate_run_waits_and_then_gets_the_recorded_answer(self):
        claim = a_claim()
        self.assertEqual(gate.admit(self.gate, claim).action, "run")
        self.assertEqual(gate.admit(self.gate, claim).action, "wait")
        gate.record_answer(self.gate, claim, 200, "receipt")
        self.assertEqual(
            gate.admit(self.gate, claim), gate.Verdict("replay", 200, "receipt")
        )

    def test_a_run_that_arrives_after_its_tombstone_does_not_run(self):
        """A resend through a second entry queries the gate before the run arrives.

        The gate records a tombstone and the caller gets "not run". The delayed run of
        the first entry must then be refused, or that answer would be false.
        """
        claim = a_claim()
        self.assertEqual(gate.query(self.gate, claim).action, "tombstone")
        self.assertEqual(gate.admit(self.gate, claim).action, "tombstone")

    def test_a_claim_for_an_earlier_incarnation_neither_runs_nor_is_judged(self):
        """The sidecar restarts between a claim and the arrival of its run.

        The new process has no record of earlier runs. Running the claim could run it
        twice, and "not run" could be false.
        """
        claim = a_claim(incarnation="run-0")
        self.assertEqual(gate.admit(self.gate, claim).action, "forgotten")
        self.assertEqual(gate.query(self.gate, claim).action, "forgotten")

    def test_an_attempt_below_the_floor_never_runs(self):
        """A packet of the first call arrives again after thousands of later calls.

        The gate has dropped that attempt to bound its memory. Without the floor it
        would treat the packet as a new attempt and run the call twice.
        """
        first = a_claim("first", 1)
        gate.admit(self.gate, first)
        gate.record_answer(self.gate, first, 200, "")
        for number in range(gate.MAX_RECORDED_ATTEMPTS):
            claim = a_claim(f"later-{number}", 2 + number)
            gate.admit(self.gate, claim)
            gate.record_answer(self.gate, claim, 200, "")
        self.assertNotIn("first", self.gate.verdicts)
        self.assertEqual(gate.admit(self.gate, first).action, "forgotten")


class GateMachine(RuleBasedStateMachine):
    """Runs and queries in any order, checked against the runs and tombstones."""

    def __init__(self):
        super().__init__()
        patch = mock.patch.object(gate, "MAX_RECORDED_ATTEMPTS", 3)
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
            assert number not in self.buried, "ran after it was declared not run"
            self.ran.add(number)

    @rule(number=st.integers(1, 12))
    def call_ends(self, number):
        if f"attempt-{number}" in self.gate.running:
            gate.record_answer(
                self.gate, a_claim(f"attempt-{number}", number), 200, "x"
            )

    @rule(number=st.integers(1, 12))
    def query_arrives(self, number):
        verdict = gate.query(self.gate, a_claim(f"attempt-{number}", number))
        if verdict.action == "tombstone":
            assert number not in self.ran, "declared not run after it ran"
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
