import unittest

from builders import a_contract

from cherryrudder.policy import limits
from cherryrudder.policy.limits import Limits, Share


class LimitsTest(unittest.TestCase):
    def setUp(self):
        self.contract = a_contract()
        self.limits = Limits(self.contract, limits.share_of(self.contract, 0.5), 0.0)

    def test_share_is_the_entrys_part_of_the_contract(self):
        self.assertEqual(self.limits.share, Share(5.0, 500.0, 4))

    def test_long_request_starts_on_a_full_bucket_and_leaves_a_debt(self):
        self.assertTrue(limits.is_within(self.limits, 5000, 0.0))
        limits.charge(self.limits, 5000, 0.0)
        self.assertFalse(limits.is_within(self.limits, 1, 7.9))
        self.assertTrue(limits.is_within(self.limits, 1, 8.1))

    def test_concurrency_limit_holds_until_a_request_finishes(self):
        for _ in range(4):
            limits.charge(self.limits, 1, 0.0)
        self.assertFalse(limits.is_within(self.limits, 1, 1.0))
        limits.finish(self.limits, 1, 1, 1.0)
        self.assertTrue(limits.is_within(self.limits, 1, 1.0))

    def test_settlement_charges_the_true_count(self):
        limits.charge(self.limits, 100, 0.0)
        limits.finish(self.limits, 100, 400, 0.0)
        self.assertEqual(self.limits.tokens.level, 600)

    def test_a_new_share_allows_no_new_burst(self):
        limits.charge(self.limits, 1000, 0.0)
        whole = limits.share_of(self.contract)
        limits.set_share(self.limits, self.contract, whole, 0.0)
        self.assertFalse(limits.is_within(self.limits, 100, 0.0))

    def test_limit_wait_ends_when_the_request_is_within_its_limits(self):
        limits.charge(self.limits, 1000, 0.0)
        wait_s = limits.limit_wait_s(self.limits, 0, 0, 250, 1.0, 0.0)
        self.assertAlmostEqual(wait_s, 0.5)
        self.assertFalse(limits.is_within(self.limits, 250, wait_s - 0.01))
        self.assertTrue(limits.is_within(self.limits, 250, wait_s))
