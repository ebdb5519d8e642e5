"""Tests of when the platform counts as full."""

import unittest

from cherryrudder.policy import refusal
from cherryrudder.policy.refusal import Drain


class FullTest(unittest.TestCase):
    def setUp(self):
        self.drain = Drain()
        refusal.record_start(self.drain, 100.0, 0.0)
        refusal.record_finish(self.drain, 100.0, 3.0, 3.0)

    def wait_s(self, now_s):
        """Return the wait behind a hundred requests."""
        return refusal.platform_wait_s(self.drain, 10_000.0, now_s)

    def test_a_burst_on_an_idle_platform_waits_for_credits(self):
        """A burst reaches an idle entry, which holds one credit for each endpoint.

        The second request is blocked, and credits are requested. Until they can arrive
        no request is refused. If none arrive, the platform is full.
        """
        refusal.record_start(self.drain, 100.0, 5.0)
        refusal.record_blocked(self.drain, 5.0)
        self.assertEqual(self.wait_s(5.1), 0.0)
        refusal.record_blocked(self.drain, 5.2)
        self.assertGreater(self.wait_s(5.5), 10.0)

    def test_a_platform_that_stays_full_is_full_at_once(self):
        """Requests wait all the time, and one starts whenever another ends.

        If each start began a new grace period, no request would be refused before the
        end of its longest wait.
        """
        refusal.record_blocked(self.drain, 5.0)
        for tenth in range(4, 50):
            now_s = 5.0 + tenth / 10
            refusal.record_start(self.drain, 100.0, now_s)
            refusal.record_blocked(self.drain, now_s)
            self.assertGreater(self.wait_s(now_s), 0.0)
