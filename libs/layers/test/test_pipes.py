import unittest

from builders import a_profile

from cherryrudder.layers import pipes
from cherryrudder.layers.pipes import PipeBudget


def crossings_in(seconds, entries, pipe_mbps=11_000.0, asked_per_s=50):
    """Return how many usual prompts one entry lets cross twice in a time."""
    profile = a_profile(pipe_mbps=pipe_mbps)
    budget = PipeBudget()
    cost_s = pipes.crossing_s(profile, 772, 2)
    asked = range(int(seconds * asked_per_s))
    return sum(pipes.try_cross(budget, cost_s, entries, n / asked_per_s) for n in asked)


class PipeTest(unittest.TestCase):
    """A data centre has a hole, and all its requests ask to cross to another.

    Without a bound they fill the pipe, and each waits for all before it: at 50 a
    second, 3.3 s of crossings come with every second.
    """

    def test_the_pipe_is_never_asked_for_more_than_its_part(self):
        for entries in (1, 7, 32):
            profile = a_profile()
            used_s = crossings_in(20, entries) * pipes.crossing_s(profile, 772, 2)
            allowed_s = 20 * pipes.USED_SHARE / entries + pipes.BURST_S
            with self.subTest(entries=entries):
                self.assertLessEqual(used_s, allowed_s + 0.1)
                self.assertGreater(used_s, 0.5 * allowed_s)

    def test_a_slow_pipe_lets_fewer_cross(self):
        self.assertLess(crossings_in(20, 7, 2_160.0), crossings_in(20, 7) / 3)

    def test_a_lone_request_crosses_at_once(self):
        self.assertTrue(pipes.try_cross(PipeBudget(), 5.0, 32, 0.0))
