import unittest

from hypothesis import given, settings, strategies as st

from cherryrudder.policy import credits
from cherryrudder.policy.credits import Issuer


class CreditsTest(unittest.TestCase):
    def test_a_lone_entry_gets_all_and_two_get_half_each(self):
        issuer = Issuer("g0", 8)
        self.assertEqual(credits.handle_report(issuer, "a", 0, 20, 0.0).count, 8)
        self.assertEqual(credits.handle_report(issuer, "b", 0, 20, 0.1).count, 0)
        self.assertEqual(credits.handle_report(issuer, "a", 3, 20, 0.2).count, 4)
        self.assertEqual(credits.handle_report(issuer, "b", 0, 20, 0.3).count, 4)

    def test_an_entry_with_little_load_leaves_the_rest_to_others(self):
        issuer = Issuer("g0", 8)
        self.assertEqual(credits.handle_report(issuer, "a", 0, 1, 0.0).count, 1)
        self.assertEqual(credits.handle_report(issuer, "b", 0, 20, 0.1).count, 7)
        self.assertEqual(credits.fair_part([2, 1, 9], 8), 2)
        self.assertEqual(credits.fair_part([9, 1, 9], 8), 3.5)

    def test_a_dead_entrys_credits_come_back(self):
        issuer = Issuer("g0", 8)
        credits.handle_report(issuer, "a", 0, 20, 0.0)
        self.assertEqual(credits.handle_report(issuer, "b", 0, 20, 1.1).count, 8)

    def test_a_leaving_endpoint_gives_none(self):
        issuer = Issuer("g0", 8)
        credits.handle_report(issuer, "a", 2, 20, 0.0)
        issuer.is_leaving = True
        self.assertEqual(credits.handle_report(issuer, "a", 2, 20, 0.1).count, 2)

    @settings(derandomize=True, database=None, deadline=None, max_examples=80)
    @given(st.lists(st.tuples(*[st.integers(0, 9)] * 3), max_size=60))
    def test_entries_that_keep_to_their_credits_never_pass_the_slots(self, steps):
        issuer, held, running = Issuer("g0", 6), {}, {}
        for now, (which, started, wanted) in enumerate(steps):
            entry = f"e{which % 4}"
            running[entry] = min(started, held.get(entry, 0))
            given = credits.handle_report(
                issuer, entry, running[entry], wanted, now * 0.1
            )
            held[entry] = given.count
            fresh = [n for n in held if n in issuer.holdings]
            self.assertLessEqual(sum(held[name] for name in fresh), 6)
