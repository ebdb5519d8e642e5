"""Attempts of service calls: at which endpoints, and which of them count."""

import unittest

from builders import CUSTOMER, WAIT_S, DeploymentTestCase, services
from claimsim import ServiceEntry, claim_as_another_entry
from hypothesis import given, settings, strategies as st

from cherryrudder.wire.errors import StatusError, WireError

NO_ANSWER_BODY = {"error": {"code": "no-answer", "message": "reset"}}


class LostRecordTest(unittest.TestCase):
    """The record that an attempt did not run is lost on its way to the control VMs."""

    def setUp(self):
        self.entry = ServiceEntry("s0", "s1", "s2")
        self.sidecars = self.entry.sidecars
        self.entry.controls.lost_closes = 1

    def test_a_live_service_is_called_before_a_dead_one_ends_the_call(self):
        """Guards against an attempt that counts although its endpoint wasn't called."""
        self.sidecars.dead_services = {"s0", "s2"}
        self.assertEqual(self.entry.call(), "done")
        self.assertEqual(self.sidecars.called, ["s0", "s1"])
        self.assertEqual(self.sidecars.ran, ["s1"])
        self.assertEqual(self.entry.failures("s1"), 0)

    def test_a_call_that_reached_no_sidecar_is_not_unknown(self):
        """Guards against asking an unreachable sidecar about the call's own attempt."""
        self.sidecars.dead_sidecars = {"s0"}
        self.assertEqual(self.entry.call(), "done")
        self.assertEqual(self.sidecars.called, ["s0", "s1"])

    def test_a_record_that_stays_lost_leaves_the_call_not_run(self):
        """Guards against a second attempt while the first one's claim is open."""
        self.sidecars.dead_services = {"s0"}
        self.entry.controls.lost_closes = 100
        self.assertEqual(self.entry.call(), "not-run")
        self.assertEqual(self.sidecars.ran, [])


class AbandonedClaimTest(unittest.TestCase):
    def test_a_resend_is_run_where_it_was_placed(self):
        """Guards against blaming an endpoint for the claim of an entry that ended."""
        entry = ServiceEntry("s0", "s1")
        claim_as_another_entry(entry, "s1")
        self.assertEqual(entry.call(), "done")
        self.assertEqual(entry.sidecars.ran, ["s0"])
        self.assertEqual(entry.failures("s0"), 0)


NAMES = ("s0", "s1", "s2", "s3")
SOME = st.sets(st.sampled_from(NAMES))


class AnyFaultsTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(SOME, SOME, SOME, SOME, st.integers(0, 4), st.booleans())
    def test_an_outcome_is_true_whatever_is_lost(
        self, services, sidecars, runs, answers, lost_closes, is_claimed
    ):
        """Guards against a second run, and against a false "not run" or "done"."""
        entry = ServiceEntry(*NAMES)
        entry.sidecars.dead_services = services
        entry.sidecars.dead_sidecars = sidecars
        entry.sidecars.lost_runs = runs
        entry.sidecars.lost_answers = answers
        entry.controls.lost_closes = lost_closes
        if is_claimed:
            claim_as_another_entry(entry, "s1")
        for _ in range(2):
            outcome, ran = entry.call(), len(entry.sidecars.ran)
            self.assertLessEqual(ran, 1)
            if outcome != "unknown":
                self.assertEqual(ran, int(outcome == "done"))


class UnsentReadTest(unittest.TestCase):
    def test_a_read_that_was_never_sent_tries_each_endpoint(self):
        """Guards against counting unsent attempts of a call that may be repeated."""
        entry = ServiceEntry("s0", "s1", "s2", "s3", "s4")
        entry.sidecars.dead_sidecars = {"s0", "s1", "s2", "s3"}
        self.assertEqual(entry.call("GET"), "done")
        self.assertEqual(entry.sidecars.ran, ["s4"])

    def test_a_read_that_was_never_sent_is_not_run(self):
        """Guards against "unknown" for a call of which nothing was sent."""
        entry = ServiceEntry("s0", "s1")
        entry.sidecars.dead_sidecars = {"s0", "s1"}
        self.assertEqual(entry.call("GET"), "not-run")

    def test_a_read_that_may_have_run_is_unknown(self):
        """Guards against a false "not run" after a read whose answer was lost."""
        for error in (WireError("reset"), StatusError(502, NO_ANSWER_BODY)):
            with self.subTest(error):
                entry = ServiceEntry("s0", "s1", "s2")
                entry.sidecars.forward_errors = {"s0": error}
                entry.sidecars.dead_sidecars = {"s1", "s2"}
                self.assertEqual(entry.call("GET"), "unknown")


class DeadServiceTest(DeploymentTestCase):
    services = services(1)

    def read(self):
        """Make a call that may be repeated and return its outcome."""
        address = self.deployment.entries[0].addresses["caller"]
        headers = {"authorization": f"Bearer {CUSTOMER}"}
        url = f"http://{address}/services/slots/free"
        answer = self.deployment.http.get(url, headers=headers, timeout=WAIT_S)
        return answer.headers["cherryrudder-outcome"]

    def test_a_read_that_a_dead_service_refused_is_not_run(self):
        """Guards against "unknown" when the sidecar's connection was refused."""
        self.deployment.nodes["filing-0.service"].kill()
        self.assertEqual(self.read(), "not-run")


if __name__ == "__main__":
    unittest.main()
