import unittest

from cherryrudder.node import attempts
from cherryrudder.node.job import WholeAnswer


class FailureTest(unittest.TestCase):
    """Guards against relaying a status that promises "not run" without evidence.

    An engine may answer 503 without stating that it has not run the request. The client
    then gets a failure that promises nothing.
    """

    def failure(self, status, is_idempotent):
        return attempts.failure_of(WholeAnswer(status, [], b""), is_idempotent)

    def test_a_status_that_promises_not_run_is_never_relayed(self):
        for status in (408, 421, 429, 503):
            for is_idempotent in (True, False):
                with self.subTest(status=status, is_idempotent=is_idempotent):
                    failed = self.failure(status, is_idempotent)
                    self.assertFalse(failed.is_not_run)
                    self.assertIsNone(failed.answer)

    def test_the_error_answer_to_an_idempotent_request_is_kept(self):
        self.assertEqual(self.failure(500, True).answer.status, 500)

    def test_other_answers_are_relayed(self):
        self.assertIsNone(self.failure(500, False))
        self.assertIsNone(self.failure(404, True))
        self.assertIsNone(self.failure(200, True))


if __name__ == "__main__":
    unittest.main()
