import unittest

from cherryrudder.node import roster
from cherryrudder.node.roster import Roster


class RosterTest(unittest.TestCase):
    """Seeds grow old, and machines are replaced at new addresses."""

    def test_seeds_are_tried_for_ever(self):
        known = Roster("own", ("own", "seed"))
        self.assertEqual(roster.targets(known, 1e6), ["seed"])

    def test_what_others_tell_is_tried_while_they_tell_it(self):
        known = Roster("own")
        roster.tell(known, ("own", "told"), 0.0)
        self.assertEqual(roster.targets(known, 1.0), ["told"])
        roster.sweep(known, 10.0)
        self.assertEqual(roster.targets(known, 10.0), [])

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

    def test_the_age_of_most_beats_leaves_out_the_asker_and_one_that_is_frozen(self):
        known = Roster("own")
        for number in range(10):
            roster.hear(known, f"e{number}", "beat", 9.0 + number / 10)
        roster.hear(known, "frozen", "beat", 7.5)
        self.assertAlmostEqual(roster.age_s(known, "e0", 0.9, 10.0), 0.9)
        self.assertAlmostEqual(roster.age_s(known, "frozen", 0.9, 10.0), 0.9)
        self.assertEqual(roster.age_s(Roster("own"), "", 0.9, 10.0), 0.0)

    def test_one_that_comes_back_is_news(self):
        known = Roster("own")
        roster.hear(known, "a", "beat", 0.0)
        self.assertTrue(roster.hear(known, "a", "beat", 8.0))
