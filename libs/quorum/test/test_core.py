"""Tests of single failures in a small cluster."""

import unittest

from builders import TIMING, Cluster, naive_read

from cherryrudder.quorum import events as ev


class ElectionTest(unittest.TestCase):
    def test_single_voter_commits_and_reads_alone(self):
        cluster = Cluster(1)
        cluster.settle()
        read = cluster.read("a")
        self.assertEqual(cluster.ready[read], cluster.accepted["p1"])

    def test_voter_without_link_to_the_leader_does_not_depose_it(self):
        """A broken link between a follower and the leader causes no election.

        The follower has all entries and still reaches the other one. That one is in
        contact with the leader and refuses the pre-vote, so the term doesn't rise.
        """
        cluster = Cluster(3)
        leader = cluster.settle()
        term = cluster.status(leader)["term"]
        follower = next(vm for vm in "abc" if vm != leader)
        cluster.broken_links.add(frozenset((leader, follower)))
        cluster.run(20)
        cluster.broken_links.clear()
        cluster.run(2)
        self.assertEqual(cluster.leader(), leader)
        self.assertEqual(cluster.status(leader)["term"], term)

    def test_stopping_leader_transfers_leadership_at_once(self):
        """A planned stop delays callers by a round trip, not by an election timeout.

        The leader asks its best follower to campaign and rejects later requests. The
        follower leads before any election timeout could have expired.
        """
        cluster = Cluster(3)
        leader = cluster.settle()
        cluster.feed(leader, ev.TransferLeadership())
        cluster.run(TIMING.election_min_s / 3)
        self.assertNotIn(cluster.leader(), (None, leader))
        late = cluster.propose(leader)
        self.assertTrue(cluster.rejected[late])

    def test_leader_is_elected_soon_after_a_common_power_loss(self):
        """After a power loss of all voters the first election timeout is shorter.

        With the usual timeout the leader was elected 0.3 s later. A voter that
        restarts while there is a leader must still not depose it.
        """
        timing = TIMING._replace(first_election_min_s=0.06, first_election_max_s=0.15)
        cluster = Cluster(3, timing=timing)
        cluster.settle()
        for vm in "abc":
            cluster.crash(vm)
        for vm in "abc":
            cluster.start(vm)
        cluster.run(TIMING.election_min_s - 0.05)
        leader = cluster.leader()
        self.assertIsNotNone(leader)
        term = cluster.status(leader)["term"]
        other = next(vm for vm in "abc" if vm != leader)
        cluster.crash(other)
        cluster.start(other)
        cluster.run(2)
        self.assertEqual(cluster.leader(), leader)
        self.assertEqual(cluster.status(leader)["term"], term)

    def test_message_for_the_old_disk_or_another_cluster_is_ignored(self):
        """A message for another disk or cluster, or a malformed one, has no effect.

        A VM with a new disk still receives messages for its old one, and a wrong
        address in the settings leads to another cluster's messages with high terms.
        """
        cluster = Cluster(3)
        leader = cluster.settle()
        before = cluster.status(leader)
        vote = {"type": "vote", "cluster": "", "term": 99, "vm": "b", "disk_id": "x"}
        vote |= {"address": "", "to": f"disk-{leader}", "last_index": 999}
        vote |= {"last_term": 99, "transfer": True}
        for wrong in ({"to": "disk-old"}, {"cluster": "else"}, {"last_term": "x"}):
            cluster.feed(leader, ev.Received("b", vote | wrong))
        cluster.feed(leader, ev.Received("b", {"type": "what"}))
        self.assertEqual(cluster.status(leader), before)


