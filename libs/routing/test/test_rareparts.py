"""Tests of simulated fleets whose prompts share nothing but rare first parts."""

import unittest

from promptsim import PromptPlan, PromptSimulation

SEEDS = range(2)
MAX_LATE_SENDS = 3
# Share of the sound requests that must be served beside culprits.
MIN_SERVED = 0.8
RACKS_S = (6.0, 9.0, 12.0, 15.0)


class RarePartsTest(unittest.TestCase):
    """Guards against refusing parts that several culprits' crashes cut by chance."""

    def assert_told_apart(self, **changes):
        for seed in SEEDS:
            plan = PromptPlan(entries=4, length_s=18.0, **changes)
            outcome = PromptSimulation(plan, seed).run()
            with self.subTest(seed=seed):
                self.assertEqual(outcome.refused_sound, 0)
                self.assertLessEqual(max(outcome.late_sends), MAX_LATE_SENDS)
                self.assertGreaterEqual(outcome.served, MIN_SERVED)

    def test_four_culprits(self):
        self.assert_told_apart()

    def test_four_culprits_as_racks_fail(self):
        self.assert_told_apart(apart_s=2.0, racks_s=RACKS_S)


if __name__ == "__main__":
    unittest.main()
