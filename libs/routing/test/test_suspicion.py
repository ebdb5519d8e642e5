import unittest

from cherryrudder.routing import suspicion
from cherryrudder.routing.suspicion import Suspicions


class EjectionTest(unittest.TestCase):
    """Guards against requests that time out at an engine that has stopped responding.

    Its last heartbeat still counts, so it has to be ejected until the next one.
    """

    def setUp(self):
        self.suspicions = Suspicions()
        suspicion.record_failure(self.suspicions, "boot", 10.0)

    def is_ejected(self, last_seen_s, now_s):
        return suspicion.is_ejected(self.suspicions, "boot", last_seen_s, now_s)

    def test_ejection_lasts_until_the_next_heartbeat(self):
        self.assertTrue(self.is_ejected(9.0, 10.0))
        self.assertTrue(self.is_ejected(9.0, 60.0))
        self.assertFalse(self.is_ejected(13.0, 13.0))

    def test_an_early_heartbeat_does_not_end_the_ejection(self):
        self.assertTrue(self.is_ejected(10.1, 10.2))

    def test_each_further_failure_ejects_for_longer(self):
        suspicion.record_failure(self.suspicions, "boot", 13.0)
        self.assertTrue(self.is_ejected(13.5, 13.0 + 1.5 * suspicion.FIRST_EJECTION_S))

    def test_a_failure_long_ago_does_not_lengthen_the_ejection(self):
        later_s = 10.0 + suspicion.FAILURE_MEMORY_S + 1.0
        suspicion.record_failure(self.suspicions, "boot", later_s)
        end_s = later_s + suspicion.FIRST_EJECTION_S
        self.assertFalse(self.is_ejected(end_s, end_s + 0.1))

    def test_other_endpoints_are_not_ejected(self):
        self.assertFalse(suspicion.is_ejected(self.suspicions, "other", 0.0, 10.0))


class ReinstatementTest(unittest.TestCase):
    """Guards against ejecting an engine for 2 s after a lost answer.

    A process near the engine has had an answer since. An entry that has missed an
    answer from some engine of each copy would have no chain left.
    """

    def is_ejected_after(self, deaths, is_unreached):
        suspicions = Suspicions()
        for _ in range(deaths):
            suspicion.record_failure(suspicions, "boot", 10.0, is_unreached)
            suspicion.reinstate(suspicions, "boot")
        return suspicion.is_ejected(suspicions, "boot", 9.0, 10.1)

    def test_a_part_inside_a_chain_is_used_again(self):
        self.assertFalse(self.is_ejected_after(1, is_unreached=False))
        self.assertFalse(self.is_ejected_after(3, is_unreached=False))

    def test_an_engine_that_this_entry_cannot_reach_is_retried_once(self):
        self.assertFalse(self.is_ejected_after(1, is_unreached=True))
        self.assertTrue(self.is_ejected_after(2, is_unreached=True))

    def test_an_end_is_certain_once_confirmed_and_until_the_next_heartbeat(self):
        suspicions = Suspicions()
        suspicion.record_failure(suspicions, "boot", 10.0)
        self.assertFalse(suspicion.is_confirmed_dead(suspicions, "boot", 9.0))
        self.assertFalse(suspicion.record_confirmed_death(suspicions, "boot", 10.1))
        self.assertTrue(suspicion.is_confirmed_dead(suspicions, "boot", 9.0))
        self.assertFalse(suspicion.is_confirmed_dead(suspicions, "boot", 10.2))

    def test_a_confirmed_end_ejects_an_engine_without_own_evidence(self):
        suspicions = Suspicions()
        self.assertTrue(suspicion.record_confirmed_death(suspicions, "boot", 10.0))
        self.assertTrue(suspicion.is_ejected(suspicions, "boot", 9.0, 10.1))

    def test_an_endpoint_without_evidence_is_not_reinstated(self):
        self.assertFalse(suspicion.reinstate(Suspicions(), "boot"))


class FailureTest(unittest.TestCase):
    """Ejection of an endpoint that fails requests while its heartbeats are good."""

    def is_ejected_with(self, failed_of_ten):
        suspicions = Suspicions()
        for number in range(40):
            is_good = number % 10 >= failed_of_ten
            if suspicion.record_answer(suspicions, "boot", is_good, 0.0):
                return True
        return False

    def test_an_endpoint_that_fails_half_is_ejected(self):
        self.assertTrue(self.is_ejected_with(5))

    def test_usual_failures_do_not_eject(self):
        self.assertFalse(self.is_ejected_with(1))

    def test_evidence_of_gone_incarnations_is_dropped(self):
        suspicions = Suspicions()
        suspicion.record_failure(suspicions, "boot", 0.0)
        suspicion.prune(suspicions, set())
        self.assertEqual(suspicions.records, {})


class RefutedEndTest(unittest.TestCase):
    """Guards against a stream that runs on more live engines than operators allow.

    A leaving engine misses one query, and a control VM then gets its answer. If it
    still counted as ended, its run would not count against the route's attempts.
    """

    def test_a_refuted_end_does_not_count(self):
        found = Suspicions()
        self.assertFalse(suspicion.is_confirmed_dead(found, "e", 0.5))
        suspicion.record_failure(found, "e", 1.0)
        suspicion.record_confirmed_death(found, "e", 1.0)
        self.assertTrue(suspicion.is_confirmed_dead(found, "e", 0.5))
        suspicion.reinstate(found, "e")
        self.assertFalse(suspicion.is_confirmed_dead(found, "e", 0.5))

    def test_an_engine_that_others_missed_is_ejected_but_not_ended(self):
        """All processes that queried it may have been behind the same full links."""
        found = Suspicions()
        self.assertTrue(suspicion.record_report(found, "e", 1.0))
        self.assertTrue(suspicion.is_ejected(found, "e", 0.5, 1.1))
        self.assertFalse(suspicion.is_confirmed_dead(found, "e", 0.5))
