import unittest

from cherryrudder.routing import slowness
from cherryrudder.routing.slowness import REPORT_TTL_S, SlownessBook


class SlownessTest(unittest.TestCase):
    def test_a_slow_endpoint_is_reported_once(self):
        book = SlownessBook()
        self.assertTrue(slowness.record_slowness(book, "e", 5.0, 0.0))
        self.assertFalse(slowness.record_slowness(book, "e", 5.0, 0.5))
        self.assertEqual(slowness.slowness_of(book, "e", 0.5), 5.0)

    def test_the_end_of_slowness_is_reported(self):
        book = SlownessBook()
        self.assertFalse(slowness.record_slowness(book, "e", 1.0, 0.0))
        slowness.record_slowness(book, "e", 5.0, 0.0)
        self.assertTrue(slowness.record_slowness(book, "e", 1.0, 0.5))
        self.assertEqual(slowness.slowness_of(book, "e", 0.5), 1.0)

    def test_small_differences_are_ignored(self):
        book = SlownessBook()
        slowness.record_slowness(book, "e", slowness.MIN_SLOWNESS - 0.1, 0.0)
        self.assertEqual(slowness.slowness_of(book, "e", 0.0), 1.0)

    def test_a_report_expires_when_its_sender_is_gone(self):
        """Guards against avoiding an engine for ever.

        The control VM that measures a slow engine is killed, so no report ends its
        slowness. The other engine with its layers would keep twice the load.
        """
        book = SlownessBook()
        slowness.record_slowness(book, "e", 5.0, 0.0)
        self.assertEqual(slowness.slowness_of(book, "e", REPORT_TTL_S), 1.0)
        slowness.sweep(book, REPORT_TTL_S)
        self.assertEqual(book.reports, {})


if __name__ == "__main__":
    unittest.main()
