import random
import unittest

from hypothesis import given, settings, strategies as st

from cherryrudder.routing import blame, crashbook
from cherryrudder.routing.crashbook import Crash, CrashBook, RequestRecord


def a_record(engine_id="e1", event=2, at_s=1.0, **changes):
    """Return a record of one crash."""
    crash = Crash(engine_id, "a", "v1", event, at_s)
    return RequestRecord("acme", "llm", (crash,))._replace(**changes)


class MergeTest(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_any_order_gives_the_same_blocks(self, seed):
        """Guards against entries that disagree on which requests are blocked."""
        rng = random.Random(seed)
        received = []
        for fingerprint in "fgh":
            for number in rng.sample(range(6), rng.randrange(6)):
                record = a_record(f"e{number}", rng.randrange(12))
                received.append((fingerprint, record))
        blocks = []
        for _ in range(3):
            rng.shuffle(received)
            book = CrashBook("boot-1")
            for fingerprint, record in [*received, *received[:4]]:
                crashbook.merge(book, fingerprint, record)
            blame.update_blocks(book, 5.0)
            blocks.append(set(book.blocks))
        self.assertEqual(blocks, blocks[:1] * 3)

    def test_a_known_record_changes_nothing(self):
        book = CrashBook("boot-1")
        self.assertTrue(crashbook.merge(book, "f", a_record()))
        self.assertFalse(crashbook.merge(book, "f", a_record(at_s=1.2)))
        self.assertTrue(crashbook.merge(book, "f", a_record(passed=40)))
        self.assertFalse(crashbook.merge(book, "f", a_record(passed=30)))

    def test_the_same_lift_with_a_later_time_changes_nothing(self):
        """Guards against two processes that send each other one lift for ever."""
        book = CrashBook("boot-1")
        crashbook.merge(book, "f", a_record(lifted_s=10.0))
        self.assertFalse(crashbook.merge(book, "f", a_record(lifted_s=10.1)))


class PruneTest(unittest.TestCase):
    def test_expired_records_are_dropped(self):
        book = CrashBook("boot-1")
        crashbook.merge(book, "f", a_record())
        crashbook.prune(book, 1.0 + crashbook.RETENTION_S)
        self.assertEqual(set(book.records), {"f"})
        crashbook.prune(book, 1.1 + crashbook.RETENTION_S)
        self.assertEqual((book.records, book.changed), ({}, {}))

    def test_the_oldest_are_dropped_first_and_the_blocked_last(self):
        book = CrashBook("boot-1")
        for engine_id in ("e1", "e2", "e3"):
            crashbook.merge(book, "bad", a_record(engine_id, at_s=0.0))
        blame.update_blocks(book, 1.0)
        for number in range(crashbook.MAX_RECORDS + 5):
            crashbook.merge(book, f"f{number}", a_record(at_s=1.0 + number / 1000))
        crashbook.prune(book, 3.0)
        self.assertEqual(len(book.records), crashbook.MAX_RECORDS)
        self.assertIn("bad", book.records)
        self.assertNotIn("f0", book.records)
        self.assertEqual(set(book.changed), set(book.records))


if __name__ == "__main__":
    unittest.main()
