"""Tests of blame for several culprits whose crashes arrive in unfavourable orders."""

import unittest

from crashorders import Report, a_book_of, receive

from cherryrudder.routing import blame

# A neighbour that ran beside each of three culprits.
NEIGHBOURS = (
    Report("e1", "a", 2.3, {"culprit": 1}),
    Report("f1", "b", 2.5, {"culprit": 1}),
    Report("g1", "c", 2.7, {"neighbour": 1, "second": 3}),
    Report("g2", "c", 2.9, {"neighbour": 3, "third": 3}),
    Report("g3", "c", 3.4, {"neighbour": 0, "culprit": 2}),
)
# Two culprits that crashed two engines each alone and two engines together.
TOGETHER = (
    Report("e1", "a", 2.3, {"first": 1}),
    Report("f1", "b", 2.5, {"second": 1}),
    Report("e2", "a", 2.7, {"first": 2}),
    Report("f2", "b", 2.9, {"second": 3}),
    Report("g1", "c", 3.1, {"first": 0, "second": 0}),
    Report("g2", "c", 3.4, {"first": 2, "second": 2}),
)


class SharedCrashTest(unittest.TestCase):
    """Guards against losing a culprit's evidence to another one on its engines."""

    def blocked_beside_culprits(self, *engines):
        """Return the blocks after a third request was cut on some engines."""
        cut = [
            one._replace(last_events=one.last_events | {"beside": 2})
            if one.engine_id in engines
            else one
            for one in TOGETHER
        ]
        alone = [
            Report(engine_id, "d", 4.0 + n, {"beside": 2})
            for n, engine_id in enumerate(engines)
            if engine_id.startswith("h")
        ]
        return set(a_book_of(*cut, *alone).blocks)

    def test_culprits_on_the_same_engines_are_both_blocked(self):
        self.assertEqual(set(a_book_of(*TOGETHER).blocks), {"first", "second"})

    def test_a_neighbour_with_explained_crashes_only_is_not_blocked(self):
        found = self.blocked_beside_culprits("f1", "g1", "g2")
        self.assertEqual(found, {"first", "second"})

    def test_a_neighbour_with_one_unexplained_crash_is_not_blocked(self):
        found = self.blocked_beside_culprits("f1", "g1", "h1")
        self.assertEqual(found, {"first", "second"})

    def test_a_neighbour_with_two_unexplained_crashes_and_one_is_not_blocked(self):
        found = self.blocked_beside_culprits("g2", "h1", "h2")
        self.assertEqual(found, {"first", "second"})


class ConfirmationTest(unittest.TestCase):
    """Guards against final refusals by blocks that the next record lifts."""

    def setUp(self):
        late, *in_time = NEIGHBOURS
        self.late = late
        self.book = a_book_of(*in_time)

    def refusal_delay_s(self, now_s, fingerprint="neighbour"):
        return blame.refusal_delay_s(self.book, fingerprint, now_s)

    def test_a_neighbour_is_held_until_a_late_record_lifts_its_block(self):
        self.assertEqual(set(self.book.blocks), {"neighbour"})
        self.assertGreater(self.refusal_delay_s(3.5), 0.0)
        receive(self.book, self.late, 3.5)
        self.assertEqual(set(self.book.blocks), {"culprit"})

    def test_a_block_is_confirmed_after_a_while(self):
        self.assertAlmostEqual(self.refusal_delay_s(3.4), blame.CONFIRMATION_S)
        blame.update_blocks(self.book, 4.0)
        self.assertEqual(self.refusal_delay_s(4.5), 0.0)

    def test_a_block_that_begins_again_is_confirmed_again(self):
        receive(self.book, self.late, 3.5)
        again = Report("g4", "c", 9.0, {"neighbour": 2})
        receive(self.book, again, 9.0)
        self.assertAlmostEqual(self.refusal_delay_s(9.0), blame.CONFIRMATION_S)


if __name__ == "__main__":
    unittest.main()
