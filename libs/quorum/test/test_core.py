"""Focused tests of failures on a few voters."""

import unittest

from builders import TIMING, Cluster, naive_read

from cherryrudder.quorum import events as ev


class ElectionTest(unittest.TestCase):
    def test_one_voter_serves_alone(self):
        cluster = Cluster(1)
        cluster.settle()
        read = cluster.read("a")
        self.assertEqual(cluster.ready[read], cluster.accepted["p1"])

    def test_voter_that_misses_only_the_leader_does_not_unseat_it(self):
        """Callers see no pause when one link breaks, nor when it is mended.

        A follower hears the other one but not the leader, and has all entries. The
        other one still hears the leader and refuses the pre-vote, so no term rises.
        """
        cluster = Cluster(3)
        leader = cluster.settle()
        term = cluster.status(leader)["term"]
        follower = next(vm for vm in "abc" if vm != leader)
        cluster.cut_links.add(frozenset((leader, follower)))
        cluster.run(20)
        cluster.cut_links.clear()
        cluster.run(2)
        self.assertEqual(cluster.leader(), leader)
        self.assertEqual(cluster.status(leader)["term"], term)

    def test_leader_that_stops_hands_over_at_once(self):
        """A planned stop costs callers a round trip, not an election time.

        The leader asks its best follower to campaign and rejects what comes later;
        that one leads before any election wait could have ended.
        """
        cluster = Cluster(3)
        leader = cluster.settle()
        cluster.feed(leader, ev.TransferLeadership())
        cluster.run(TIMING.election_min_s / 3)
        self.assertNotIn(cluster.leader(), (None, leader))
        late = cluster.propose(leader)
        self.assertTrue(cluster.rejected[late])

    def test_voters_that_lost_power_together_have_a_leader_soon(self):
        """Callers wait for the first leader after a loss of power.

        All voters stop and start again; none has anybody to wait for. With the usual
        election time before the first campaign the leader was there 0.3 s later. A
        voter that starts again beside a leader must still not unseat it.
        """
        timing = TIMING._replace(first_min_s=0.06, first_max_s=0.15)
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
        """A message that is not for this disk, or is broken, changes nothing.

        A VM with a new disk still gets what was meant for its old one, and a wrong
        address in some settings brings another cluster's messages with high terms.
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
    def test_isolated_leader_serves_no_reads_and_accepts_nothing(self):
        """An operator at a leader that is cut off reads nothing stale.

        The leader is cut off; the others elect another and accept a change. Before
        the old leader notices, a read comes: answered from its own state (the naive
        way) it would miss the change. It waits for a round of heartbeats instead,
        and is rejected when check-quorum makes the leader step down.
        """
        cluster = Cluster(3)
        old = cluster.settle()
        cluster.cut.add(old)
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

    def test_frozen_and_thawed_leader_serves_nothing_old(self):
        """A read at a leader that was frozen doesn't miss what came meanwhile.

        The leader is frozen with answers to its heartbeats in its sockets; another is
        elected and accepts changes. Thawed, it gets a read and a change before
        anything else, then the old answers. Those count from when their questions
        were sent, so it steps down first.
        """
        cluster = Cluster(3)
        old = cluster.settle()
        cluster.now_s += TIMING.heartbeat_s * 2
        cluster.feed(old, ev.Tick())
        cluster.deliver()
        cluster.frozen.add(old)
        cluster.settle()
        cluster.fill(30)
        cluster.frozen.clear()
        self.assertLess(
            naive_read(cluster.members[old].node), max(cluster.accepted.values())
        )
        read, change = cluster.read(old), cluster.propose(old)
        cluster.run(1)
        self.assertTrue(cluster.rejected[read])
        self.assertTrue(cluster.rejected[change])
        cluster.check()

    def test_no_majority_refuses(self):
        """Two of three disks are lost: the last VM says no and stays alone.

        It must not serve reads, accept changes or make a cluster of its own, nor may
        the two wiped VMs, which have no voter set at all.
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

    def test_rejoins_after_hundreds_of_changes(self):
        """A voter is away for hundreds of changes and undoes none of them.

        It has entries of its own that were never committed. It comes back once within
        the leader's log, and once so late that only a snapshot helps.
        """
        for count, by_snapshot in ((30, False), (500, True)):
            with self.subTest(count=count):
                cluster = Cluster(3)
                old = cluster.settle()
                cluster.cut.add(old)
                lost = [cluster.propose(old) for _ in range(70)]
                cluster.settle()
                cluster.fill(count)
                before = len(cluster.installed)
                cluster.cut.clear()
                cluster.run(2)
                state = cluster.members[old].state
                self.assertEqual(state, cluster.members[cluster.leader()].state)
                self.assertFalse(set(lost) & {payload for _, payload in state})
                self.assertEqual(len(cluster.installed) > before, by_snapshot)


class WriteTest(unittest.TestCase):
    def test_entries_that_wait_share_one_write(self):
        """Changes that come while the disk is busy cost one fsync together.

        Otherwise each caller would wait for the fsyncs of all before it.
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

    def test_copies_count_only_once_synced(self):
        """A change is neither accepted nor shown on one synced copy of three.

        One follower is down. Either the leader or the other follower has the entry on
        its way to a busy disk, while heartbeats go on and are answered. Lost then, the
        entry would be on no disk of the next majority.
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

    def test_vote_is_given_only_once_synced(self):
        """A voter that loses power doesn't vote twice in one term.

        Two candidates ask in turn; power is cut while the first vote is on its way to
        the disk. Had the first answer been sent, two leaders could stand in the term.
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
