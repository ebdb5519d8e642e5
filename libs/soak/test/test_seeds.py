import unittest

from cherryrudder.soak.run import run

# Short, so that CI has time for it; by hand the runs are longer and many.
LENGTH_S = 6.0
# The last one has a request that ends engines.
FIXED = (1, 2, 4)


class SeedTest(unittest.TestCase):
    """Faults drawn from a seed strike the real processes while callers go on asking."""

    def play(self, seed, length_s):
        outcome = run(seed, length_s)
        self.assertEqual(outcome.broken, [], outcome.folder)
        self.assertGreater(outcome.answered, outcome.asked / 3)

    def test_fixed_seeds_keep_the_promises(self):
        for seed in FIXED:
            with self.subTest(seed=seed):
                self.play(seed, LENGTH_S)
