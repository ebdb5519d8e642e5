import unittest

from crashsim import Plan, Simulation

from cherryrudder.routing import blame, crashbook
from cherryrudder.routing.crashbook import FINISHED, Crash, CrashBook, RequestRecord

SEEDS = range(12)
RACKS_S = (3.0, 4.0, 5.0, 8.0, 9.0, 12.0, 13.0)
# From the first event to the end of an answer.
ANYWHERE_S = (0.0, 1.9)
CASCADE_S = tuple(3.0 + 0.35 * n for n in range(9))
# Sends allowed after all entries should block a request, and the engines needed for
# five culprits.
MAX_LATE_SENDS = 3
MANY_ENGINES = 36


def a_book(**crashes):
    """Return a book with crashes by fingerprint: (engine, last event, time)."""
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
    """Guards against blocking requests that only ran beside the culprits."""

    def outcomes(self, plan, is_naive=False):
        return [Simulation(plan, seed, is_naive).run() for seed in SEEDS]

    def innocents(self, plan, is_naive=False):
        found = self.outcomes(plan, is_naive)
        return sum(outcome.blocked_innocents for outcome in found)

    def late_sends(self, plan):
        return max(max(outcome.late_sends) for outcome in self.outcomes(plan))

    def test_rack_failures_block_no_request(self):
        for racks_s in (RACKS_S, CASCADE_S):
            plan = Plan(racks_s=racks_s)
            self.assertEqual(self.innocents(plan), 0)
            self.assertGreater(self.innocents(plan, is_naive=True), 0)

    def test_neighbours_of_one_or_two_culprits_are_not_blocked(self):
        for culprits in (1, 2):
            self.assertEqual(self.innocents(Plan(culprits=culprits)), 0)

    def test_neighbours_of_five_culprits_on_many_engines_are_not_blocked(self):
        plan = Plan(culprits=5, engines=MANY_ENGINES)
        self.assertEqual(self.innocents(plan), 0)

    def test_few_neighbours_of_five_culprits_on_few_engines_are_blocked(self):
        plan = Plan(culprits=5)
        naive = self.innocents(plan, is_naive=True)
        self.assertLess(self.innocents(plan), naive / 10)

    def test_each_culprit_is_known_after_three_crashes(self):
        for culprits in (1, 2):
            plan = Plan(culprits=culprits)
            self.assertLessEqual(self.late_sends(plan), MAX_LATE_SENDS)
        plan = Plan(culprits=5, engines=MANY_ENGINES)
        self.assertLessEqual(self.late_sends(plan), MAX_LATE_SENDS)

    def test_culprits_that_crash_engines_anywhere_are_known_soon_after(self):
        for culprits in (1, 2):
            plan = Plan(culprits=culprits, crash_after_s=ANYWHERE_S)
            self.assertLessEqual(self.late_sends(plan), MAX_LATE_SENDS)
            self.assertEqual(self.innocents(plan), 0)

    def test_five_among_few_engines_are_known_after_three_ends(self):
        self.assertLessEqual(self.late_sends(Plan(culprits=5)), MAX_LATE_SENDS)

    def test_two_culprits_are_known_during_rack_failures(self):
        plan = Plan(culprits=2, racks_s=RACKS_S)
        self.assertLessEqual(self.late_sends(plan), MAX_LATE_SENDS)


