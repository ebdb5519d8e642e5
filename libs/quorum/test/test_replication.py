"""Tests of one voter of five whose peers' messages are scripted."""

import random
import unittest

from builders import TIMING, make_voters

from cherryrudder.quorum import events as ev
from cherryrudder.quorum.core import handle, open_node
from cherryrudder.quorum.saved_state import Identity, SavedState


class Harness:
    """A core whose peers are simulated by the test."""

    def __init__(self, entries=()):
        self.voters = make_voters(5)
        identity = Identity("x", "a", "disk-a", "10.0.0.0:1", self.voters)
        saved = SavedState(identity, 2, "disk-a", tuple(entries))
        self.node = open_node(self.voters[0], saved, TIMING, random.Random(1), 0.0)
        self.now_s = 1.0

    def feed(self, event):
        """Pass in an event, and complete each write at once."""
        effects = handle(self.node, event, self.now_s)
        for effect in list(effects):
            if isinstance(effect, ev.Persist):
                effects += self.feed(ev.Persisted(effect.write_id))
        return effects

    def answer(self, vm, kind, **fields):
        """Pass in a message from a voter, by default in the current term."""
        message = {"type": kind, "cluster": "x", "term": self.node.term, "vm": vm}
        message |= {"disk_id": f"disk-{vm}", "address": "", "to": "disk-a"}
        return self.feed(ev.Received(vm, message | fields))

    def acknowledge(self, vm, synced, read_round=0, **fields):
        place = {"prev_index": 0, "conflict_index": 0, "conflict_term": 0}
        place |= {"ok": True, "synced": synced, "round": read_round, "sent_s": 1.0}
        return self.answer(vm, "append-reply", **(place | fields))

    def receive_append(self, vm, term, prev_index, prev_term, commit=0):
        fields = {"term": term, "prev_index": prev_index, "prev_term": prev_term}
        fields |= {"entries": [], "commit": commit, "round": 1, "sent_s": 1.0}
        return self.answer(vm, "append", **fields)

    def elect(self):
        self.feed(ev.Tick())
        for vm in "bc":
            self.answer(vm, "pre-vote-reply", granted=True, term=self.node.term + 1)
        for vm in "bc":
            self.answer(vm, "vote-reply", granted=True)
        return self


def kinds(effects):
    return [type(effect).__name__ for effect in effects]


def make_entries(*terms):
    return [ev.Entry(n, term, "command", f"p{n}") for n, term in enumerate(terms, 1)]


class LeadershipTest(unittest.TestCase):
    def test_vote_from_another_disk_of_a_voter_does_not_count(self):
        """Votes from a VM that returned with another disk don't count."""
        harness = Harness(make_entries(1))
        harness.feed(ev.Tick())
        for disk_id in ("disk-new", "disk-b"):
            self.assertEqual(harness.node.role, "pre-candidate")
            for vm in "bc":
                wrong = disk_id if vm == "b" else "disk-c"
                term = harness.node.term + 1
                fields = {"granted": True, "term": term, "disk_id": wrong}
                harness.answer(vm, "pre-vote-reply", **fields)
        self.assertEqual(harness.node.role, "candidate")
        for disk_id in ("disk-new", "disk-c"):
            self.assertEqual(harness.node.role, "candidate")
            harness.answer("b", "vote-reply", granted=True)
            harness.answer("c", "vote-reply", granted=True, disk_id=disk_id)
        self.assertEqual(harness.node.role, "leader")

    def test_reply_counts_from_the_send_time_of_its_request(self):
        """Late replies to old requests don't keep a leader in its role."""
        harness = Harness(make_entries(1)).elect()
        harness.now_s += TIMING.election_min_s * 0.9
        for vm in "bcde":
            harness.acknowledge(vm, 0)
        self.assertEqual(harness.node.role, "leader")
        harness.now_s += TIMING.election_min_s * 0.2
        harness.feed(ev.Tick())
        self.assertEqual(harness.node.role, "follower")


class InstallTest(unittest.TestCase):
    def test_log_tail_is_kept_only_if_it_follows_the_snapshot(self):
        """Entries of a deposed leader are not kept after a newer snapshot.

        Otherwise this voter would have a log that no leader ever had, with an old term
        at its end, and could help to elect a leader without accepted entries.
        """
        for term, last_index in ((1, 8), (2, 5)):
            harness = Harness(make_entries(*[1] * 8))
            fields = {"index": 5, "index_term": term, "data": "[]", "round": 1}
            fields |= {"voter_set": ["x", harness.voters, []], "sent_s": 0.0}
            effects = harness.answer("b", "install-snapshot", **fields)
            self.assertIn(ev.RestoreSnapshot(5, "[]"), effects)
            self.assertEqual(harness.node.log.last_index, last_index)


