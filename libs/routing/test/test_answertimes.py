import random
import unittest

from cherryrudder.routing import answertimes
from cherryrudder.routing.answertimes import AnswerTimes, Bounds

BOUNDS = Bounds(min_s=0.02, initial_s=0.06, max_s=0.12)


def times_of(mean_s, count=50, spread=0.3, seed=1):
    """Return what is known after answers that take about so long."""
    rng, times = random.Random(seed), AnswerTimes()
    for _ in range(count):
        answertimes.record_time(times, mean_s * rng.uniform(1 - spread, 1 + spread))
    return times


class LimitTest(unittest.TestCase):
    def test_it_follows_the_answers(self):
        quick, busy = times_of(0.002), times_of(0.03)
        self.assertLess(
            answertimes.timeout_s(quick, BOUNDS), answertimes.timeout_s(busy, BOUNDS)
        )
        self.assertGreater(answertimes.timeout_s(busy, BOUNDS), 0.03)

    def test_a_sudden_load_is_learned_within_some_answers(self):
        times = times_of(0.002)
        for _ in range(5):
            answertimes.record_time(times, 0.04)
        self.assertGreater(answertimes.timeout_s(times, BOUNDS), 0.04)

    def test_it_stays_between_its_bounds(self):
        self.assertEqual(answertimes.timeout_s(times_of(0.0001), BOUNDS), BOUNDS.min_s)
        self.assertEqual(answertimes.timeout_s(times_of(2.0), BOUNDS), BOUNDS.max_s)
        self.assertEqual(answertimes.timeout_s(AnswerTimes(), BOUNDS), BOUNDS.initial_s)


class LateAnswerTest(unittest.TestCase):
    """Guards against taking busy engines for dead because others answer at once."""

    def test_few_answers_of_engines_under_a_burst_come_after_the_second_limit(self):
        rng, times = random.Random(7), times_of(0.003)
        late = 0
        for number in range(400):
            is_burst = 100 <= number < 250
            took_s = rng.expovariate(1 / (0.015 if is_burst else 0.003))
            late += took_s > 3 * answertimes.timeout_s(times, BOUNDS)
            answertimes.record_time(times, took_s)
        self.assertLessEqual(late, 2)