class BlameTest(unittest.TestCase):
    def test_three_crashes_at_the_same_position_block(self):
        book = a_book(bad=[("e1", 2, 1.0), ("e2", 3, 2.0), ("e3", 2, 3.0)])
        self.assertEqual(blocked(book), {"bad"})
        self.assertEqual(book.blocks["bad"].engine_ids, ("e1", "e2", "e3"))

    def test_two_crashes_make_a_suspect(self):
        book = a_book(bad=[("e1", 2, 1.0), ("e2", 3, 2.0)])
        self.assertEqual(blocked(book), set())
        self.assertEqual(book.suspects, {"bad"})

    def test_a_request_that_got_further_each_time_is_not_blocked(self):
        book = a_book(good=[("e1", 2, 1.0), ("e2", 30, 2.0), ("e3", 61, 3.0)])
        self.assertEqual(blocked(book), set())

    def test_four_crashes_at_any_positions_block(self):
        """Guards against a culprit whose late crash clears the early ones."""
        for positions in ((0, 10, 20, 30), (18, 0, 17, 1), (61, 30, 2, 40)):
            crashes = [(f"e{n}", event, 1.0 + n) for n, event in enumerate(positions)]
            self.assertEqual(blocked(a_book(bad=crashes)), {"bad"})

    def test_a_whole_run_clears_earlier_crashes_and_halves_later_ones(self):
        early = [(f"e{n}", 9 * n, 1.0 + n) for n in range(5)]
        late = [(f"f{n}", 2, 10.0 + n) for n in range(6)]
        whole = RequestRecord("acme", "llm", passed=FINISHED, passed_s=5.0)
        for crashes, expected in ((early, set()), (late[:5], set()), (late, {"bad"})):
            book = a_book(bad=crashes)
            crashbook.merge(book, "bad", whole)
            self.assertEqual(blocked(book), expected)

    def test_a_completed_request_is_not_blocked(self):
        book = a_book(bad=[("e1", 2, 1.0), ("e2", 3, 2.0), ("e3", 2, 3.0)])
        crashbook.merge(book, "bad", RequestRecord("acme", "llm", passed=FINISHED))
        self.assertEqual(blocked(book), set())

    def test_crashes_of_a_blocked_request_count_against_no_other(self):
        ends = [("e1", 2, 1.0), ("e2", 2, 2.0), ("e3", 2, 3.0), ("e4", 2, 4.0)]
        book = a_book(bad=ends, beside=ends[:3])
        self.assertEqual(blocked(book), {"bad"})
        self.assertEqual(book.suspects, set())

    def test_many_simultaneous_crashes_count_for_less(self):
        racks = [("e1", 0, 1.0), ("f1", 0, 2.0), ("g1", 0, 3.0)]
        others = {
            f"other{n}": [
                (f"{e}{n}", 0, s) for e, s in zip("efg", (1.0, 2.0, 3.0), strict=True)
            ]
            for n in range(2, 5)
        }
        self.assertEqual(blocked(a_book(good=racks, **others)), set())

    def test_a_further_crash_after_a_block_blocks_for_longer(self):
        book = a_book(bad=[("e1", 2, 1.0), ("e2", 3, 2.0), ("e3", 2, 3.0)])
        over_s = 3.0 + blame.BLOCK_S
        self.assertEqual(blocked(book, over_s - 1.0), {"bad"})
        self.assertEqual(blocked(book, over_s), set())
        again = Crash("e4", "a", "v1", 2, over_s + 1.0)
        crashbook.merge(book, "bad", RequestRecord("acme", "llm", (again,)))
        self.assertEqual(blocked(book, over_s + blame.BLOCK_S + 2.0), {"bad"})

    def test_crashes_before_a_lift_do_not_count(self):
        book = a_book(bad=[("e1", 2, 1.0), ("e2", 3, 2.0), ("e3", 2, 3.0)])
        crashbook.merge(book, "bad", RequestRecord("acme", "llm", lifted_s=9.0))
        self.assertEqual(blocked(book), set())

    def test_suspects_are_sent_at_different_times(self):
        book = a_book(**{f"{n:08x}": [("e1", 2, 1.0), ("e2", 3, 2.0)] for n in (0, 1)})
        blame.update_blocks(book, 10.0)
        delays_s = {blame.send_delay_s(book, f"{n:08x}") for n in (0, 1)}
        self.assertEqual(delays_s, {0.0, blame.STAGGER_STEP_S})
        self.assertEqual(blame.send_delay_s(book, "another"), 0.0)


if __name__ == "__main__":
    unittest.main()
