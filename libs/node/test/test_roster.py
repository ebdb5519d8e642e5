import unittest

from cherryrudder.node import roster
from cherryrudder.node.roster import Roster


class RosterTest(unittest.TestCase):
    """Seeds grow old, and machines are replaced at new addresses."""

    def test_seeds_are_tried_for_ever(self):
        known = Roster("own", ("own", "seed"))
        self.assertEqual(roster.heartbeat_targets(known, 1e6), ["seed"])

    def test_what_others_tell_is_tried_while_they_tell_it(self):
        known = Roster("own")
        roster.add_reported(known, ("own", "told"), 0.0)
        self.assertEqual(roster.heartbeat_targets(known, 1.0), ["told"])
        roster.sweep(known, 10.0)
        self.assertEqual(roster.heartbeat_targets(known, 10.0), [])

    def test_only_who_was_heard_lately_is_told_of(self):
        known = Roster("own")
        self.assertTrue(roster.hear(known, "a", "beat", 0.0))
        self.assertFalse(roster.hear(known, "a", "beat", 1.0))
        self.assertEqual(roster.present(known, 2.0), ["a"])
        self.assertEqual(roster.present(known, 9.0), [])
        self.assertEqual(roster.beats(known, 2.0), ["beat"])

    def test_the_silent_are_forgotten_and_named(self):
        known = Roster("own")
        roster.hear(known, "a", "beat", 0.0)
        self.assertEqual(roster.sweep(known, 1.0), [])
        self.assertEqual(roster.sweep(known, roster.FORGET_S + 1), ["a"])

    def test_the_mean_age_is_of_the_others_that_are_there(self):
        known = Roster("own")
        for name, heard_s in (("asker", 0.0), ("a", 9.0), ("b", 9.5), ("lost", 6.0)):
            roster.hear(known, name, "beat", heard_s)
        roster.hear(known, "asker", "beat", 10.0)
        self.assertAlmostEqual(roster.mean_age_s(known, "asker", 10.0), 0.75)
        self.assertEqual(roster.mean_age_s(Roster("own"), "", 10.0), 0.0)

    def test_one_that_comes_back_is_news(self):
        known = Roster("own")
        roster.hear(known, "a", "beat", 0.0)
        self.assertTrue(roster.hear(known, "a", "beat", 8.0))
