"""Tests of a part that several culprits' prompts share with sound ones."""

import unittest

from cherryrudder.routing import blame, crashbook
from cherryrudder.routing.crashbook import FINISHED, Crash, CrashBook, RequestRecord

CULPRITS = 4
CRASHES = 4
WHOLE_RUN_S = 5.0
FIRST_CRASH_S = 10.0


class SharedPartTest(unittest.TestCase):
    """Guards against refusing all requests with a part for its culprits' crashes."""

    def test_a_part_that_came_through_whole_is_not_refused_beside_culprits(self):
        book = CrashBook("boot-1")
        whole = RequestRecord(
            "", "llm", passed=FINISHED, passed_s=WHOLE_RUN_S, part="p"
        )
        crashbook.merge(book, "part", whole)
        for number in range(CULPRITS * CRASHES):
            at_s = FIRST_CRASH_S + number
            crash = Crash(f"e{number}", "a", "v1", 2, at_s)
            own = frozenset({"part"})
            culprit = RequestRecord("acme", "llm", (crash,), companions=own)
            shared = RequestRecord("", "llm", (crash,), part="p")
            crashbook.merge(book, f"culprit {number % CULPRITS}", culprit)
            crashbook.merge(book, "part", shared)
        blame.update_blocks(book, FIRST_CRASH_S + CULPRITS * CRASHES)
        self.assertNotIn("part", blame.final_blocks(book))


def a_book(events, on_trial=0):
    """Return a book with crashes of unlike requests that have a part."""
    book = CrashBook("boot-1")
    for number, event in enumerate(events):
        is_trial = number >= len(events) - on_trial
        crash = Crash(f"e{number}", "a", "v1", event, 1.0 + number, is_trial)
        whole = RequestRecord("acme", "llm", (crash,), companions=frozenset({"part"}))
        crashbook.merge(book, f"whole {number}", whole)
        crashbook.merge(book, "part", RequestRecord("", "llm", (crash,), part="p"))
    blame.update_blocks(book, 10.0)
    return book


class HeldPartTest(unittest.TestCase):
    """Guards against a verdict on a part from crashes that it was under by chance."""

    def held(self, book, *others):
        return blame.find_held(book, {"part", *others}, 10.0)

    def test_a_part_that_was_cut_anywhere_is_held(self):
        book = a_book((6, 9, 12))
        self.assertEqual(blame.final_blocks(book), set())
        self.assertEqual(self.held(book, "new"), {"part"})

    def test_a_part_that_ends_engines_at_once_is_blocked(self):
        book = a_book((0, 1, 0))
        self.assertEqual(blame.final_blocks(book), {"part"})
        self.assertEqual(self.held(book, "new"), set())

    def test_a_culprit_comes_before_a_part_of_its_prompt(self):
        """Guards against trials of a culprit whose part was cut on the same engines."""
        for name in ("a part", "the part"):
            book = CrashBook("boot-1")
            for number in range(3):
                crash = Crash(f"e{number}", "a", "v1", 0, 1.0 + number)
                own = frozenset({name})
                culprit = RequestRecord("acme", "llm", (crash,), companions=own)
                part = RequestRecord("", "llm", (crash,), part="p")
                part = part._replace(companions=frozenset())
                crashbook.merge(book, "culprit", culprit)
                crashbook.merge(book, name, part)
            blame.update_blocks(book, 10.0)
            self.assertIn("culprit", blame.final_blocks(book))

    def test_two_crashes_on_trial_block_it(self):
        self.assertEqual(blame.final_blocks(a_book((6, 9, 12, 5), 1)), set())
        self.assertEqual(blame.final_blocks(a_book((6, 9, 12, 5, 7), 2)), {"part"})

    def test_a_whole_run_releases_it(self):
        book = a_book((6, 9, 12))
        seen = RequestRecord("", "llm", passed=FINISHED, passed_s=9.0, part="p")
        crashbook.merge(book, "part", seen)
        blame.update_blocks(book, 10.0)
        self.assertEqual(self.held(book, "new"), set())

    def test_parts_that_only_came_together_are_held_together(self):
        book = a_book((6, 9, 12))
        book.records["part"] = book.records["part"]._replace(
            companions=frozenset({"other"})
        )
        book.records["other"] = book.records["part"]._replace(
            part="q", companions=frozenset({"part"})
        )
        blame.update_blocks(book, 10.0)
        self.assertEqual(self.held(book), set())
        self.assertEqual(self.held(book, "other"), {"part", "other"})


if __name__ == "__main__":
    unittest.main()
