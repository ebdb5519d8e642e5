"""Tests of requests that crashes don't tell apart, and of when they run on trial."""

import unittest

from cherryrudder.routing import blame, crashbook, trials
from cherryrudder.routing.crashbook import (
    FINISHED,
    Crash,
    CrashBook,
    RequestRecord,
    Trial,
)

TOGETHER = ("e1", "e2", "e3")
NOW_S = 10.0
# Time until all entries know of a trial.
SPREAD_S = 0.1
ENTRIES = 8
# Simultaneous first tries that cost no more than a few engines.
MAX_BEGUN = 2


def add_crash(book, fingerprint, engine_id, at_s, is_trial=False, event=2):
    """Record a crash of an engine under a request that had sent some events."""
    crash = Crash(engine_id, "a", "v1", event, at_s, is_trial)
    crashbook.merge(book, fingerprint, RequestRecord("acme", "llm", (crash,)))
    blame.update_blocks(book, at_s)


def a_book(*fingerprints, events=(2, 2, 2)):
    """Return a book in which some requests were cut by the same crashes."""
    book = CrashBook("boot-1")
    for number, (engine_id, event) in enumerate(zip(TOGETHER, events, strict=True)):
        for fingerprint in fingerprints:
            add_crash(book, fingerprint, engine_id, 1.0 + number, event=event)
    return book


def held(book):
    """Return the requests that only run on trial."""
    return {one for one in book.records if blame.is_held(book, one, NOW_S)}


class SharedCrashesTest(unittest.TestCase):
    """Guards against a verdict on one of several requests that had the same crashes."""

    def test_none_of_them_is_refused_for_good_and_all_are_held(self):
        book = a_book("one", "two", "three")
        self.assertEqual(blame.final_blocks(book), set())
        self.assertEqual(held(book), {"one", "two", "three"})

    def test_a_request_with_crashes_of_its_own_is_refused_for_good(self):
        book = a_book("one")
        self.assertEqual(blame.final_blocks(book), {"one"})
        self.assertEqual(held(book), set())

    def test_a_further_shared_crash_sends_none_of_them_on(self):
        book = a_book("one", "two", "three")
        add_crash(book, "two", "e4", 4.0)
        add_crash(book, "three", "e4", 4.0)
        self.assertEqual(held(book), {"one", "two", "three"})

    def a_book_with_neighbours(self, events):
        """Return a book in which one request has the crashes of two others."""
        book = a_book("most", events=events)
        others = zip(("one", "one", "two"), TOGETHER, strict=True)
        for number, (fingerprint, engine_id) in enumerate(others):
            add_crash(book, fingerprint, engine_id, 1.0 + number)
        return book

    def test_a_neighbour_of_two_culprits_is_not_refused_for_good(self):
        book = self.a_book_with_neighbours((6, 9, 12))
        self.assertEqual(blame.final_blocks(book), set())
        self.assertEqual(held(book), {"most"})

    def a_book_with_part(self, companions):
        """Return a book in which a part had three crashes of a request with four."""
        book = a_book("part", "whole", events=(6, 9, 12))
        add_crash(book, "whole", "e4", 4.0, event=9)
        records = book.records
        records["part"] = records["part"]._replace(part="p")
        records["whole"] = records["whole"]._replace(companions=companions)
        blame.update_blocks(book, 5.0)
        return book

    def test_a_neighbour_of_a_part_that_crashes_is_not_refused_for_good(self):
        book = self.a_book_with_part(frozenset())
        self.assertNotIn("whole", blame.final_blocks(book))
        self.assertEqual(held(book), {"whole"})

    def test_a_culprits_own_part_excuses_it_of_nothing(self):
        book = self.a_book_with_part(frozenset({"part"}))
        self.assertIn("whole", blame.final_blocks(book))

    def test_a_culprit_whose_neighbour_was_cut_twice_is_refused_for_good(self):
        """Guards against trials of a culprit that ends each engine at once."""
        book = self.a_book_with_neighbours((0, 0, 1))
        self.assertEqual(blame.final_blocks(book), {"most"})

    def test_a_neighbour_that_was_cut_early_three_times_of_four_is_held(self):
        book = self.a_book_with_neighbours((0, 0, 1))
        for fingerprint in ("most", "two"):
            add_crash(book, fingerprint, "e4", 5.0, event=7)
        self.assertEqual(blame.final_blocks(book), set())

    def test_one_crash_on_trial_convicts_beside_a_lesser_suspect(self):
        book = self.a_book_with_neighbours((6, 9, 12))
        add_crash(book, "most", "e4", 5.0, is_trial=True)
        self.assertEqual(blame.final_blocks(book), {"most"})

    def test_two_crashes_on_trial_convict(self):
        book = a_book("one", "two", "three")
        add_crash(book, "two", "e4", 4.0, is_trial=True)
        self.assertEqual(blame.final_blocks(book), set())
        add_crash(book, "two", "e5", 5.0, is_trial=True)
        self.assertEqual(blame.final_blocks(book), {"two"})
        self.assertEqual(held(book), {"one", "three"})

    def test_a_crash_on_trial_beside_another_suspect_convicts_nobody(self):
        book = a_book("one", "two")
        for number, engine_id in enumerate(("e4", "e5", "e6")):
            add_crash(book, "two", engine_id, 4.0 + number, is_trial=True)
            add_crash(book, "one", engine_id, 4.0 + number)
        self.assertEqual(blame.final_blocks(book), set())

    def test_a_trial_that_is_under_way_releases_nothing(self):
        """Guards against sends by all entries as a trial of a culprit gets further."""
        book = a_book("one", "two")
        trial = RequestRecord("acme", "llm", trial=Trial("e9", 4.0, 1))
        crashbook.merge(book, "one", trial)
        further = RequestRecord("acme", "llm", passed=18, passed_s=4.5)
        crashbook.merge(book, "one", further)
        blame.update_blocks(book, 4.5)
        self.assertIn("one", held(book))

    def test_a_whole_run_releases(self):
        book = a_book("one", "two")
        whole = RequestRecord("acme", "llm", passed=FINISHED, passed_s=5.0)
        crashbook.merge(book, "one", whole)
        blame.update_blocks(book, 5.0)
        self.assertEqual(held(book), set())
        self.assertEqual(blame.final_blocks(book), {"two"})


