"""Which change the voter set of the replicated log needs next, with no operator.

Failure: a control VM comes back with an empty disk, or another one takes its place. The
voter that is gone still counts; with three voters the next loss stops every change, and
a second lost disk loses what was accepted. So a new disk follows the log as a learner,
is promoted once it has the log, and the disk that is gone leaves the set.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cherryrudder.quorum import voters
from cherryrudder.quorum.events import Voter
from cherryrudder.quorum.saved import VoterSet

# A voter that was not heard for this long makes room for a standby. Five beats; a
# planned restart takes about a second and is over before.
DEAD_AFTER_S = 2.5
# A learner costs nothing but messages, so it is kept through longer cuts.
REMOVE_LEARNER_AFTER_S = 20.0


class Member(NamedTuple):
    """A control process that tells of itself."""

    voter: Voter
    has_disk: bool
    heard_s: float


class Change(NamedTuple):
    """One change of the voter set."""

    action: str
    voter: Voter


def target_voters(tolerated_losses: int) -> int:
    """Return how many voters keep a majority after so many losses."""
    return 2 * tolerated_losses + 1


def next_change(
    voter_set: VoterSet, members: Iterable[Member], target: int, now_s: float
) -> Change | None:
    """Return the change to make now; the log's core refuses it where it isn't safe."""
    known = {member.voter.disk_id: member for member in members}
    lost = [v for v in voter_set.voters if _has_new_disk(v, known)]
    dead = [v for v in voter_set.voters if _is_silent(v, known, DEAD_AFTER_S, now_s)]
    if lost and len(voter_set.voters) > 1:
        return Change(voters.REMOVE, lost[0])
    if dead and len(voter_set.voters) > target:
        return Change(voters.REMOVE, dead[0])
    if len(voter_set.voters) < target or dead:
        ready = [v for v in voter_set.learners if _may_vote(v, known, now_s)]
        if ready:
            return Change(voters.PROMOTE, ready[0])
    return _change_of_learners(voter_set, known, now_s)


def _change_of_learners(voter_set, known, now_s):
    for learner in voter_set.learners:
        is_gone = _has_new_disk(learner, known)
        if is_gone or _is_silent(learner, known, REMOVE_LEARNER_AFTER_S, now_s):
            return Change(voters.REMOVE, learner)
    present = {member.disk_id for member in voters.members(voter_set)}
    for member in known.values():
        is_heard = now_s - member.heard_s < DEAD_AFTER_S
        if member.voter.disk_id not in present and is_heard:
            return Change(voters.ADD_LEARNER, member.voter)
    return None


def _has_new_disk(voter, known):
    """Tell whether the VM has told of another disk since this one was last heard."""
    old = known.get(voter.disk_id)
    heard_s = old.heard_s if old else 0.0
    return any(
        member.voter.vm == voter.vm
        and member.voter.disk_id != voter.disk_id
        and member.heard_s > heard_s
        for member in known.values()
    )


def _is_silent(voter, known, limit_s, now_s):
    member = known.get(voter.disk_id)
    return member is None or now_s - member.heard_s > limit_s


def _may_vote(voter, known, now_s):
    member = known.get(voter.disk_id)
    if member is None or not member.has_disk:
        return False
    return now_s - member.heard_s < DEAD_AFTER_S
