import unittest

from builders import a_holder, a_profile, candidates

from cherryrudder.layers import chains, pace
from cherryrudder.layers.chains import Need

NEED = Need(900.0, "a")


def two_copies():
    """Return the engines of two chains through four ranges, alike."""
    return candidates(
        a_holder(f"{copy}{n}", layers=(8 * n, 8 * n + 8))
        for copy in "xy"
        for n in range(10)
    )


def turned_slow(engines, slow, times):
    """Return engines of which some are known to be slow."""
    return [e._replace(slowness=times) if e.address in slow else e for e in engines]


class ExpectedPauseTest(unittest.TestCase):
    def test_a_chain_takes_the_sum_of_its_parts(self):
        profile = a_profile(stride=2)
        engines = two_copies()
        chain = chains.choose_chain(profile, engines, NEED)
        pause_s = pace.expected_pause_s(profile, chain, engines)
        # All 80 layers on the slowest kind, twice, and ten hops.
        step_s = profile.step_ms * 16.0 / 1000
        self.assertAlmostEqual(pause_s, 2 * (step_s + 10 * chains.HOP_S), places=6)

    def test_one_slow_engine_shows_in_a_stream(self):
        profile = a_profile(stride=2)
        engines = two_copies()
        chain = chains.choose_chain(profile, engines, NEED)
        expected_s = pace.expected_pause_s(profile, chain, engines)
        for times, is_slow in ((1.0, False), (5.0, False), (12.0, True)):
            slow = turned_slow(engines, {chain[3].address}, times)
            pause_s = pace.expected_pause_s(profile, chain, slow)
            self.assertEqual(pace.is_slow(pause_s, expected_s), is_slow, times)

    def test_a_prompt_that_is_read_in_between_does_not(self):
        profile = a_profile(stride=2)
        engines = two_copies()
        chain = chains.choose_chain(profile, engines, NEED)
        expected_s = pace.expected_pause_s(profile, chain, engines)
        self.assertFalse(pace.is_slow(expected_s + pace.READING_S, expected_s))
        self.assertFalse(pace.is_stalled(2 * expected_s, expected_s))


class SlowEnginesTest(unittest.TestCase):
    """Three of twenty engines turn twelve times slower, one in each third of a chain.

    Streams that are asked meanwhile have to get chains beside them: without the
    engines' pace each second one crosses a slow one, and its client waits for seconds.
    """

    SLOW = {"x1", "y4", "x7"}

    def play(self, is_told):
        """Return how many of sixty streams cross a slow engine."""
        profile = a_profile()
        engines = two_copies()
        tokens = dict.fromkeys((e.address for e in engines), 0.0)
        crossed = 0
        for _ in range(60):
            seen = [e._replace(tokens=tokens[e.address]) for e in engines]
            if is_told:
                seen = turned_slow(seen, self.SLOW, 12.0)
            chain = chains.choose_chain(profile, seen, NEED)
            crossed += any(part.address in self.SLOW for part in chain)
            for part in chain:
                tokens[part.address] += 400.0
        return crossed

    def test_new_streams_go_around_them(self):
        self.assertGreater(self.play(is_told=False), 40)
        self.assertEqual(self.play(is_told=True), 0)

    def test_a_slow_engine_is_better_than_none(self):
        engines = turned_slow(two_copies(), {"x2", "y2"}, 12.0)
        self.assertIsNotNone(chains.choose_chain(a_profile(), engines, NEED))


if __name__ == "__main__":
    unittest.main()
