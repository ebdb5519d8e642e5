import unittest

from cherryrudder.routing import ratelimits
from cherryrudder.routing.ratelimits import Limit, LimitBook


class BookTest(unittest.TestCase):
    def setUp(self):
        self.book = LimitBook()

    def test_only_a_changed_limit_is_reported(self):
        statements = [(2.5, 1.0), (2.5, 2.0), (3.0, 3.0), (None, 4.0), (None, 5.0)]
        changes = [
            ratelimits.record_limit(self.book, "e", Limit(*one)) for one in statements
        ]
        self.assertEqual(changes, [True, False, True, True, False])
        self.assertIsNone(ratelimits.limit_of(self.book, "e"))

    def test_the_newest_statement_counts_in_any_order(self):
        ratelimits.record_limit(self.book, "e", Limit(2.5, 2.0))
        self.assertFalse(ratelimits.record_limit(self.book, "e", Limit(None, 1.0)))
        self.assertEqual(ratelimits.limit_of(self.book, "e"), 2.5)

    def test_an_older_limit_does_not_undo_an_end(self):
        ratelimits.record_limit(self.book, "e", Limit(2.5, 1.0))
        ratelimits.record_limit(self.book, "e", Limit(None, 3.0))
        self.assertFalse(ratelimits.record_limit(self.book, "e", Limit(2.5, 2.0)))

    def test_other_incarnations_have_no_limit(self):
        ratelimits.record_limit(self.book, "e", Limit(2.5, 1.0))
        self.assertIsNone(ratelimits.limit_of(self.book, "f"))
        ratelimits.sweep(self.book, {"f"}, 1.0)
        self.assertEqual(self.book.limits, {})

    def test_an_ended_limit_is_kept_for_a_while(self):
        ratelimits.record_limit(self.book, "e", Limit(2.5, 1.0))
        ratelimits.record_limit(self.book, "e", Limit(None, 2.0))
        ratelimits.sweep(self.book, {"e"}, 2.0 + ratelimits.ENDED_RETENTION_S / 2)
        self.assertIn("e", self.book.limits)
        ratelimits.sweep(self.book, {"e"}, 2.0 + ratelimits.ENDED_RETENTION_S)
        self.assertEqual(self.book.limits, {})


if __name__ == "__main__":
    unittest.main()
