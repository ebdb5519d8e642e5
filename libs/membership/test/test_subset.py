"""Tests of rendezvous hashing, of the choice of control VMs, and of incarnations."""

import random
import unittest

from cherryrudder.membership.incarnation import make_incarnation
from cherryrudder.membership.rendezvous import rank
from cherryrudder.membership.subset import ControlVm, choose

VMS = [ControlVm(f"10.0.0.{n}:7100", "west" if n < 3 else "east") for n in range(5)]
KEYS = [f"engine-{n}" for n in range(300)]


class SubsetTest(unittest.TestCase):
    def test_a_lost_name_moves_only_its_own_keys(self):
        names = [vm.address for vm in VMS]
        before = {key: rank(names, key)[0] for key in KEYS}
        for key, first in before.items():
            if first != names[0]:
                self.assertEqual(rank(names[1:], key)[0], first)
        counts = [list(before.values()).count(name) for name in names]
        self.assertGreater(min(counts), len(KEYS) / len(names) / 2)

    def test_own_region_comes_first_and_failing_ones_last(self):
        regions = {vm.address: vm.region for vm in VMS}
        for key in KEYS[:20]:
            first, second = choose(VMS, "west", key)
            self.assertEqual({regions[first], regions[second]}, {"west"})
            self.assertEqual(choose(VMS[::-1], "west", key), [first, second])
            self.assertEqual(choose(VMS, "west", key, [first])[0], second)
            self.assertEqual(len(choose(VMS, "north", key)), 2)

    def test_incarnation_sorts_after_the_previous_run(self):
        """A VM's clock was set back, so its new process seems older than the last."""
        rng = random.Random(1)
        old = make_incarnation(1_700_000_000_000, rng)
        for _ in range(20):
            old, before = make_incarnation(1_600_000_000_000, rng, old), old
            self.assertGreater(old, before)
