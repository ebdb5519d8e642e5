import unittest

from cherryrudder.routing import suspicion
from cherryrudder.routing.suspicion import Suspicions


class DeathTest(unittest.TestCase):
    """An engine falls silent, and its last heartbeat is still believed.

    Each new request would wait there until it times out. It is left alone until it is
    heard again, and for a while at least.
    """

    def setUp(self):
        self.suspicions = Suspicions()
        suspicion.died(self.suspicions, "boot", 10.0)

    def resting(self, heard_s, now_s):
        return suspicion.is_resting(self.suspicions, "boot", heard_s, now_s)

    def test_it_rests_until_it_is_heard_again(self):
        self.assertTrue(self.resting(9.0, 10.0))
        self.assertTrue(self.resting(9.0, 60.0))
        self.assertFalse(self.resting(13.0, 13.0))

    def test_being_heard_at_once_does_not_end_the_rest(self):
        self.assertTrue(self.resting(10.1, 10.2))

    def test_each_further_death_rests_longer(self):
        suspicion.died(self.suspicions, "boot", 13.0)
        self.assertTrue(self.resting(13.5, 13.0 + 1.5 * suspicion.FIRST_REST_S))

    def test_others_are_not_touched(self):
        self.assertFalse(suspicion.is_resting(self.suspicions, "other", 0.0, 10.0))


class FailureTest(unittest.TestCase):
    """An endpoint fails part of its requests while its heartbeats are good."""

    def play(self, failed_of_ten):
        suspicions = Suspicions()
        for number in range(40):
            is_good = number % 10 >= failed_of_ten
            if suspicion.answered(suspicions, "boot", is_good, 0.0):
                return True
        return False

    def test_half_failed_makes_it_rest(self):
        self.assertTrue(self.play(5))

    def test_usual_failures_do_not(self):
        self.assertFalse(self.play(1))

    def test_records_of_gone_boots_are_dropped(self):
        suspicions = Suspicions()
        suspicion.died(suspicions, "boot", 0.0)
        suspicion.forget(suspicions, set())
        self.assertEqual(suspicions.records, {})