class IsolationTest(unittest.TestCase):
    def test_isolated_leader_serves_no_reads_and_accepts_no_changes(self):
        """A partitioned leader serves no stale read.

        The others elect another leader and accept a change. A read at the old leader,
        answered from its own state (the naive way), would miss the change. It waits
        for a heartbeat round instead, and is rejected when check-quorum makes the
        leader step down.
        """
        cluster = Cluster(3)
        old = cluster.settle()
        cluster.isolated.add(old)
        early = cluster.read(old)
        uncertain = cluster.propose(old)
        cluster.run(0.1)
        stale = naive_read(cluster.members[old].node)
        new = cluster.settle()
        self.assertNotEqual(new, old)
        self.assertLess(stale, max(cluster.accepted.values()))
        self.assertNotIn(early, cluster.ready)
        self.assertTrue(cluster.rejected[early])
        self.assertFalse(cluster.rejected[uncertain])
        late = cluster.read(old), cluster.propose(old)
        self.assertTrue(all(cluster.rejected[name] for name in late))

    def test_leader_that_was_frozen_serves_no_stale_reads(self):
        """A read at a leader that was frozen doesn't miss changes made meanwhile.

        The leader is frozen with heartbeat replies in its sockets; another is elected
        and accepts changes. When it resumes, it receives a read and a change before
        the old replies. Replies count from when their requests were sent, so it steps
        down first.
        """
        cluster = Cluster(3)
        old = cluster.settle()
        cluster.now_s += TIMING.heartbeat_s * 2
        cluster.feed(old, ev.Tick())
        cluster.deliver()
        cluster.frozen.add(old)
        cluster.settle()
        cluster.commit_commands(30)
        cluster.frozen.clear()
        self.assertLess(
            naive_read(cluster.members[old].node), max(cluster.accepted.values())
        )
        read, change = cluster.read(old), cluster.propose(old)
        cluster.run(1)
        self.assertTrue(cluster.rejected[read])
        self.assertTrue(cluster.rejected[change])
        cluster.check_no_loss()

    def test_requests_are_rejected_without_a_majority(self):
        """After the loss of two of three disks all requests are rejected.

        The remaining VM must not serve reads, accept changes or form a cluster alone,
        nor may the two wiped VMs, which have no voter set.
        """
        cluster = Cluster(3)
        cluster.settle()
        accepted = dict(cluster.accepted)
        for vm in "ab":
            cluster.crash(vm)
            cluster.wipe(vm)
        cluster.run(20)
        self.assertIsNone(cluster.leader())
        for vm in "abc":
            self.assertTrue(cluster.rejected[cluster.propose(vm)])
            self.assertTrue(cluster.rejected[cluster.read(vm)])
        self.assertEqual(cluster.accepted, accepted)

    def test_voter_rejoins_after_hundreds_of_changes(self):
        """A voter that was partitioned for hundreds of changes undoes none of them.

        It has uncommitted entries of its own. It returns once while the leader's log
        still has the entries it lacks, and once when it needs a snapshot.
        """
        for count, by_snapshot in ((30, False), (500, True)):
            with self.subTest(count=count):
                cluster = Cluster(3)
                old = cluster.settle()
                cluster.isolated.add(old)
                lost = [cluster.propose(old) for _ in range(70)]
                cluster.settle()
                cluster.commit_commands(count)
                before = len(cluster.restored)
                cluster.isolated.clear()
                cluster.run(2)
                state = cluster.members[old].state
                self.assertEqual(state, cluster.members[cluster.leader()].state)
                self.assertFalse(set(lost) & {payload for _, payload in state})
                self.assertEqual(len(cluster.restored) > before, by_snapshot)


class WriteTest(unittest.TestCase):
    def test_pending_entries_share_one_write(self):
        """Changes that arrive while the disk is busy share one fsync.

        Otherwise each caller would wait for the fsyncs of all earlier ones.
        """
        cluster = Cluster(1)
        cluster.settle()
        cluster.slow_disks = True
        names = [cluster.propose("a") for _ in range(30)]
        cluster.finish_writes("a")
        self.assertEqual(len(cluster.pending_writes["a"]), 1)
        self.assertNotIn(names[1], cluster.accepted)
        cluster.finish_writes("a")
        self.assertTrue(set(names) <= set(cluster.accepted))
        self.assertEqual(cluster.pending_writes["a"], [])

    def test_entry_counts_only_once_synced(self):
        """A change with one synced copy of three is neither accepted nor applied.

        One follower is down. The leader or the other follower is still writing the
        entry to a busy disk, while heartbeats continue and are answered. After a power
        loss the next majority might have no copy of the entry.
        """
        for busy_leader in (True, False):
            with self.subTest(busy_leader=busy_leader):
                cluster = Cluster(3)
                leader = cluster.settle()
                down, other = (vm for vm in "abc" if vm != leader)
                cluster.crash(down)
                cluster.slow_disks = True
                name = cluster.propose(leader)
                busy, quick = (leader, other) if busy_leader else (other, leader)
                for _ in range(4):
                    cluster.now_s += TIMING.heartbeat_s
                    cluster.feed(leader, ev.Tick())
                    cluster.deliver()
                    cluster.finish_writes(quick)
                shown = [m.state[-1][1] for m in cluster.members.values() if m.node]
                self.assertNotIn(name, [*cluster.accepted, *shown])
                cluster.finish_writes(busy)
                cluster.deliver()
                self.assertIn(name, cluster.accepted)

    def test_vote_is_sent_only_once_synced(self):
        """A voter that loses power doesn't vote twice in one term.

        Two candidates request its vote in turn, and power fails while the first vote
        is being written. If that vote had been sent, the term could have two leaders.
        """
        cluster = Cluster(3)
        cluster.slow_disks = True
        for candidate in "bc":
            vote = {"type": "vote", "cluster": "", "term": 9, "vm": candidate}
            vote |= {"disk_id": f"disk-{candidate}", "address": "", "to": "disk-a"}
            vote |= {"last_index": 0, "last_term": 0, "transfer": False}
            cluster.feed("a", ev.Received(candidate, vote))
            if candidate == "b":
                cluster.crash("a")
                cluster.start("a")
        cluster.finish_writes("a")
        granted = [send.vm for _, send in cluster.network if send.message["granted"]]
        self.assertEqual(granted, ["c"])


if __name__ == "__main__":
    unittest.main()
