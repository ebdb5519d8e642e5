"""Decide on the next change of the replicated log's voter set, without an operator.

Failure: a control VM comes back with an empty disk, or another one takes its place. The
lost voter still counts for the majority. With three voters, the next loss would stop
all commits, and a second lost disk would lose committed entries. Therefore a new disk
follows the log as a learner and is promoted once it has the log, and the lost disk is
removed from the set.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cherryrudder.quorum import voters
from cherryrudder.quorum.events import Voter
from cherryrudder.quorum.saved_state import VoterSet

# A voter that was silent for this long is replaced by a standby. It is five heartbeats;
# a planned restart takes about a second.
DEAD_AFTER_S = 2.5
# A learner costs only messages, so it is kept through longer network failures.
REMOVE_LEARNER_AFTER_S = 20.0


class Member(NamedTuple):
    """A control process, and when its last heartbeat arrived."""

    voter: Voter
    has_disk: bool
    last_seen_s: float


class Change(NamedTuple):
    """One change of the voter set."""

    action: str
    voter: Voter


def target_voters(tolerated_losses: int) -> int:
    """Return the number of voters that keep a majority after this many losses."""
    return 2 * tolerated_losses + 1


def next_change(
    voter_set: VoterSet, members: Iterable[Member], target: int, now_s: float
) -> Change | None:
    """Return the change to make now, None if none; unsafe ones are refused later.

    The log's core refuses a change that isn't safe at the moment.
    """
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
        is_live = now_s - member.last_seen_s < DEAD_AFTER_S
        if member.voter.disk_id not in present and is_live:
            return Change(voters.ADD_LEARNER, member.voter)
    return None


def _has_new_disk(voter, known):
    """Return whether the VM has reported another disk since this one's last report."""
    old = known.get(voter.disk_id)
    last_seen_s = old.last_seen_s if old else 0.0
    return any(
        member.voter.vm == voter.vm
        and member.voter.disk_id != voter.disk_id
        and member.last_seen_s > last_seen_s
        for member in known.values()
    )


def _is_silent(voter, known, limit_s, now_s):
    member = known.get(voter.disk_id)
    return member is None or now_s - member.last_seen_s > limit_s


def _may_vote(voter, known, now_s):
    member = known.get(voter.disk_id)
    if member is None or not member.has_disk:
        return False
    return now_s - member.last_seen_s < DEAD_AFTER_S
