import unittest

from builders import Entries
from hypothesis import given, settings, strategies as st

from cherryrudder.policy import shares
from cherryrudder.policy.limits import Share

BOUND = Share(100.0, 1000.0, 10)


class SharesTest(unittest.TestCase):
    def assert_within(self, entries):
        used = entries.used()
        for part, bound in zip(used, BOUND, strict=True):
            self.assertLessEqual(part, bound * (1 + 1e-6) + 1e-6)

    def test_bound_is_reached_through_one_entry_within_seconds(self):
        entries = Entries(BOUND, 5, seed=1)
        entries.demand["e0"] = Share(1e4, 1e6, 100)
        entries.run(6.0)
        self.assertGreater(entries.share("e0").tokens_per_s, 0.97 * 1000)
        self.assertEqual(entries.share("e0").concurrency, 10)
        naive = shares.floor_of(BOUND, entries.names, "e0")
        self.assertEqual(naive.tokens_per_s, 200)

    def test_equal_demands_get_equal_parts(self):
        entries = Entries(BOUND, 4, seed=2)
        for name in entries.names:
            entries.demand[name] = Share(1e4, 1e6, 100)
        entries.run(6.0)
        parts = [round(entries.share(name).tokens_per_s) for name in entries.names]
        self.assertEqual(parts, [250] * 4)

    def test_a_cut_off_entry_continues_at_its_floor(self):
        entries = Entries(BOUND, 4, seed=3)
        entries.demand["e0"] = Share(1e4, 1e6, 100)
        entries.run(6.0)
        entries.lost["e1"] = 1.0
        for _ in range(40):
            entries.run(0.1)
            self.assert_within(entries)
        self.assertEqual(entries.share("e1").tokens_per_s, 250)
        self.assertGreater(entries.share("e0").tokens_per_s, 0.7 * 1000)

    def test_max_min_satisfies_small_demands(self):
        self.assertEqual(shares.max_min([10, 90, 90], 100), [10, 45, 45])
        self.assertEqual(shares.max_min([0, 4], 10), [1.5, 5.5])

    @settings(derandomize=True, database=None, deadline=None, max_examples=60)
    @given(
        st.integers(0, 10**6),
        st.lists(
            st.tuples(
                st.sampled_from(["load", "lose", "restart", "allocator", "split"]),
                st.integers(0, 3),
                st.floats(0.0, 1.0),
                st.floats(0.05, 1.5),
            ),
            max_size=10,
        ),
    )
    def test_sum_of_shares_never_exceeds_the_bound(self, seed, steps):
        """Two entries never use the same part of a bound.

        Answers are lost, entries and allocators restart, and entries use different
        allocators. If a part was used twice, the customer would get more than its
        contract, at the cost of the others.
        """
        entries = Entries(BOUND, 4, seed)
        for action, number, amount, wait_s in steps:
            entries.act(action, f"e{number}", amount)
            while wait_s > 0:
                entries.run(0.1)
                wait_s -= 0.1
                self.assert_within(entries)
