import unittest

from budgetsim import BOUND, Fleet, fails_in_turns

from cherryrudder.policy.sharedbudget import RetryUsage

LENGTH_S = 60.0
SEEDS = range(6)
USAGE = (RetryUsage("llm", 100, 40),)


def every(interval_s, act):
    """Return a strike that acts at an interval, after a calm start."""

    def strike(fleet):
        if fleet.now_s > 14.0 and round(fleet.now_s % interval_s, 3) < 0.1:
            act(fleet)

    return strike


def kill_next_entry(fleet):
    fleet.boots += 1
    fleet.kill_entry(fleet.entries[fleet.boots % len(fleet.entries)], 0.7)


def kill_next_control(fleet):
    fleet.boots += 1
    fleet.kill_control(fleet.controls[fleet.boots % 3], 0.5)


def kill_all_entries(fleet):
    for entry in fleet.entries:
        fleet.kill_entry(entry, fleet.rng.uniform(0.5, 1.5))


def kill_all_controls(fleet):
    for control in fleet.controls:
        fleet.kill_control(control, 4.0)


def freeze_an_entry(fleet):
    fleet.rng.choice(fleet.entries).frozen_s = fleet.now_s + fleet.rng.uniform(1, 6)


def cut_apart(fleet):
    fleet.cut(fleet.rng.uniform(2, 15))


def anything(fleet):
    act = fleet.rng.choice(
        [kill_next_entry, kill_next_control, freeze_an_entry, cut_apart]
    )
    act(fleet)


class SharedBudgetUnderFaultsTest(unittest.TestCase):
    """Guards against retries beyond the budget as processes end or are cut off."""

    def assert_bound_kept(self, strike):
        for entries, rate in ((3, 60), (7, 200), (9, 30)):
            for seed in SEEDS:
                fleet = Fleet(seed, entries, rate, BOUND)
                fleet.run(LENGTH_S, strike, fails_in_turns)
                with self.subTest(entries=entries, seed=seed):
                    self.assertLessEqual(fleet.worst(), 0)
                    self.assertGreater(len(fleet.retries_s), 100)

    def test_calm(self):
        self.assert_bound_kept(lambda fleet: None)

    def test_entries_restart_in_turn(self):
        for interval_s in (0.8, 2.5):
            self.assert_bound_kept(every(interval_s, kill_next_entry))

    def test_all_entries_restart_together(self):
        self.assert_bound_kept(every(4.0, kill_all_entries))

    def test_control_vms_restart_in_turn(self):
        self.assert_bound_kept(every(2.5, kill_next_control))

    def test_control_vms_are_all_down(self):
        self.assert_bound_kept(every(6.0, kill_all_controls))

    def test_entries_freeze(self):
        self.assert_bound_kept(every(2.0, freeze_an_entry))

    def test_processes_are_cut_into_two_sides(self):
        self.assert_bound_kept(every(9.0, cut_apart))

    def test_faults_overlap(self):
        self.assert_bound_kept(every(1.5, anything))


if __name__ == "__main__":
    unittest.main()
