import unittest

from cherryrudder.soak import faults
from cherryrudder.soak.faults import CATCH_UP_S, CONTROL_KINDS, FaultKind

LENGTH_S = 20.0


class DrawTest(unittest.TestCase):
    def test_a_seed_always_draws_the_same_faults(self):
        self.assertEqual(faults.draw(7, LENGTH_S), faults.draw(7, LENGTH_S))
        self.assertNotEqual(faults.draw(7, LENGTH_S), faults.draw(8, LENGTH_S))

    def test_every_kind_is_drawn(self):
        drawn = {f.kind for seed in range(100) for f in faults.draw(seed, LENGTH_S)}
        self.assertEqual(drawn, set(FaultKind))

    def test_control_vms_are_lost_one_at_a_time(self):
        """The deployment is not specified to survive the loss of two of three."""
        for seed in range(100):
            lost = [f for f in faults.draw(seed, LENGTH_S) if f.kind in CONTROL_KINDS]
            for one, other in zip(lost, lost[1:], strict=False):
                self.assertGreaterEqual(
                    other.at_s, one.at_s + one.duration_s + CATCH_UP_S
                )
