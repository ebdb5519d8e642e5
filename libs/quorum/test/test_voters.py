"""Tests of the voter set: lost disks, learners, and single changes."""

import unittest

from builders import Cluster, make_voters

from cherryrudder.quorum import events as ev


def old_voter(cluster, vm):
    """Return the initial voter of a VM."""
    return next(v for v in make_voters(len(cluster.members)) if v.vm == vm)


def repair(cluster, vm):
    """Replace a lost disk: add a learner, promote it, remove the old disk."""
    learner = cluster.wipe(vm)
    names = []
    for action, voter in (
        ("add-learner", learner),
        ("promote", learner),
        ("remove", old_voter(cluster, vm)),
    ):
        names.append(cluster.change(action, voter))
        cluster.run(1.0)
    return names


class VoterTest(unittest.TestCase):
    def test_vm_with_a_replaced_disk_has_no_vote(self):
        """An accepted change survives the loss of one VM's disk.

        c is partitioned while a and b accept a change. Then b returns with an empty
        disk and a is partitioned. If b were counted by its name alone, b and c would be
        a majority without the change, and two majorities would disagree. With the disk
        in the voter set, c and the new disk of b elect no leader.
        """
        cluster = self.lose_b(recreate=True, naive=True)
        with self.assertRaisesRegex(AssertionError, "another|accepted, then lost"):
            cluster.settle()
            cluster.check_no_loss()
        for recreate in (False, True):
            cluster = self.lose_b(recreate)
            cluster.run(20)
            self.assertIsNone(cluster.leader())
            cluster.isolated.clear()
            cluster.settle()
            cluster.check_no_loss()
            self.assertEqual(cluster.status("b")["founded"], not recreate)

    def test_recreated_disk_of_an_initial_voter_never_counts(self):
        """An initial voter's disk that was lost and recreated counts for no majority.

        Otherwise it would acknowledge entries and vote again in terms in which it has
        voted before. It detects this by messages from a leader although it has never
        voted, and then answers nothing.
        """
        cluster = Cluster(3)
        cluster.settle()
        cluster.crash("b")
        cluster.settle()
        cluster.commit_commands(60)
        cluster.wipe("b", recreate=True)
        cluster.run(5)
        cluster.isolated = {next(vm for vm in "ac" if vm != cluster.leader())}
        late = cluster.propose(cluster.leader())
        cluster.run(20)
        self.assertNotIn(late, cluster.accepted)
        self.assertEqual(cluster.status("b")["term"], 0)
        cluster.isolated.clear()
        cluster.settle()
        cluster.check_no_loss()

    def test_cluster_starts_once_all_initial_voters_run(self):
        cluster = Cluster(3)
        cluster.isolated = {"c"}
        cluster.run(10)
        self.assertIsNone(cluster.leader())
        cluster.isolated.clear()
        cluster.settle()

    def test_learner_never_campaigns(self):
        """A wiped VM that has its log back but isn't promoted yet stays a follower.

        The voter set still has its name with the old disk. The leader is down and the
        other voter is partitioned, so no VM may lead.
        """
        cluster = Cluster(3)
        cluster.settle()
        cluster.crash("a")
        cluster.settle()
        learner = cluster.wipe("a")
        cluster.change("add-learner", learner)
        cluster.run(2)
        self.assertEqual(cluster.status("a")["learners"], [learner._asdict()])
        cluster.crash(cluster.leader())
        cluster.isolated = set("bc")
        cluster.run(10)
        self.assertEqual(cluster.status("a")["role"], "follower")

    def lose_b(self, recreate, naive=False):
        cluster = Cluster(3)
        cluster.settle()
        cluster.isolated.add("c")
        cluster.settle()
        cluster.commit_commands(20)
        cluster.crash("b")
        cluster.wipe("b", recreate, naive)
        cluster.isolated = {"a"}
        return cluster

    def test_changes_survive_a_repair_and_a_second_lost_disk(self):
        """Accepted changes survive a lost disk, its repair and a second lost disk.

        Changes continue between the steps while one voter is partitioned and behind.
        The repaired VM counts only once it has the log, and its promotion is itself
        committed by the new majority.
        """
        for count in (3, 5):
            with self.subTest(voters=count):
                cluster = Cluster(count)
                cluster.settle()
                cluster.commit_commands(30)
                first, second, *others = "abcde"[:count]
                cluster.crash(first)
                cluster.settle()
                if count == 5:
                    cluster.isolated.add(others[0])
                    cluster.settle()
                cluster.commit_commands(90)
                for name in repair(cluster, first):
                    self.assertIn(name, cluster.accepted)
                cluster.crash(second)
                cluster.isolated.clear()
                cluster.settle()
                cluster.check_no_loss()
                for name in repair(cluster, second):
                    self.assertIn(name, cluster.accepted)
                cluster.settle()
                cluster.check_no_loss()
                self.assertEqual(len(cluster.status(cluster.leader())["voters"]), count)

    def test_second_voter_change_in_flight_is_rejected(self):
        """Of two concurrent voter changes the second is rejected, as certain.

        Two sets that differ by two voters can have majorities without overlap.
        """
        cluster = Cluster(3)
        cluster.settle()
        learners = [ev.Voter(vm, f"disk-{vm}", f"{vm}:1") for vm in "xy"]
        first, second = (cluster.change("add-learner", v) for v in learners)
        cluster.run(1)
        self.assertIn(first, cluster.accepted)
        self.assertTrue(cluster.rejected[second])
        self.assertIn("another change", cluster.reasons[second])

    def test_change_that_leaves_no_live_majority_is_rejected(self):
        """A repair in the wrong order doesn't cause an outage.

        With one of three voters dead, removing a live one would leave one live voter
        of two. A learner that never answered must not become a voter.
        """
        cluster = Cluster(3)
        cluster.settle()
        absent = ev.Voter("x", "disk-x", "x:1")
        cluster.change("add-learner", absent)
        cluster.commit_commands(70)
        refused = cluster.change("promote", absent)
        self.assertTrue(cluster.rejected[refused])
        self.assertIn("the whole log", cluster.reasons[refused])
        cluster.crash(next(vm for vm in "abc" if vm != cluster.leader()))
        cluster.settle()
        alive = next(
            vm
            for vm, member in cluster.members.items()
            if member.node is not None and vm != cluster.leader()
        )
        self.assertTrue(
            cluster.rejected[cluster.change("remove", old_voter(cluster, alive))]
        )
        cluster.settle()

    def test_learner_that_never_replied_is_not_promoted(self):
        """A learner with a mistyped disk id is not promoted right after it was added.

        An operator replaces a lost disk and mistypes the id of the new one. That disk
        doesn't exist, so as a voter it would never answer: with two of four voters
        missing, no change could be committed any more.
        """
        cluster = Cluster(3)
        cluster.settle()
        cluster.crash(next(vm for vm in "abc" if vm != cluster.leader()))
        cluster.settle()
        absent = ev.Voter("x", "disk-x", "x:1")
        added = cluster.change("add-learner", absent)
        cluster.run(0.1)
        self.assertIn(added, cluster.accepted)
        promoted = cluster.change("promote", absent)
        cluster.run(0.1)
        self.assertTrue(cluster.rejected.get(promoted))
        cluster.settle()

    def test_removed_leader_steps_down(self):
        cluster = Cluster(3)
        leader = cluster.settle()
        name = cluster.change("remove", old_voter(cluster, leader))
        cluster.run(3)
        self.assertIn(name, cluster.accepted)
        self.assertNotIn(cluster.leader(), (None, leader))
