import unittest

from cherryrudder.soak.run import run

# Short, to limit the time in CI; runs by hand are longer and more numerous.
LENGTH_S = 6.0
# The last one has a request that crashes engines.
FIXED = (1, 2, 4)


class SeedTest(unittest.TestCase):
    """Faults drawn from a seed are injected into real processes under load."""

    def play(self, seed, length_s):
        outcome = run(seed, length_s)
        self.assertEqual(outcome.broken, [], outcome.folder)
        self.assertGreater(outcome.answered, outcome.asked / 3)

    def test_fixed_seeds_keep_the_guarantees(self):
        for seed in FIXED:
            with self.subTest(seed=seed):
                self.play(seed, LENGTH_S)
