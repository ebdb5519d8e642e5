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
        suspicion.record_failure(self.suspicions, "boot", 10.0)

    def resting(self, heard_s, now_s):
        return suspicion.is_ejected(self.suspicions, "boot", heard_s, now_s)

    def test_it_rests_until_it_is_heard_again(self):
        self.assertTrue(self.resting(9.0, 10.0))
        self.assertTrue(self.resting(9.0, 60.0))
        self.assertFalse(self.resting(13.0, 13.0))

    def test_being_heard_at_once_does_not_end_the_rest(self):
        self.assertTrue(self.resting(10.1, 10.2))

    def test_each_further_death_rests_longer(self):
        suspicion.record_failure(self.suspicions, "boot", 13.0)
        self.assertTrue(self.resting(13.5, 13.0 + 1.5 * suspicion.FIRST_REST_S))

    def test_a_death_long_ago_makes_no_longer_rest(self):
        later_s = 10.0 + suspicion.REMEMBERED_S + 1.0
        suspicion.record_failure(self.suspicions, "boot", later_s)
        end_s = later_s + suspicion.FIRST_REST_S
        self.assertFalse(self.resting(end_s, end_s + 0.1))

    def test_others_are_not_touched(self):
        self.assertFalse(suspicion.is_ejected(self.suspicions, "other", 0.0, 10.0))


class AcquittalTest(unittest.TestCase):
    """An answer was lost on the way; somebody near the engine has had one since.

    Resting on, the entry would be without the engine for 2 s, and without a chain once
    it has missed an answer from some engine of each copy.
    """

    def is_resting_after(self, deaths, is_unreached):
        suspicions = Suspicions()
        for _ in range(deaths):
            suspicion.record_failure(suspicions, "boot", 10.0, is_unreached)
            suspicion.reinstate(suspicions, "boot")
        return suspicion.is_ejected(suspicions, "boot", 9.0, 10.1)

    def test_a_part_inside_a_chain_is_used_again(self):
        self.assertFalse(self.is_resting_after(1, is_unreached=False))
        self.assertFalse(self.is_resting_after(3, is_unreached=False))

    def test_one_that_this_entry_does_not_reach_is_tried_once_more(self):
        self.assertFalse(self.is_resting_after(1, is_unreached=True))
        self.assertTrue(self.is_resting_after(2, is_unreached=True))

    def test_a_death_is_certain_once_others_found_it_and_until_it_is_heard(self):
        suspicions = Suspicions()
        suspicion.record_failure(suspicions, "boot", 10.0)
        self.assertFalse(suspicion.is_certainly_dead(suspicions, "boot", 9.0))
        self.assertFalse(suspicion.record_confirmed_death(suspicions, "boot", 10.1))
        self.assertTrue(suspicion.is_certainly_dead(suspicions, "boot", 9.0))
        self.assertFalse(suspicion.is_certainly_dead(suspicions, "boot", 10.2))

    def test_a_death_that_others_found_is_news_to_who_did_not(self):
        suspicions = Suspicions()
        self.assertTrue(suspicion.record_confirmed_death(suspicions, "boot", 10.0))
        self.assertTrue(suspicion.is_ejected(suspicions, "boot", 9.0, 10.1))

    def test_nobody_is_acquitted_of_nothing(self):
        self.assertFalse(suspicion.reinstate(Suspicions(), "boot"))


class FailureTest(unittest.TestCase):
    """An endpoint fails part of its requests while its heartbeats are good."""

    def play(self, failed_of_ten):
        suspicions = Suspicions()
        for number in range(40):
            is_good = number % 10 >= failed_of_ten
            if suspicion.record_answer(suspicions, "boot", is_good, 0.0):
                return True
        return False

    def test_half_failed_makes_it_rest(self):
        self.assertTrue(self.play(5))

    def test_usual_failures_do_not(self):
        self.assertFalse(self.play(1))

    def test_records_of_gone_boots_are_dropped(self):
        suspicions = Suspicions()
        suspicion.record_failure(suspicions, "boot", 0.0)
        suspicion.prune(suspicions, set())
        self.assertEqual(suspicions.records, {})


class RefutedDeathTest(unittest.TestCase):
    """An engine that leaves is missed once, and a control VM then has its answer.

    Counted as ended all the same, its run would not count against the route's attempts,
    and the stream could run on one living engine more than the operators allow.
    """

    def test_a_death_that_was_refuted_is_none(self):
        found = Suspicions()
        self.assertFalse(suspicion.is_certainly_dead(found, "e", 0.5))
        suspicion.record_failure(found, "e", 1.0)
        suspicion.record_confirmed_death(found, "e", 1.0)
        self.assertTrue(suspicion.is_certainly_dead(found, "e", 0.5))
        suspicion.reinstate(found, "e")
        self.assertFalse(suspicion.is_certainly_dead(found, "e", 0.5))

    def test_what_others_missed_is_left_alone_and_has_not_ended(self):
        """All who looked may have been behind the same full links."""
        found = Suspicions()
        self.assertTrue(suspicion.record_report(found, "e", 1.0))
        self.assertTrue(suspicion.is_ejected(found, "e", 0.5, 1.1))
        self.assertFalse(suspicion.is_certainly_dead(found, "e", 0.5))
