"""Random sequences of faults, checked by an oracle (see `builders.Cluster`)."""

import unittest

from builders import TIMING, Cluster, make_voters
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

VMS = st.integers(0, 4)
RATES = st.sampled_from((0.0, 0.0, 0.1, 0.3))
# Each fault is followed by work: changes, waiting time, loss and duplication rates.
WORK = st.tuples(
    st.integers(0, 60), st.sampled_from((0.05, 0.7, 1.5, 3.0)), RATES, RATES
)


class Histories(RuleBasedStateMachine):
    """Checks that accepted changes stay, terms have one leader and reads are fresh."""

    @initialize(count=st.sampled_from((3, 5)), seed=st.integers(0, 1 << 16))
    def begin(self, count, seed):
        # Half of the clusters use short first election timeouts, as the daemons do.
        fast_timing = TIMING._replace(
            first_election_min_s=0.06, first_election_max_s=0.15
        )
        self.cluster = Cluster(count, seed, fast_timing if seed % 2 else TIMING)
        self.cluster.settle()
        self.repairs = []
        self.wiped = set()

    def vm(self, number):
        return sorted(self.cluster.members)[number % len(self.cluster.members)]

    def work(self, work):
        """Propose and read at every VM in the leader role, including stale leaders."""
        count, wait_s, loss, duplicated = work
        for _ in range(4):
            leaders = [
                vm
                for vm, member in self.cluster.members.items()
                if member.node is not None and member.node.role == "leader"
            ]
            for vm in leaders:
                self.cluster.read(vm)
                for _ in range(count // 4):
                    self.cluster.propose(vm)
            self.cluster.run(wait_s / 4, loss, duplicated)

    @rule(work=WORK)
    def work_on(self, work):
        self.work(work)

    @rule(first=VMS, second=VMS, work=WORK)
    def cut_off(self, first, second, work):
        vms = {self.vm(first), self.vm(second)}
        self.cluster.isolated = (
            vms if len(self.cluster.members) == 5 else {self.vm(first)}
        )
        self.work(work)

    @rule(work=WORK)
    def cut_leader_off(self, work):
        self.cluster.isolated = {self.cluster.leader() or "a"}
        self.work(work)

    @rule(first=VMS, second=VMS, work=WORK)
    def cut_link(self, first, second, work):
        self.cluster.broken_links = {frozenset((self.vm(first), self.vm(second)))}
        self.work(work)

    @rule(work=WORK)
    def freeze_leader(self, work):
        self.cluster.frozen = {self.cluster.leader() or "a"}
        self.work(work)
        self.cluster.frozen.clear()
        self.work(work)

    @rule(slow=st.booleans(), work=WORK)
    def change_disks(self, slow, work):
        self.cluster.slow_disks = slow
        self.work(work)

    @rule(number=VMS, work=WORK)
    def crash(self, number, work):
        self.start_all()
        self.cluster.crash(self.vm(number))
        self.work(work)

    @rule(work=WORK)
    def crash_all(self, work):
        for vm in self.cluster.members:
            self.cluster.crash(vm)
        self.start_all()
        self.work(work)

    @rule(number=VMS, operations=st.integers(1, 12), work=WORK)
    def cut_power_soon(self, number, operations, work):
        fake = self.cluster.members[self.vm(number)].fake
        fake.power_loss_at = fake.operations + operations
        self.work(work)

    @rule(work=WORK)
    def mend(self, work):
        self.cluster.isolated = set()
        self.cluster.broken_links = set()
        self.start_all()
        self.work(work)

    @rule(number=VMS, recreate=st.booleans(), mend=st.booleans(), work=WORK)
    def lose_disk(self, number, recreate, mend, work):
        vm = self.vm(number)
        # At most one of three disks or two of five at a time, so a majority is left.
        most = (len(self.cluster.members) - 1) // 2
        if vm in self.wiped or len(self.repairs) == most:
            return
        self.wiped.add(vm)
        old = next(v for v in make_voters(5) if v.vm == vm)
        self.cluster.crash(vm)
        if recreate:
            self.cluster.wipe(vm, recreate=True)
            self.work(work)
            self.cluster.crash(vm)
        self.repairs.append((old, self.cluster.wipe(vm)))
        self.work(work)
        if mend:
            self.mend(work)
            self.repair(-1, work)

    @rule(which=st.integers(-1, 1), work=WORK)
    def repair(self, which, work):
        for _ in range(4):
            leader = self.cluster.leader()
            if leader is None or not self.repairs:
                return
            self.repair_step(self.repairs[which % len(self.repairs)], leader)
            self.work(work)

    def repair_step(self, repair, leader):
        old, new = repair
        status = self.cluster.status(leader)
        learners = [learner["disk_id"] for learner in status["learners"]]
        voters = [voter["disk_id"] for voter in status["voters"]]
        if old.disk_id not in voters and new.disk_id in voters:
            self.repairs.remove(repair)
        elif new.disk_id in voters:
            self.cluster.change("remove", old)
        elif new.disk_id in learners:
            self.cluster.change("promote", new)
        else:
            self.cluster.change("add-learner", new)

    def start_all(self):
        for vm, member in self.cluster.members.items():
            member.fake.power_loss_at = None
            if member.node is None:
                self.cluster.start(vm)

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        self.cluster.slow_disks = False
        self.mend((0, 2.0, 0.0, 0.0))
        self.cluster.settle(20)
        self.cluster.run(2)
        self.cluster.check_no_loss()


class HistoriesTest(unittest.TestCase):
    def test_random_histories(self):
        """No accepted change is lost, altered or missed by a read under any faults.

        Messages are lost, duplicated and reordered; VMs are partitioned, frozen, lose
        power at any disk operation, lose their disk and are replaced.
        """
        run_state_machine_as_test(
            Histories,
            settings=settings(
                derandomize=True,
                database=None,
                deadline=None,
                max_examples=40,
                stateful_step_count=25,
            ),
        )


if __name__ == "__main__":
    unittest.main()
