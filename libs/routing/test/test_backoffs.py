import unittest

from cherryrudder.routing import backoffs
from cherryrudder.routing.backoffs import MAX_BACKOFF_S, PROBE_TIMEOUT_S, BackoffBook


class BackoffTest(unittest.TestCase):
    """Guards against requests during a backoff, and a burst of them after it."""

    def setUp(self):
        self.book = BackoffBook()
        backoffs.start(self.book, "e", 3.0, 10.0)

    def may_send(self, now_s):
        return backoffs.may_send(self.book, "e", now_s)

    def test_no_request_is_sent_until_the_backoff_is_over(self):
        self.assertFalse(self.may_send(12.9))
        self.assertTrue(self.may_send(13.0))
        self.assertTrue(backoffs.may_send(self.book, "other", 12.9))

    def test_the_first_request_after_it_is_sent_alone(self):
        backoffs.record_sent(self.book, "e", 13.0)
        self.assertFalse(self.may_send(13.5))
        self.assertFalse(backoffs.is_active(self.book, "e", 13.5))
        self.assertTrue(backoffs.record_answer(self.book, "e", sent_s=13.0))
        self.assertTrue(self.may_send(13.5))

    def test_others_are_sent_if_the_first_request_has_no_answer(self):
        backoffs.record_sent(self.book, "e", 13.0)
        self.assertTrue(self.may_send(13.0 + PROBE_TIMEOUT_S))

    def test_answers_to_older_requests_dont_end_it(self):
        self.assertFalse(backoffs.record_answer(self.book, "e", sent_s=9.9))
        self.assertFalse(self.may_send(11.0))

    def test_a_further_backoff_extends_but_never_shortens_it(self):
        backoffs.start(self.book, "e", 1.0, 11.0)
        self.assertEqual(backoffs.left_s(self.book, "e", 11.0), 2.0)
        backoffs.record_sent(self.book, "e", 13.0)
        backoffs.start(self.book, "e", 3.0, 13.1)
        self.assertAlmostEqual(backoffs.left_s(self.book, "e", 13.1), 3.0)

    def test_a_backoff_is_bounded(self):
        backoffs.start(self.book, "f", 1e9, 10.0)
        self.assertEqual(backoffs.left_s(self.book, "f", 10.0), MAX_BACKOFF_S)

    def test_backoffs_of_unknown_incarnations_are_dropped(self):
        backoffs.prune(self.book, {"f"})
        self.assertTrue(self.may_send(10.0))


if __name__ == "__main__":
    unittest.main()
