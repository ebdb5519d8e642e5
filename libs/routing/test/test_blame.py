import unittest

from crashsim import Plan, Play

from cherryrudder.routing import blame, crashbook
from cherryrudder.routing.crashbook import FINISHED, Crash, CrashBook, RequestRecord

SEEDS = range(12)
RACKS_S = (3.0, 4.0, 5.0, 8.0, 9.0, 12.0, 13.0)
CASCADE_S = tuple(3.0 + 0.35 * n for n in range(9))
# Sends that are allowed once all could know, and a fleet that bears five culprits.
MOST_LATE_SENDS = 3
MANY_ENGINES = 36


def a_book(**crashes):
    """Return a book with crashes by fingerprint: engine, last event, when."""
    book = CrashBook("boot-1")
    for fingerprint, ended in crashes.items():
        for engine_id, event, at_s in ended:
            crash = Crash(engine_id, "a", "v1", event, at_s)
            crashbook.merge(book, fingerprint, RequestRecord("acme", "llm", (crash,)))
    return book


def blocked(book, now_s=10.0):
    """Return the fingerprints that are blocked."""
    blame.update_blocks(book, now_s)
    return set(book.blocks)


class FleetTest(unittest.TestCase):
    """Guards against blocking what only ran beside a request that ends engines."""

    def outcomes(self, plan, is_naive=False):
        return [Play(plan, seed, is_naive).run() for seed in SEEDS]

    def innocents(self, plan, is_naive=False):
        found = self.outcomes(plan, is_naive)
        return sum(outcome.blocked_innocents for outcome in found)

    def late_sends(self, plan):
        return max(max(outcome.late_sends) for outcome in self.outcomes(plan))

    def test_racks_that_end_block_nobody(self):
        for racks_s in (RACKS_S, CASCADE_S):
            plan = Plan(racks_s=racks_s)
            self.assertEqual(self.innocents(plan), 0)
            self.assertGreater(self.innocents(plan, is_naive=True), 0)

    def test_neighbours_of_one_and_two_are_not_blocked(self):
        for culprits in (1, 2):
            self.assertEqual(self.innocents(Plan(culprits=culprits)), 0)

    def test_neighbours_of_five_among_many_engines_are_not_blocked(self):
        plan = Plan(culprits=5, engines=MANY_ENGINES)
        self.assertEqual(self.innocents(plan), 0)

    def test_of_five_among_few_engines_hardly_any_is_blocked(self):
        plan = Plan(culprits=5)
        naive = self.innocents(plan, is_naive=True)
        self.assertLess(self.innocents(plan), naive / 10)

    def test_each_is_known_after_three_ends(self):
        for culprits in (1, 2):
            plan = Plan(culprits=culprits)
            self.assertLessEqual(self.late_sends(plan), MOST_LATE_SENDS)
        plan = Plan(culprits=5, engines=MANY_ENGINES)
        self.assertLessEqual(self.late_sends(plan), MOST_LATE_SENDS)

    def test_five_among_few_engines_are_known_after_three_ends(self):
        self.assertLessEqual(self.late_sends(Plan(culprits=5)), MOST_LATE_SENDS)

    def test_two_are_known_while_racks_end(self):
        plan = Plan(culprits=2, racks_s=RACKS_S)
        self.assertLessEqual(self.late_sends(plan), MOST_LATE_SENDS)


class BlameTest(unittest.TestCase):
    def test_three_ends_at_the_same_place_block(self):
        book = a_book(bad=[("e1", 2, 1.0), ("e2", 3, 2.0), ("e3", 2, 3.0)])
        self.assertEqual(blocked(book), {"bad"})
        self.assertEqual(book.blocks["bad"].engine_ids, ("e1", "e2", "e3"))

    def test_two_make_a_suspect(self):
        book = a_book(bad=[("e1", 2, 1.0), ("e2", 3, 2.0)])
        self.assertEqual(blocked(book), set())
        self.assertEqual(book.suspects, {"bad"})

    def test_one_that_got_further_each_time_only_ran_there(self):
        book = a_book(good=[("e1", 2, 1.0), ("e2", 30, 2.0), ("e3", 61, 3.0)])
        self.assertEqual(blocked(book), set())

    def test_one_that_ended_well_is_free(self):
        book = a_book(bad=[("e1", 2, 1.0), ("e2", 3, 2.0), ("e3", 2, 3.0)])
        crashbook.merge(book, "bad", RequestRecord("acme", "llm", passed=FINISHED))
        self.assertEqual(blocked(book), set())

    def test_the_ends_of_a_blocked_one_count_for_nobody_else(self):
        ends = [("e1", 2, 1.0), ("e2", 2, 2.0), ("e3", 2, 3.0), ("e4", 2, 4.0)]
        book = a_book(bad=ends, beside=ends[:3])
        self.assertEqual(blocked(book), {"bad"})
        self.assertEqual(book.suspects, set())

    def test_many_ends_of_one_moment_count_for_less(self):
        racks = [("e1", 0, 1.0), ("f1", 0, 2.0), ("g1", 0, 3.0)]
        others = {
            f"other{n}": [
                (f"{e}{n}", 0, s) for e, s in zip("efg", (1.0, 2.0, 3.0), strict=True)
            ]
            for n in range(2, 5)
        }
        self.assertEqual(blocked(a_book(good=racks, **others)), set())

    def test_a_block_ends_and_comes_back_for_longer(self):
        book = a_book(bad=[("e1", 2, 1.0), ("e2", 3, 2.0), ("e3", 2, 3.0)])
        over_s = 3.0 + blame.BLOCK_S
        self.assertEqual(blocked(book, over_s - 1.0), {"bad"})
        self.assertEqual(blocked(book, over_s), set())
        again = Crash("e4", "a", "v1", 2, over_s + 1.0)
        crashbook.merge(book, "bad", RequestRecord("acme", "llm", (again,)))
        self.assertEqual(blocked(book, over_s + blame.BLOCK_S + 2.0), {"bad"})

    def test_what_an_operator_lifted_starts_anew(self):
        book = a_book(bad=[("e1", 2, 1.0), ("e2", 3, 2.0), ("e3", 2, 3.0)])
        crashbook.merge(book, "bad", RequestRecord("acme", "llm", lifted_s=9.0))
        self.assertEqual(blocked(book), set())

    def test_suspects_are_sent_at_different_moments(self):
        book = a_book(**{f"{n:08x}": [("e1", 2, 1.0), ("e2", 3, 2.0)] for n in (0, 1)})
        blame.update_blocks(book, 10.0)
        delays_s = {blame.send_delay_s(book, f"{n:08x}") for n in (0, 1)}
        self.assertEqual(delays_s, {0.0, blame.MOMENT_S})
        self.assertEqual(blame.send_delay_s(book, "another"), 0.0)


if __name__ == "__main__":
    unittest.main()
