import unittest

from cherryrudder.policy import retries
from cherryrudder.policy.retries import Attempt, RetryBudget, Verdict


class RetriesTest(unittest.TestCase):
    def verdict(self, **changes):
        attempt = Attempt(1, True, False, 1.0, 10.0)._replace(**changes)
        return retries.may_retry(RetryBudget(), attempt, 5.0)

    def test_only_safe_attempts_with_time_left_are_retried(self):
        self.assertEqual(self.verdict(), Verdict.RETRY)
        once = {"is_idempotent": False}
        self.assertEqual(self.verdict(**once), Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.verdict(**once, is_certain_not_run=True), Verdict.RETRY)
        self.assertEqual(self.verdict(expected_s=5.0), Verdict.TOO_LATE)
        self.assertEqual(self.verdict(attempts=3), Verdict.TOO_MANY)

    def test_retries_add_a_tenth_to_the_load_if_all_requests_fail(self):
        budget = RetryBudget()
        attempt = Attempt(1, True, True, 0.1, 1e6)
        verdicts = []
        for _ in range(1000):
            retries.record_request(budget)
            verdicts.append(retries.may_retry(budget, attempt, 0.0))
        self.assertLessEqual(verdicts.count(Verdict.RETRY), 111)
