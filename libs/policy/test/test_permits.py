import itertools
import unittest

from hypothesis import given, settings, strategies as st
from permitsim import WINDOW_S, Plan, max_in_window, play

from cherryrudder.policy import permits
from cherryrudder.policy.permits import Grant, Holder, Issuer

LIMIT_PER_S = 2.5
# The users' rule permits one and a half times the limit, and five more.
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5


class FleetTest(unittest.TestCase):
    """Guards against entries that together send more than an endpoint accepts."""

    def outcomes(self, strategy, **changes):
        """Simulate fleets of several sizes and kinds of demand."""
        fleets = itertools.product((3, 26, 370), ("even", "one", "moving"))
        plans = [
            Plan(entries=n, demand=d, strategy=strategy, **changes) for n, d in fleets
        ]
        return [(plan, play(plan, seed=1)) for plan in plans]

    def test_permits_keep_within_the_limit_and_use_most_of_it(self):
        for plan, outcome in self.outcomes("permits"):
            with self.subTest(plan=plan):
                most = 1.2 * LIMIT_PER_S * WINDOW_S
                self.assertLessEqual(outcome.max_in_window(), most)
                self.assertGreaterEqual(outcome.share_used(plan.per_s), 0.9)

    def test_an_even_split_leaves_the_limit_unused_if_few_entries_have_callers(self):
        used = [
            outcome.share_used(plan.per_s)
            for plan, outcome in self.outcomes("even_split")
            if plan.demand != "even"
        ]
        self.assertLess(max(used), 0.4)

    def test_entries_with_separate_buckets_exceed_the_limit(self):
        broken = [
            outcome.max_in_window() > ALLOWED
            for plan, outcome in self.outcomes("separate")
            if plan.demand == "even" and plan.entries > 3
        ]
        self.assertEqual(broken, [True, True])

    def test_issuer_changes_and_lost_answers_keep_within_the_limit(self):
        changes = {"issuer_changes_s": 1.0, "lost_share": 0.1}
        for _, outcome in self.outcomes("permits", **changes):
            self.assertLessEqual(outcome.max_in_window(), ALLOWED)

    def test_entries_without_an_issuer_keep_to_even_parts(self):
        for _, outcome in self.outcomes("permits", lost_share=1.0):
            self.assertLessEqual(outcome.max_in_window(), ALLOWED)


class IssuerTest(unittest.TestCase):
    def test_a_new_issuer_starts_without_permits(self):
        grant = permits.issue(Issuer(10.0), "e", 1, LIMIT_PER_S, 10.0)
        self.assertEqual(grant.permits, 0)
        self.assertGreater(grant.wait_s, 0.0)

    def test_waiting_entries_get_successive_times(self):
        issuer = Issuer(0.0)
        waits_s = [permits.issue(issuer, e, 1, 1.0, 0.0).wait_s for e in "abc"]
        self.assertEqual(sorted(waits_s), waits_s)
        self.assertAlmostEqual(waits_s[2] - waits_s[0], 2.0 / permits.SAFE_SHARE)

    def test_an_endpoint_with_a_limit_near_zero_gets_the_minimum_rate(self):
        for per_s in (0.0, 5e-324, 0.001):
            with self.subTest(per_s=per_s):
                issuer = Issuer(0.0)
                grants = [permits.issue(issuer, "e", 1, per_s, t) for t in range(100)]
                granted = sum(grant.permits for grant in grants)
                self.assertEqual(granted, int(99 * permits.MIN_PER_S))
                longest_s = max(grant.wait_s for grant in grants)
                self.assertLessEqual(longest_s, 1.0 / permits.MIN_PER_S)

    @settings(deadline=None, max_examples=60, derandomize=True)
    @given(
        st.floats(0.05, 50.0),
        st.lists(
            st.tuples(st.floats(0.0, 0.5), st.integers(0, 5), st.integers(1, 4)),
            max_size=200,
        ),
    )
    def test_no_order_of_requests_gets_more_than_the_limit(self, per_s, asks):
        issuer, now_s, granted_s = Issuer(0.0), 0.0, []
        for pause_s, sender, count in asks:
            now_s += pause_s
            one = permits.issue(issuer, str(sender), count, per_s, now_s)
            granted_s += [now_s] * one.permits
        most = 1.0 + per_s * permits.BURST_S
        self.assertLessEqual(max_in_window(granted_s), per_s * WINDOW_S + most)


class HolderTest(unittest.TestCase):
    def setUp(self):
        self.holder = Holder()

    def record_grant(self, count, now_s):
        permits.record_grant(
            self.holder, Grant(count, 0.0 if count else 0.4, 0.9), now_s
        )

    def has_permit(self, now_s):
        return permits.has_permit(self.holder, LIMIT_PER_S, 7, now_s)

    def test_an_unused_permit_expires(self):
        self.record_grant(1, 0.0)
        self.assertTrue(self.has_permit(permits.PERMIT_LIFETIME_S / 2))
        self.assertFalse(self.has_permit(permits.PERMIT_LIFETIME_S))

    def test_a_permit_is_used_once(self):
        self.record_grant(1, 0.0)
        permits.use_permit(self.holder, 0.0)
        self.assertFalse(self.has_permit(0.0))

    def test_no_request_is_sent_before_the_next_permit(self):
        self.record_grant(0, 0.0)
        self.assertFalse(permits.may_request(self.holder, 0.3))
        self.assertTrue(permits.may_request(self.holder, 0.4))

    def test_the_wait_behind_other_entries_decreases_with_time(self):
        self.record_grant(0, 0.0)
        self.assertAlmostEqual(permits.wait_s(self.holder, 0.5), 0.4)

    def test_a_lost_answer_is_not_waited_for_long(self):
        permits.record_request(self.holder, 0.0)
        self.assertTrue(permits.is_pending(self.holder, 0.1))
        self.assertFalse(permits.is_pending(self.holder, permits.ANSWER_TIMEOUT_S))


if __name__ == "__main__":
    unittest.main()
