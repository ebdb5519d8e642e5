import unittest

from budgetsim import BOUND, LIVE_S, Fleet, fails_in_turns

from cherryrudder.policy import retryledger
from cherryrudder.policy.retryledger import RetryLedger
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


class KnownSeedTest(unittest.TestCase):
    """Guards against retries beyond the budget in fleets that exceeded it once."""

    def excess(self, seed, strike):
        fleet = Fleet(seed, 3, 60, BOUND)
        fleet.run(LENGTH_S, strike, fails_in_turns)
        return fleet.worst()

    def test_a_second_cut_along_another_line(self):
        self.assertLessEqual(self.excess(144426, every(9.0, cut_apart)), 0)

    def test_faults_that_overlap(self):
        self.assertLessEqual(self.excess(257469, every(1.5, anything)), 0)


class LedgerTest(unittest.TestCase):
    def ledger(self, started_s=0.0, is_first=True):
        return RetryLedger(BOUND, LIVE_S, started_s, is_first)

    def record(self, ledger, now_s, *addresses, boot="1"):
        for address in addresses:
            retryledger.record_report(ledger, address, boot, USAGE, now_s)

    def retries(self, ledger, address, now_s):
        """Return the retries of the others, None if they are not known."""
        usage = retryledger.sum_others(ledger, address, now_s)
        return None if usage is None else sum(one.retries for one in usage)

    def test_a_process_that_was_replaced_counts_for_a_window(self):
        ledger = self.ledger()
        self.record(ledger, 20.0, "a", "b")
        self.retries(ledger, "b", 20.0)
        self.record(ledger, 20.5, "a", boot="2")
        self.assertGreater(self.retries(ledger, "b", 21.0), 80)
        self.record(ledger, 30.2, "a", boot="2")
        self.record(ledger, 30.2, "b")
        # What it may have spent until its end is still in the window.
        self.assertGreater(self.retries(ledger, "b", 30.3), 40)
        self.assertEqual(self.retries(ledger, "b", 30.6), 40)

    def test_a_silent_process_counts_until_its_last_share_has_expired(self):
        ledger = self.ledger()
        self.record(ledger, 20.0, "a", "b")
        self.retries(ledger, "b", 20.0)
        for now_s in (24.0, 29.9, 39.9):
            self.record(ledger, now_s, "b")
            self.assertGreater(self.retries(ledger, "b", now_s), 0)
        self.record(ledger, 40.1, "b")
        self.assertEqual(self.retries(ledger, "b", 40.1), 0)

    def test_one_that_reports_again_counts_once(self):
        ledger = self.ledger()
        self.record(ledger, 20.0, "a", "b")
        self.record(ledger, 24.0, "b")
        self.retries(ledger, "b", 24.0)
        self.record(ledger, 24.5, "a")
        self.assertEqual(self.retries(ledger, "b", 24.5), 40)

    def test_a_control_vm_that_has_just_started_gives_no_sums(self):
        ledger = self.ledger(started_s=100.0, is_first=False)
        self.record(ledger, 105.0, "a", "b")
        self.assertIsNone(self.retries(ledger, "b", 105.0))
        self.record(ledger, 110.1, "a", "b")
        self.assertEqual(self.retries(ledger, "b", 110.1), 40)

    def test_it_learns_of_ended_entries_from_another(self):
        old, new = self.ledger(), self.ledger(started_s=100.0, is_first=False)
        self.record(old, 99.0, "a", "b")
        self.record(old, 99.5, "a", boot="2")
        self.record(new, 101.9, "b")
        self.record(new, 101.9, "a", boot="2")
        ended = retryledger.report_ended(old, 102.0)
        known_s = retryledger.known_s(old, 102.0)
        retryledger.merge_ended(new, ended, known_s, 102.0)
        self.assertEqual(self.retries(new, "b", 102.1), 80)

    def test_no_sums_while_an_entry_has_reported_only_its_presence(self):
        ledger = self.ledger()
        self.record(ledger, 20.0, "a", "b")
        retryledger.record_report(ledger, "c", "1", None, 20.0)
        self.assertIsNone(self.retries(ledger, "b", 20.1))
        retryledger.record_report(ledger, "c", "1", USAGE, 20.2)
        self.assertEqual(self.retries(ledger, "b", 20.3), 80)


if __name__ == "__main__":
    unittest.main()
