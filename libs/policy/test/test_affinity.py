import unittest

from cherryrudder.policy import affinity
from cherryrudder.policy.affinity import CacheEvent, CacheView


class AffinityTest(unittest.TestCase):
    def test_a_lost_endpoint_moves_only_its_own_prefixes(self):
        names = [f"g{n}" for n in range(10)]
        for slot in range(200):
            first = affinity.rank(names, slot)
            left = affinity.rank(names[1:], slot)
            if first[0] != "g0":
                self.assertEqual(left[0], first[0])
            else:
                self.assertEqual(left[0], first[1])

    def test_a_gap_or_a_restart_drops_the_recorded_prefixes(self):
        view = CacheView()
        for number in (5, 6):
            affinity.apply_event(view, "g0", CacheEvent(number, f"p{number}", True))
        self.assertEqual(affinity.holders_of(view, "p5"), {"g0"})
        affinity.apply_event(view, "g0", CacheEvent(6, "late", True))
        self.assertEqual(affinity.holders_of(view, "late"), set())
        affinity.apply_event(view, "g0", CacheEvent(9, "p9", True))
        self.assertEqual(affinity.holders_of(view, "p5"), set())
        affinity.apply_event(view, "g0", CacheEvent(1, "p1", True))
        self.assertEqual(list(view.holders), ["p1"])
        affinity.apply_event(view, "g0", CacheEvent(2, "p1", False))
        self.assertEqual(view.holders, {})
