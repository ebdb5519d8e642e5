import unittest

from cherryrudder.node import attempts
from cherryrudder.node.job import WholeAnswer


class FailureTest(unittest.TestCase):
    """An engine answers 503 and does not say that it has not run the request.

    Passed on, the status would tell the client that it has not run and never will,
    which nobody knows; so the client gets a failure that promises nothing.
    """

    def failure(self, status, is_idempotent):
        return attempts.failure_of(WholeAnswer(status, [], b""), is_idempotent)

    def test_a_status_that_promises_is_never_passed_on(self):
        for status in (408, 421, 429, 503):
            for is_idempotent in (True, False):
                with self.subTest(status=status, is_idempotent=is_idempotent):
                    failed = self.failure(status, is_idempotent)
                    self.assertFalse(failed.is_not_run)
                    self.assertIsNone(failed.answer)

    def test_an_idempotent_failure_is_kept_for_want_of_better(self):
        self.assertEqual(self.failure(500, True).answer.status, 500)

    def test_other_answers_are_passed_on(self):
        self.assertIsNone(self.failure(500, False))
        self.assertIsNone(self.failure(404, True))
        self.assertIsNone(self.failure(200, True))


if __name__ == "__main__":
    unittest.main()
