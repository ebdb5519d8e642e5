"""Tests of fencing numbers."""

import unittest

from builders import Voter

from cherryrudder.state.commands import TakeFence
from cherryrudder.state.machine import fence_of


class FenceTest(unittest.TestCase):
    def test_numbers_rise_and_a_resend_gets_the_same(self):
        """Two holders order one engine, and the older one resends its request.

        The resend must not overtake the newer holder, so it gets its old number.
        """
        voter = Voter()
        first = voter.apply(TakeFence("r1", "desk-1"))
        second = voter.apply(TakeFence("r2", "desk-1"))
        self.assertGreater(second.fence, first.fence)
        voter.restart()
        self.assertEqual(voter.apply(TakeFence("r1", "desk-1")), first)
        self.assertEqual(fence_of(voter.state, "desk-1"), second.fence)
        self.assertEqual(fence_of(voter.state, "desk-2"), 0)
        self.assertEqual(voter.apply(TakeFence("r1", "desk-2")).code, "reused")
