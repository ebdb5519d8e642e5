import random
import unittest
from types import SimpleNamespace

from cherryrudder.node import plainrelay

OBJECTIVE_S = 0.147
TIMEOUT_S = 1.0


def a_job(is_idempotent=True, attempts=1, arrived_s=0.0):
    """Return a stub of a request with an attempt in flight."""
    return SimpleNamespace(
        is_idempotent=is_idempotent,
        attempts=attempts,
        arrived_s=arrived_s,
        end_s=arrived_s + TIMEOUT_S,
        route=SimpleNamespace(objective_s=OBJECTIVE_S, max_attempts=2),
    )


class LostAnswerTest(unittest.TestCase):
    """Guards against late answers to idempotent requests that lost a first answer."""

    def serve(self, rng, lost_share):
        """Return when a client has its answer."""
        timeout_s = plainrelay.attempt_timeout_s(a_job(), 0.002)
        work_s = rng.lognormvariate(-4.4, 0.5)
        if rng.random() >= lost_share and work_s <= timeout_s:
            return 0.002 + work_s
        return 0.002 + timeout_s + rng.lognormvariate(-4.4, 0.5)

    def test_most_answers_are_still_in_time(self):
        rng = random.Random(5)
        ends_s = [self.serve(rng, lost_share=0.3) for _ in range(1000)]
        in_time = sum(end_s <= OBJECTIVE_S for end_s in ends_s)
        self.assertGreaterEqual(in_time, 990)

    def test_few_attempts_that_would_succeed_time_out(self):
        rng = random.Random(6)
        timeout_s = plainrelay.attempt_timeout_s(a_job(), 0.002)
        late = sum(rng.lognormvariate(-4.4, 0.5) > timeout_s for _ in range(1000))
        self.assertLessEqual(late, 10)

    def test_the_last_possible_attempt_has_all_the_time_left(self):
        for job in (a_job(is_idempotent=False), a_job(attempts=2)):
            self.assertGreater(plainrelay.attempt_timeout_s(job, 0.0), 0.9 * TIMEOUT_S)

    def test_past_its_objective_an_attempt_has_a_part_of_the_time_left(self):
        left_s = plainrelay.attempt_timeout_s(a_job(), OBJECTIVE_S + 0.1)
        self.assertGreater(left_s, 0.2)
        self.assertLess(left_s, TIMEOUT_S / 2)


if __name__ == "__main__":
    unittest.main()
