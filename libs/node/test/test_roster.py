import unittest

from cherryrudder.node import roster
from cherryrudder.node.roster import Roster


class RosterTest(unittest.TestCase):
    """Seeds become outdated, and machines are replaced at new addresses."""

    def test_seeds_are_always_tried(self):
        known = Roster("own", ("own", "seed"))
        self.assertEqual(roster.heartbeat_targets(known, 1e6), ["seed"])

    def test_reported_addresses_are_tried_while_they_are_reported(self):
        known = Roster("own")
        roster.add_reported(known, ("own", "reported"), 0.0)
        self.assertEqual(roster.heartbeat_targets(known, 1.0), ["reported"])
        roster.sweep(known, 10.0)
        self.assertEqual(roster.heartbeat_targets(known, 10.0), [])

    def test_only_live_peers_are_returned(self):
        known = Roster("own")
        self.assertTrue(roster.record(known, "a", "message", 0.0))
        self.assertFalse(roster.record(known, "a", "message", 1.0))
        self.assertEqual(roster.live_addresses(known, 2.0), ["a"])
        self.assertEqual(roster.live_addresses(known, 9.0), [])
        self.assertEqual(roster.live_messages(known, 2.0), ["message"])

    def test_lost_peers_are_dropped_and_returned(self):
        known = Roster("own")
        roster.record(known, "a", "message", 0.0)
        self.assertEqual(roster.sweep(known, 1.0), [])
        self.assertEqual(roster.sweep(known, roster.DROP_AFTER_S + 1), ["a"])

    def test_the_mean_age_is_of_the_other_live_peers(self):
        known = Roster("own")
        for name, last_seen_s in (
            ("asker", 0.0),
            ("a", 9.0),
            ("b", 9.5),
            ("lost", 6.0),
        ):
            roster.record(known, name, "message", last_seen_s)
        roster.record(known, "asker", "message", 10.0)
        self.assertAlmostEqual(roster.mean_age_s(known, "asker", 10.0), 0.75)
        self.assertEqual(roster.mean_age_s(Roster("own"), "", 10.0), 0.0)

    def test_a_peer_that_comes_back_is_new(self):
        known = Roster("own")
        roster.record(known, "a", "message", 0.0)
        self.assertTrue(roster.record(known, "a", "message", 8.0))