class FollowerTest(unittest.TestCase):
    def test_heartbeat_acknowledges_only_compared_entries(self):
        """A follower's entries from another leader are not acknowledged or applied.

        They matched the previous leader's log, but the current leader has only sent a
        heartbeat. If they were acknowledged, they would count as copies of the current
        leader's entries at the same indexes, and an accepted entry would be on too few
        disks.
        """
        harness = Harness(make_entries(2, 2, 2))
        for vm, term, place, synced in (("b", 3, (3, 2), 3), ("c", 4, (0, 0), 0)):
            effects = harness.receive_append(vm, term, *place, commit=3 - synced)
            replies = [e.message["synced"] for e in effects if "Send" in kinds([e])]
            self.assertEqual(set(replies), {synced})
            self.assertNotIn("Apply", kinds(effects))


class LostBatchTest(unittest.TestCase):
    """Guards against voters that lack entries for long after a common power loss."""

    def batches_to(self, vm, effects):
        """Return the appends with entries to a voter among the effects."""
        sends = [e.message for e in effects if isinstance(e, ev.Send)]
        appends = [m for m in sends if m["type"] == "append" and m["entries"]]
        return [m for m in appends if m["to"] == f"disk-{vm}"]

    def test_lost_batch_is_resent_after_the_first_reply(self):
        harness = Harness(make_entries(1, 1)).elect()
        for vm in "bc":
            harness.acknowledge(vm, 3, read_round=1)
        harness.now_s += TIMING.heartbeat_s * 1.1
        effects = harness.feed(ev.Tick())
        self.assertEqual(self.batches_to("d", effects), [])
        answered = harness.acknowledge("d", 0, read_round=2, sent_s=harness.now_s)
        self.assertEqual(len(self.batches_to("d", answered)), 1)

    def test_voter_with_a_slow_disk_gets_a_batch_at_most_twice(self):
        harness = Harness(make_entries(1, 1)).elect()
        sent = []
        for number in range(3):
            harness.now_s += TIMING.heartbeat_s * 1.1
            harness.feed(ev.Tick())
            answered = harness.acknowledge("d", 0, number + 2, sent_s=harness.now_s)
            sent += self.batches_to("d", answered)
        self.assertEqual(len(sent), 1)


class CommitTest(unittest.TestCase):
    def test_entry_of_an_earlier_term_is_not_committed_by_copies_alone(self):
        """An accepted change can't be overwritten later.

        Three of five voters have an entry of term 2, but another voter may have one of
        a later term at the same index and still win an election. Only an entry of the
        leader's own term on a majority prevents that.
        """
        harness = Harness(make_entries(1, 2)).elect()
        for vm in "bc":
            self.assertNotIn("Apply", kinds(harness.acknowledge(vm, 2)))
        harness.acknowledge("b", 3)
        self.assertIn("Apply", kinds(harness.acknowledge("c", 3)))

    def test_new_leader_reads_only_after_an_entry_of_its_own_term(self):
        """A read just after an election sees all changes the last leader accepted.

        The new leader has those entries but can't determine yet whether they are
        committed; after a heartbeat round alone it would read at too low an index.
        """
        harness = Harness(make_entries(1, 2)).elect()
        effects = harness.feed(ev.ReadIndex("r"))
        for vm in "bcd":
            effects += harness.acknowledge(vm, 0, read_round=9)
        self.assertNotIn("ReadReady", kinds(effects))
        harness.acknowledge("b", 3, read_round=9)
        effects = harness.acknowledge("c", 3, read_round=9)
        self.assertIn(ev.ReadReady("r", 3), effects)

    def test_reply_from_another_disk_of_a_voter_does_not_count(self):
        """Replies from a VM that returned with another disk don't count."""
        harness = Harness(make_entries(1)).elect()
        harness.acknowledge("b", 2)
        wrong = {"disk_id": "disk-new"}, {"disk_id": "disk-d"}, {"term": 2}
        for fields in wrong:
            effects = harness.acknowledge("c", 2, **fields)
            self.assertNotIn("Apply", kinds(effects))
        self.assertIn("Apply", kinds(harness.acknowledge("c", 2)))

    def test_conflicts_are_skipped_by_whole_terms(self):
        """A voter with hundreds of entries of a deposed leader catches up at once.

        Stepping back one entry at a time would take hundreds of round trips. A reply
        to an append that was superseded is ignored.
        """
        harness = Harness(make_entries(*[1] * 10, *[2] * 300)).elect()
        conflict = {"ok": False, "prev_index": 310}
        conflict |= {"conflict_index": 5, "conflict_term": 1}
        for place in (310, 300):
            conflict["prev_index"] = place
            harness.acknowledge("b", 0, **conflict)
            self.assertEqual(harness.node.peers["disk-b"].next_index, 11)

    def test_batches_are_limited(self):
        """Catching up doesn't delay heartbeats by one long message."""
        harness = Harness(make_entries(*[1] * 200)).elect()
        conflict = {"ok": False, "prev_index": 200, "conflict_index": 1}
        sends = harness.acknowledge("b", 0, **conflict)
        sizes = [len(s.message["entries"]) for s in sends if "Send" in kinds([s])]
        self.assertEqual(max(sizes), 64)


if __name__ == "__main__":
    unittest.main()
