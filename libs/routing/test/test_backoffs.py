import unittest

from cherryrudder.routing import backoffs
from cherryrudder.routing.backoffs import MOST_BACKOFF_S, PROBE_S, BackoffBook


class BackoffTest(unittest.TestCase):
    """Guards against requests to endpoints that asked for none, and a herd later."""

    def setUp(self):
        self.book = BackoffBook()
        backoffs.start(self.book, "e", 3.0, 10.0)

    def may_begin(self, now_s):
        return backoffs.may_send(self.book, "e", now_s)

    def test_it_gets_nothing_until_its_backoff_is_over(self):
        self.assertFalse(self.may_begin(12.9))
        self.assertTrue(self.may_begin(13.0))
        self.assertTrue(backoffs.may_send(self.book, "other", 12.9))

    def test_the_first_request_after_it_goes_alone(self):
        backoffs.record_sent(self.book, "e", 13.0)
        self.assertFalse(self.may_begin(13.5))
        self.assertFalse(backoffs.is_active(self.book, "e", 13.5))
        self.assertTrue(backoffs.record_answer(self.book, "e", sent_s=13.0))
        self.assertTrue(self.may_begin(13.5))

    def test_a_request_without_an_answer_doesnt_hold_the_others_up(self):
        backoffs.record_sent(self.book, "e", 13.0)
        self.assertTrue(self.may_begin(13.0 + PROBE_S))

    def test_answers_to_older_requests_dont_end_it(self):
        self.assertFalse(backoffs.record_answer(self.book, "e", sent_s=9.9))
        self.assertFalse(self.may_begin(11.0))

    def test_it_may_ask_again_and_never_for_less(self):
        backoffs.start(self.book, "e", 1.0, 11.0)
        self.assertEqual(backoffs.left_s(self.book, "e", 11.0), 2.0)
        backoffs.record_sent(self.book, "e", 13.0)
        backoffs.start(self.book, "e", 3.0, 13.1)
        self.assertAlmostEqual(backoffs.left_s(self.book, "e", 13.1), 3.0)

    def test_no_backoff_is_for_ever(self):
        backoffs.start(self.book, "f", 1e9, 10.0)
        self.assertEqual(backoffs.left_s(self.book, "f", 10.0), MOST_BACKOFF_S)

    def test_a_later_incarnation_has_none(self):
        backoffs.prune(self.book, {"f"})
        self.assertTrue(self.may_begin(10.0))


if __name__ == "__main__":
    unittest.main()
