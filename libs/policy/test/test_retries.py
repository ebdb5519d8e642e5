import unittest

from cherryrudder.policy import retries
from cherryrudder.policy.retries import Attempt, RetryBudget, Verdict


class RetriesTest(unittest.TestCase):
    def judge(self, **changes):
        attempt = Attempt(1, True, False, 1.0, 10.0)._replace(**changes)
        return retries.may_retry(RetryBudget(), attempt, 5.0)

    def test_only_idempotent_or_certainly_not_run_and_in_time(self):
        self.assertEqual(self.judge(), Verdict.RETRY)
        once = {"is_idempotent": False}
        self.assertEqual(self.judge(**once), Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.judge(**once, is_certain_not_run=True), Verdict.RETRY)
        self.assertEqual(self.judge(expected_s=5.0), Verdict.TOO_LATE)
        self.assertEqual(self.judge(attempts=3), Verdict.TOO_MANY)

    def test_retries_add_a_tenth_to_the_load_when_all_fails(self):
        budget = RetryBudget()
        attempt = Attempt(1, True, True, 0.1, 1e6)
        verdicts = []
        for _ in range(1000):
            retries.record_request(budget)
            verdicts.append(retries.may_retry(budget, attempt, 0.0))
        self.assertLessEqual(verdicts.count(Verdict.RETRY), 111)
