import itertools
import unittest

from hypothesis import given, settings, strategies as st
from turnsim import WINDOW_S, Plan, most_in_window, play

from cherryrudder.policy import turns
from cherryrudder.policy.turns import Given, Giver, Held

LIMIT_PER_S = 2.5
# The users' rule allows half as much again, and five more.
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5


class FleetTest(unittest.TestCase):
    """Guards against entries that together send more than an endpoint takes."""

    def outcomes(self, way, **changes):
        """Play fleets of several sizes and kinds of demand."""
        fleets = itertools.product((3, 26, 370), ("even", "one", "moving"))
        plans = [Plan(entries=n, demand=d, way=way, **changes) for n, d in fleets]
        return [(plan, play(plan, seed=1)) for plan in plans]

    def test_turns_keep_within_the_limit_and_use_most_of_it(self):
        for plan, outcome in self.outcomes("turns"):
            with self.subTest(plan=plan):
                most = 1.2 * LIMIT_PER_S * WINDOW_S
                self.assertLessEqual(outcome.most_in_window(), most)
                self.assertGreaterEqual(outcome.share_used(plan.per_s), 0.9)

    def test_even_parts_leave_the_limit_unused_where_few_have_the_callers(self):
        used = [
            outcome.share_used(plan.per_s)
            for plan, outcome in self.outcomes("parted")
            if plan.demand != "even"
        ]
        self.assertLess(max(used), 0.4)

    def test_each_for_itself_the_entries_break_it(self):
        broken = [
            outcome.most_in_window() > ALLOWED
            for plan, outcome in self.outcomes("alone")
            if plan.demand == "even" and plan.entries > 3
        ]
        self.assertEqual(broken, [True, True])

    def test_givers_that_change_and_lost_answers_dont_add_up(self):
        changes = {"giver_changes_s": 1.0, "lost_share": 0.1}
        for _, outcome in self.outcomes("turns", **changes):
            self.assertLessEqual(outcome.most_in_window(), ALLOWED)

    def test_entries_without_any_giver_keep_to_even_parts(self):
        for _, outcome in self.outcomes("turns", lost_share=1.0):
            self.assertLessEqual(outcome.most_in_window(), ALLOWED)


class GiverTest(unittest.TestCase):
    def test_a_new_giver_begins_with_nothing(self):
        given = turns.give(Giver(10.0), "e", 1, LIMIT_PER_S, 10.0)
        self.assertEqual(given.turns, 0)
        self.assertGreater(given.wait_s, 0.0)

    def test_those_that_wait_are_told_to_come_one_after_the_other(self):
        giver = Giver(0.0)
        waits_s = [turns.give(giver, e, 1, 1.0, 0.0).wait_s for e in "abc"]
        self.assertEqual(sorted(waits_s), waits_s)
        self.assertAlmostEqual(waits_s[2] - waits_s[0], 2.0 / turns.SAFE_SHARE)

    def test_an_endpoint_that_takes_nothing_is_asked_now_and_then(self):
        giver = Giver(0.0)
        given = [turns.give(giver, "e", 1, 0.0, now_s).turns for now_s in range(100)]
        self.assertEqual(sum(given), int(99 * turns.LEAST_PER_S))

    @settings(deadline=None, max_examples=60)
    @given(
        st.floats(0.05, 50.0),
        st.lists(
            st.tuples(st.floats(0.0, 0.5), st.integers(0, 5), st.integers(1, 4)),
            max_size=200,
        ),
    )
    def test_no_order_of_asks_gets_more_than_the_limit(self, per_s, asks):
        giver, now_s, given_s = Giver(0.0), 0.0, []
        for pause_s, sender, count in asks:
            now_s += pause_s
            one = turns.give(giver, str(sender), count, per_s, now_s)
            given_s += [now_s] * one.turns
        most = 1.0 + per_s * turns.SAVED_S
        self.assertLessEqual(most_in_window(given_s), per_s * WINDOW_S + most)


class HeldTest(unittest.TestCase):
    def setUp(self):
        self.held = Held()

    def take(self, count, now_s):
        turns.take(self.held, Given(count, 0.0 if count else 0.4, 0.9), now_s)

    def has_turn(self, now_s):
        return turns.has_turn(self.held, LIMIT_PER_S, 7, now_s)

    def test_an_unused_turn_lapses(self):
        self.take(1, 0.0)
        self.assertTrue(self.has_turn(turns.VALID_S / 2))
        self.assertFalse(self.has_turn(turns.VALID_S))

    def test_a_turn_is_used_once(self):
        self.take(1, 0.0)
        turns.use(self.held, 0.0)
        self.assertFalse(self.has_turn(0.0))

    def test_it_doesnt_ask_before_the_time_that_it_was_told(self):
        self.take(0, 0.0)
        self.assertFalse(turns.may_ask(self.held, 0.3))
        self.assertTrue(turns.may_ask(self.held, 0.4))

    def test_the_time_until_others_are_served_passes(self):
        self.take(0, 0.0)
        self.assertAlmostEqual(turns.wait_s(self.held, 0.5), 0.4)

    def test_a_lost_answer_is_not_waited_for_long(self):
        turns.note_ask(self.held, 0.0)
        self.assertTrue(turns.is_pending(self.held, 0.1))
        self.assertFalse(turns.is_pending(self.held, turns.PENDING_S))


if __name__ == "__main__":
    unittest.main()
