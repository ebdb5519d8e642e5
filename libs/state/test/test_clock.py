"""Tests of the log's time and of records that expire by it."""

import unittest
from unittest import mock

from builders import Voter, a_put, an_open

from cherryrudder.state import changes
from cherryrudder.state.commands import Clock


class ClockTest(unittest.TestCase):
    def setUp(self):
        self.voter = Voter()

    def tick(self, *readings_s):
        for now_s in readings_s:
            self.voter.apply(Clock(now_s))
        return self.voter.state.now_s

    def test_time_never_goes_back_and_continues_after_a_fast_leader(self):
        """A leader whose clock is years ahead is followed by one with a correct clock.

        Time has advanced one step too far. It then continues with the correct clock
        instead of stopping for years while claims accumulate.
        """
        self.assertEqual(self.tick(1000.0, 1030.0), 30.0)
        self.assertEqual(self.tick(9e8), 90.0)
        self.assertEqual(self.tick(1060.0), 90.0)
        self.assertEqual(self.tick(1090.0), 120.0)

    def test_wrong_clock_expires_no_claim(self):
        """A client resends its filing to a leader whose clock is a week ahead.

        If that clock had expired the claim, the filing would run a second time.
        """
        self.voter.apply(an_open())
        self.tick(1000.0, 1000.0 + 7 * 24 * 3600)
        self.assertEqual(self.voter.apply(an_open("a2")).code, "exists")

    def test_late_resend_of_a_change_conflicts_after_its_answer_expired(self):
        self.voter.apply(a_put())
        self.voter.pass_time(changes.CHANGE_RETENTION_S + 1)
        self.assertEqual(self.voter.state.changes, {})
        self.assertEqual(self.voter.apply(a_put()).code, "conflict")

    def test_kept_answers_are_bounded(self):
        with mock.patch.object(changes, "MAX_KEPT_CHANGES", 3):
            for number in range(5):
                self.voter.apply(a_put(f"c{number}", number))
        self.assertEqual(list(self.voter.state.changes), ["c2", "c3", "c4"])
