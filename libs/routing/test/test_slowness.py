import unittest

from cherryrudder.routing import slowness
from cherryrudder.routing.slowness import BELIEVED_S, SlownessBook


class BeliefTest(unittest.TestCase):
    def test_a_slow_endpoint_is_news_once(self):
        book = SlownessBook()
        self.assertTrue(slowness.record_slowness(book, "e", 5.0, 0.0))
        self.assertFalse(slowness.record_slowness(book, "e", 5.0, 0.5))
        self.assertEqual(slowness.slowness_of(book, "e", 0.5), 5.0)

    def test_one_that_is_sound_again_is_news(self):
        book = SlownessBook()
        self.assertFalse(slowness.record_slowness(book, "e", 1.0, 0.0))
        slowness.record_slowness(book, "e", 5.0, 0.0)
        self.assertTrue(slowness.record_slowness(book, "e", 1.0, 0.5))
        self.assertEqual(slowness.slowness_of(book, "e", 0.5), 1.0)

    def test_a_little_unevenness_is_no_slowness(self):
        book = SlownessBook()
        slowness.record_slowness(book, "e", slowness.MIN_SLOWNESS - 0.1, 0.0)
        self.assertEqual(slowness.slowness_of(book, "e", 0.0), 1.0)

    def test_a_belief_ends_when_its_teller_is_gone(self):
        """The control VM that looks at a slow engine is killed.

        Nobody says any more that the engine is slow, nor that it is sound again.
        Avoided for ever, it would leave its copy with twice the load.
        """
        book = SlownessBook()
        slowness.record_slowness(book, "e", 5.0, 0.0)
        self.assertEqual(slowness.slowness_of(book, "e", BELIEVED_S), 1.0)
        slowness.sweep(book, BELIEVED_S)
        self.assertEqual(book.told, {})


if __name__ == "__main__":
    unittest.main()
