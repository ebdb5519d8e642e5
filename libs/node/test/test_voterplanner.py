import random
import unittest

from builders import a_voter
from hypothesis import given, settings, strategies as st

from cherryrudder.node import voterplanner
from cherryrudder.node.voterplanner import Member
from cherryrudder.quorum import voters
from cherryrudder.quorum.saved_state import VoterSet

A, B, C = (a_voter(vm) for vm in "abc")
NEW_C = a_voter("c", "d2")
D = a_voter("d")


def members(*names, last_seen_s=100.0, has_disk=True):
    """Return processes whose last heartbeats arrived at a time."""
    return [Member(voter, has_disk, last_seen_s) for voter in names]


def decide(voter_set, known, now_s=100.0, target=3):
    """Return the next change as a pair, or None."""
    change = voterplanner.next_change(voter_set, known, target, now_s)
    return change and (change.action, change.voter)


class RepairTest(unittest.TestCase):
    """Guards against a lost voter that isn't replaced.

    A control VM loses its disk, or another machine takes its place. Commits still
    succeed, so operators wouldn't notice and repair the voter set by hand. The next
    loss would then stop all commits, or lose committed entries.
    """

    def test_live_voters_need_no_change(self):
        self.assertIsNone(decide(VoterSet("x", (A, B, C)), members(A, B, C)))

    def test_a_wiped_disk_is_removed_before_its_successor_joins(self):
        voter_set = VoterSet("x", (A, B, C))
        old = members(C, last_seen_s=90.0)
        known = [*members(A, B, NEW_C), *old]
        self.assertEqual(decide(voter_set, known), (voters.REMOVE, C))
        voter_set = VoterSet("x", (A, B))
        self.assertEqual(decide(voter_set, known), (voters.ADD_LEARNER, NEW_C))
        voter_set = VoterSet("x", (A, B), (NEW_C,))
        self.assertEqual(decide(voter_set, known), (voters.PROMOTE, NEW_C))

    def test_a_standby_replaces_a_silent_voter(self):
        known = [*members(A, B, D), *members(C, last_seen_s=97.0)]
        voter_set = VoterSet("x", (A, B, C), (D,))
        self.assertEqual(decide(voter_set, known), (voters.PROMOTE, D))
        voter_set = VoterSet("x", (A, B, C, D))
        self.assertEqual(decide(voter_set, known), (voters.REMOVE, C))

    def test_a_short_silence_changes_nothing(self):
        known = [*members(A, B, D), *members(C, last_seen_s=98.0)]
        self.assertIsNone(decide(VoterSet("x", (A, B, C), (D,)), known))

    def test_a_learner_without_a_disk_is_never_promoted(self):
        known = [*members(A, B), *members(D, has_disk=False)]
        voter_set = VoterSet("x", (A, B), (D,))
        self.assertIsNone(decide(voter_set, known))

    def test_a_silent_voter_stays_without_a_standby(self):
        known = [*members(A, B), *members(C, last_seen_s=50.0)]
        self.assertIsNone(decide(VoterSet("x", (A, B, C)), known))

    def test_learners_are_promoted_up_to_the_target(self):
        known = members(A, B, C, D)
        voter_set = VoterSet("x", (A, B, C), (D,))
        self.assertEqual(decide(voter_set, known, target=5), (voters.PROMOTE, D))

    def test_a_lost_learner_is_removed(self):
        known = [*members(A, B, C), *members(D, last_seen_s=70.0)]
        voter_set = VoterSet("x", (A, B, C), (D,))
        self.assertEqual(decide(voter_set, known), (voters.REMOVE, D))


class AnyLossTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32), st.integers(1, 2))
    def test_the_set_settles_on_live_disks(self, seed, tolerated):
        """Machines join, lose their disks and leave; then nothing more happens.

        Within a bounded number of changes, all voters have live disks, and there are as
        many as the target asks for, or as there are disks.
        """
        rng = random.Random(seed)
        target = voterplanner.target_voters(tolerated)
        disks = [a_voter(vm, "d0") for vm in "abcdefg"[: target + rng.randrange(3)]]
        voter_set = VoterSet("x", tuple(disks[:3]))
        for number in range(rng.randrange(tolerated + 1)):
            place = rng.randrange(len(disks))
            disks[place] = a_voter(disks[place].vm, f"d{number + 1}")
        known = members(*disks) + [
            Member(v, True, 0.0) for v in voter_set.voters if v not in disks
        ]
        for _ in range(40):
            change = voterplanner.next_change(voter_set, known, target, 100.0)
            if change is None:
                break
            voter_set = voters.change(voter_set, change.action, change.voter).ok
        self.assertIsNone(voterplanner.next_change(voter_set, known, target, 100.0))
        self.assertEqual(len(voter_set.voters), min(target, len(disks)))
        self.assertLessEqual(set(voter_set.voters), set(disks))
