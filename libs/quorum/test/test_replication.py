"""What one leader of five makes of single answers, given by hand."""

import random
import unittest

from builders import TIMING, make_voters

from cherryrudder.quorum import events as ev
from cherryrudder.quorum.core import handle, open_node
from cherryrudder.quorum.saved_state import Identity, SavedState


class Hand:
    """A core whose peers are played by the test."""

    def __init__(self, entries=()):
        self.voters = make_voters(5)
        identity = Identity("x", "a", "disk-a", "10.0.0.0:1", self.voters)
        saved = SavedState(identity, 2, "disk-a", tuple(entries))
        self.node = open_node(self.voters[0], saved, TIMING, random.Random(1), 0.0)
        self.now_s = 1.0

    def feed(self, event):
        """Feed an event, and say of each write at once that it is done."""
        effects = handle(self.node, event, self.now_s)
        for effect in list(effects):
            if isinstance(effect, ev.Persist):
                effects += self.feed(ev.Persisted(effect.write_id))
        return effects

    def answer(self, vm, kind, **fields):
        """Feed an answer of a voter in the present term."""
        message = {"type": kind, "cluster": "x", "term": self.node.term, "vm": vm}
        message |= {"disk_id": f"disk-{vm}", "address": "", "to": "disk-a"}
        return self.feed(ev.Received(vm, message | fields))

    def acknowledge(self, vm, synced, read_round=0, **fields):
        place = {"prev_index": 0, "conflict_index": 0, "conflict_term": 0}
        place |= {"ok": True, "synced": synced, "round": read_round, "sent_s": 1.0}
        return self.answer(vm, "append-reply", **(place | fields))

    def hear(self, vm, term, prev_index, prev_term, commit=0):
        fields = {"term": term, "prev_index": prev_index, "prev_term": prev_term}
        fields |= {"entries": [], "commit": commit, "round": 1, "sent_s": 1.0}
        return self.answer(vm, "append", **fields)

    def lead(self):
        self.feed(ev.Tick())
        for vm in "bc":
            self.answer(vm, "pre-vote-reply", granted=True, term=self.node.term + 1)
        for vm in "bc":
            self.answer(vm, "vote-reply", granted=True)
        return self


def kinds(effects):
    return [type(effect).__name__ for effect in effects]


def old_entries(*terms):
    return [ev.Entry(n, term, "command", f"p{n}") for n, term in enumerate(terms, 1)]


class OfficeTest(unittest.TestCase):
    def test_vote_of_another_disk_under_a_voters_name_does_not_count(self):
        """A VM that came back with another disk elects nobody."""
        hand = Hand(old_entries(1))
        hand.feed(ev.Tick())
        for disk_id in ("disk-new", "disk-b"):
            self.assertEqual(hand.node.role, "pre-candidate")
            for vm in "bc":
                wrong = disk_id if vm == "b" else "disk-c"
                term = hand.node.term + 1
                fields = {"granted": True, "term": term, "disk_id": wrong}
                hand.answer(vm, "pre-vote-reply", **fields)
        self.assertEqual(hand.node.role, "candidate")
        for disk_id in ("disk-new", "disk-c"):
            self.assertEqual(hand.node.role, "candidate")
            hand.answer("b", "vote-reply", granted=True)
            hand.answer("c", "vote-reply", granted=True, disk_id=disk_id)
        self.assertEqual(hand.node.role, "leader")

    def test_answer_counts_from_when_its_question_was_sent(self):
        """A leader whose answers come late doesn't stay in office on old ones."""
        hand = Hand(old_entries(1)).lead()
        hand.now_s += TIMING.election_min_s * 0.9
        for vm in "bcde":
            hand.acknowledge(vm, 0)
        self.assertEqual(hand.node.role, "leader")
        hand.now_s += TIMING.election_min_s * 0.2
        hand.feed(ev.Tick())
        self.assertEqual(hand.node.role, "follower")


class InstallTest(unittest.TestCase):
    def test_tail_stays_only_if_it_follows_the_snapshot(self):
        """Entries of a leader that lost don't survive behind a newer snapshot.

        Kept, they would give this voter a log that no leader ever had, with an old
        term at its end: it would help to elect a leader without accepted entries.
        """
        for term, last_index in ((1, 8), (2, 5)):
            hand = Hand(old_entries(*[1] * 8))
            fields = {"index": 5, "index_term": term, "data": "[]", "round": 1}
            fields |= {"voter_set": ["x", hand.voters, []], "sent_s": 0.0}
            effects = hand.answer("b", "install-snapshot", **fields)
            self.assertIn(ev.RestoreSnapshot(5, "[]"), effects)
            self.assertEqual(hand.node.log.last_index, last_index)


