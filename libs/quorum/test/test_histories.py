"""Random histories of faults against an oracle (see `builders.Cluster`)."""

import unittest

from builders import Cluster, make_voters
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

VMS = st.integers(0, 4)
WAITS = st.sampled_from((0.05, 0.2, 0.7, 1.5))
RATES = st.sampled_from((0.0, 0.0, 0.1, 0.4))


class Histories(RuleBasedStateMachine):
    """What is accepted stays; one leader a term; one history; no stale reads."""

    @initialize(count=st.sampled_from((3, 5)), seed=st.integers(0, 1 << 16))
    def begin(self, count, seed):
        self.cluster = Cluster(count, seed)
        self.cluster.settle()
        self.repairs = []
        self.wiped = set()

    def vm(self, number):
        return sorted(self.cluster.members)[number % len(self.cluster.members)]

    @rule(number=VMS, count=st.integers(1, 60), by_leader=st.booleans())
    def propose(self, number, count, by_leader):
        leader = self.cluster.leader() if by_leader else None
        for _ in range(count):
            self.cluster.propose(leader or self.vm(number))

    @rule(number=VMS)
    def read(self, number):
        self.cluster.read(self.vm(number))
        self.cluster.read(self.cluster.leader() or self.vm(number))

    @rule(wait_s=WAITS, loss=RATES, doubled=RATES)
    def run_on(self, wait_s, loss, doubled):
        self.cluster.run(wait_s, loss, doubled)

    @rule()
    def cut_leader_off(self):
        self.cluster.cut = {self.cluster.leader() or "a"}

    @rule(first=VMS, second=VMS)
    def cut_off(self, first, second):
        self.cluster.cut = {self.vm(first), self.vm(second)}

    @rule()
    def freeze_leader(self):
        self.cluster.frozen = {self.cluster.leader() or "a"}

    @rule()
    def mend(self):
        self.cluster.cut.clear()
        self.cluster.frozen.clear()
        self.start_all()

    @rule(number=VMS)
    def crash(self, number):
        self.cluster.crash(self.vm(number))

    @rule(number=VMS, operations=st.integers(1, 12))
    def cut_power_soon(self, number, operations):
        fake = self.cluster.members[self.vm(number)].fake
        fake.cut_at = fake.operations + operations

    @rule(number=VMS)
    def restart(self, number):
        member = self.cluster.members[self.vm(number)]
        if member.node is None:
            self.cluster.start(member.vm)

    # One disk lost at a time for three voters, two for five: a majority is left.
    @precondition(lambda self: 2 * len(self.repairs) + 2 < len(self.cluster.members))
    @rule(number=VMS)
    def lose_disk(self, number):
        vm = self.vm(number)
        if vm in self.wiped:
            return
        self.wiped.add(vm)
        old = next(v for v in make_voters(5) if v.vm == vm)
        self.cluster.crash(vm)
        self.repairs.append([old, self.cluster.wipe(vm)])

    @precondition(lambda self: self.repairs)
    @rule(which=st.integers(0, 1))
    def repair(self, which):
        leader = self.cluster.leader()
        if leader is None:
            return
        repair = self.repairs[which % len(self.repairs)]
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
            member.fake.cut_at = None
            if member.node is None:
                self.cluster.start(vm)

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        self.mend()
        self.cluster.settle(20)
        self.cluster.run(2)
        self.cluster.check()


class HistoriesTest(unittest.TestCase):
    def test_histories(self):
        """Nothing accepted is lost, changed or missed by a read, whatever happens.

        Messages are lost, doubled and reordered; VMs are cut off, frozen, lose power
        at any disk operation, lose their disk and are replaced.
        """
        run_state_machine_as_test(
            Histories,
            settings=settings(
                derandomize=True,
                database=None,
                deadline=None,
                max_examples=100,
                stateful_step_count=40,
            ),
        )


if __name__ == "__main__":
    unittest.main()