class TurnTest(unittest.TestCase):
    """Guards against trials of one request by all entries at once, or without end."""

    def begun(self, fingerprint):
        """Return how many entries begin before all know of the first trial."""
        record = a_book(fingerprint, "other").records[fingerprint]
        first_s = None
        begun = set()
        for tick in range(1000):
            now_s = 3.0 + tick / 100
            if first_s is not None and now_s > first_s + SPREAD_S:
                break
            for boot in range(ENTRIES):
                wait_s = trials.wait_s(record, fingerprint, f"{boot}", ENTRIES, now_s)
                if wait_s <= 0.0:
                    begun.add(boot)
                    first_s = first_s or now_s
        return len(begun)

    def test_few_entries_begin_before_all_know(self):
        begun = [self.begun(f"{number:08x}") for number in range(40)]
        self.assertGreaterEqual(min(begun), 1)
        self.assertLess(sum(begun) / len(begun), MAX_BEGUN)

    def test_the_turn_comes_after_the_stated_wait(self):
        record = a_book("one", "two").records["one"]
        for boot in range(20):
            now_s = 4.0
            for _ in range(20):
                wait_s = trials.wait_s(record, "one", f"{boot}", ENTRIES, now_s)
                now_s += wait_s
            self.assertEqual(trials.wait_s(record, "one", f"{boot}", 1, now_s), 0.0)
            self.assertLess(now_s - 4.0, 2 * ENTRIES * trials.TURN_S)

    def test_others_wait_while_a_trial_runs(self):
        record = a_book("one", "two").records["one"]
        begun = record._replace(trial=Trial("e9", 4.0, 1))
        self.assertEqual(trials.wait_s(record, "one", "b", 1, 4.1), 0.0)
        self.assertGreater(trials.wait_s(begun, "one", "b", 1, 4.1), 4.0)

    def test_each_trial_without_a_result_makes_the_next_one_wait_longer(self):
        record, now_s, waits_s = a_book("one", "two").records["one"], 4.0, []
        for _ in range(4):
            record = record._replace(trial=trials.next_trial(record, "e9", now_s))
            waits_s.append(trials.wait_s(record, "one", "b", 1, now_s))
            now_s += waits_s[-1]
        for shorter, longer in zip(waits_s, waits_s[1:], strict=False):
            self.assertGreaterEqual(longer, 2 * shorter)

    def test_a_trial_that_showed_nothing_makes_others_wait_no_longer(self):
        """Guards against requests that wait for a trial which its engine refused."""
        record = a_book("one", "two").records["one"]
        begun = record._replace(trial=Trial("e9", 4.0, 1))
        over = begun._replace(trial=Trial("e9", 4.0, 1, is_over=True))
        for merged in (
            crashbook.merge_records(begun, over),
            crashbook.merge_records(over, begun),
        ):
            self.assertLess(trials.opens_s(merged), trials.opens_s(begun))
            self.assertEqual(trials.next_trial(merged, "e8", 9.0).number, 2)

    def test_suspects_avoid_engines_on_which_others_are_on_trial(self):
        book = a_book("one", "two")
        trial = RequestRecord("acme", "llm", trial=Trial("e9", 4.0, 1))
        crashbook.merge(book, "one", trial)
        self.assertEqual(trials.busy_engines(book, "two", 4.5), {"e9"})
        self.assertEqual(trials.busy_engines(book, "one", 4.5), set())
        self.assertEqual(trials.busy_engines(book, "unsuspected", 4.5), set())


if __name__ == "__main__":
    unittest.main()