class FollowerTest(unittest.TestCase):
    def test_heartbeat_vouches_for_no_entry_that_was_not_compared(self):
        """A follower's entries of another leader are neither acknowledged nor applied.

        They agreed with the leader before, but not with this one, which has only sent
        a heartbeat so far. Acknowledged, they would count for entries that this
        leader has at the same indexes, and an accepted one would be on too few disks.
        """
        hand = Hand(old_entries(2, 2, 2))
        for vm, term, place, synced in (("b", 3, (3, 2), 3), ("c", 4, (0, 0), 0)):
            effects = hand.hear(vm, term, *place, commit=3 - synced)
            replies = [e.message["synced"] for e in effects if "Send" in kinds([e])]
            self.assertEqual(set(replies), {synced})
            self.assertNotIn("Apply", kinds(effects))


class LostBatchTest(unittest.TestCase):
    """Guards against voters that lack entries for long after all lost power."""

    def batches_to(self, vm, effects):
        """Return the batches of entries among effects that go to a voter."""
        sends = [e.message for e in effects if isinstance(e, ev.Send)]
        appends = [m for m in sends if m["type"] == "append" and m["entries"]]
        return [m for m in appends if m["to"] == f"disk-{vm}"]

    def test_a_voter_that_starts_after_the_leader_gets_them_with_its_first_answer(self):
        hand = Hand(old_entries(1, 1)).lead()
        for vm in "bc":
            hand.acknowledge(vm, 3, read_round=1)
        hand.now_s += TIMING.heartbeat_s * 1.1
        effects = hand.feed(ev.Tick())
        self.assertEqual(self.batches_to("d", effects), [])
        answered = hand.acknowledge("d", 0, read_round=2, sent_s=hand.now_s)
        self.assertEqual(len(self.batches_to("d", answered)), 1)

    def test_one_whose_disk_is_slow_gets_them_twice_at_the_most(self):
        hand = Hand(old_entries(1, 1)).lead()
        sent = []
        for number in range(3):
            hand.now_s += TIMING.heartbeat_s * 1.1
            hand.feed(ev.Tick())
            answered = hand.acknowledge("d", 0, number + 2, sent_s=hand.now_s)
            sent += self.batches_to("d", answered)
        self.assertEqual(len(sent), 1)


class CommitTest(unittest.TestCase):
    def test_entry_of_an_earlier_term_is_not_committed_by_copies_alone(self):
        """A change that is answered as accepted can't be overwritten afterwards.

        Three of five have an entry of term 2, but another voter may hold one of a
        later term at its index and still win an election. Only an entry of the
        leader's own term on a majority rules that out.
        """
        hand = Hand(old_entries(1, 2)).lead()
        for vm in "bc":
            self.assertNotIn("Apply", kinds(hand.acknowledge(vm, 2)))
        hand.acknowledge("b", 3)
        self.assertIn("Apply", kinds(hand.acknowledge("c", 3)))

    def test_new_leader_reads_only_after_an_entry_of_its_own_term(self):
        """A read just after an election sees what the last leader had accepted.

        The new leader has those entries but can't tell yet that they are committed;
        a confirmed round of heartbeats alone would let it read too old an index.
        """
        hand = Hand(old_entries(1, 2)).lead()
        effects = hand.feed(ev.ReadIndex("r"))
        for vm in "bcd":
            effects += hand.acknowledge(vm, 0, read_round=9)
        self.assertNotIn("ReadReady", kinds(effects))
        hand.acknowledge("b", 3, read_round=9)
        effects = hand.acknowledge("c", 3, read_round=9)
        self.assertIn(ev.ReadReady("r", 3), effects)

    def test_answer_of_another_disk_under_a_voters_name_does_not_count(self):
        """A VM that came back with another disk adds nothing to a majority."""
        hand = Hand(old_entries(1)).lead()
        hand.acknowledge("b", 2)
        wrong = {"disk_id": "disk-new"}, {"disk_id": "disk-d"}, {"term": 2}
        for fields in wrong:
            effects = hand.acknowledge("c", 2, **fields)
            self.assertNotIn("Apply", kinds(effects))
        self.assertIn("Apply", kinds(hand.acknowledge("c", 2)))

    def test_conflicts_are_skipped_by_whole_terms(self):
        """A voter with hundreds of entries of a lost leader is caught up at once.

        One step back for each entry would take hundreds of round trips. An answer to
        an append that was superseded is ignored.
        """
        hand = Hand(old_entries(*[1] * 10, *[2] * 300)).lead()
        conflict = {"ok": False, "prev_index": 310}
        conflict |= {"conflict_index": 5, "conflict_term": 1}
        for place in (310, 300):
            conflict["prev_index"] = place
            hand.acknowledge("b", 0, **conflict)
            self.assertEqual(hand.node.peers["disk-b"].next_index, 11)

    def test_batches_are_limited(self):
        """Catching up doesn't hold up heartbeats behind one long message."""
        hand = Hand(old_entries(*[1] * 200)).lead()
        conflict = {"ok": False, "prev_index": 200, "conflict_index": 1}
        sends = hand.acknowledge("b", 0, **conflict)
        sizes = [len(s.message["entries"]) for s in sends if "Send" in kinds([s])]
        self.assertEqual(max(sizes), 64)


if __name__ == "__main__":
    unittest.main()
