import unittest

from cherryrudder.routing import ratelimits
from cherryrudder.routing.ratelimits import Limit, LimitBook


class BookTest(unittest.TestCase):
    def setUp(self):
        self.book = LimitBook()

    def test_a_limit_is_news_once_and_again_when_it_changes(self):
        said = [(2.5, 1.0), (2.5, 2.0), (3.0, 3.0), (None, 4.0), (None, 5.0)]
        news = [ratelimits.record_limit(self.book, "e", Limit(*one)) for one in said]
        self.assertEqual(news, [True, False, True, True, False])
        self.assertIsNone(ratelimits.limit_of(self.book, "e"))

    def test_the_newest_statement_counts_in_whatever_order_they_come(self):
        ratelimits.record_limit(self.book, "e", Limit(2.5, 2.0))
        self.assertFalse(ratelimits.record_limit(self.book, "e", Limit(None, 1.0)))
        self.assertEqual(ratelimits.limit_of(self.book, "e"), 2.5)

    def test_an_end_comes_before_an_older_limit(self):
        ratelimits.record_limit(self.book, "e", Limit(2.5, 1.0))
        ratelimits.record_limit(self.book, "e", Limit(None, 3.0))
        self.assertFalse(ratelimits.record_limit(self.book, "e", Limit(2.5, 2.0)))

    def test_other_incarnations_have_no_limit(self):
        ratelimits.record_limit(self.book, "e", Limit(2.5, 1.0))
        self.assertIsNone(ratelimits.limit_of(self.book, "f"))
        ratelimits.sweep(self.book, {"f"}, 1.0)
        self.assertEqual(self.book.limits, {})

    def test_an_end_is_remembered_for_a_while(self):
        ratelimits.record_limit(self.book, "e", Limit(2.5, 1.0))
        ratelimits.record_limit(self.book, "e", Limit(None, 2.0))
        ratelimits.sweep(self.book, {"e"}, 2.0 + ratelimits.ENDED_S / 2)
        self.assertIn("e", self.book.limits)
        ratelimits.sweep(self.book, {"e"}, 2.0 + ratelimits.ENDED_S)
        self.assertEqual(self.book.limits, {})


if __name__ == "__main__":
    unittest.main()
