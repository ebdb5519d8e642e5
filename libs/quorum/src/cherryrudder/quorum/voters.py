"""The voter set: who counts towards a majority, and one change at a time to it.

A voter is a VM together with its disk. A VM that comes back with an empty or another
disk has forgotten its votes and its part of the log; if its name alone counted, it
could vote twice in one term or help to elect a leader without accepted entries, and
two majorities would disagree. So both names are compared wherever a vote counts.
"""

import msgspec
from expression import Error, Ok, Result

from .events import Voter
from .saved_state import VoterSet

ADD_LEARNER = "add-learner"
PROMOTE = "promote"
REMOVE = "remove"


def quorum_size(voter_set: VoterSet) -> int:
    """Return how many voters make a majority."""
    return len(voter_set.voters) // 2 + 1


def members(voter_set: VoterSet) -> tuple[Voter, ...]:
    """Return voters and learners."""
    return voter_set.voters + voter_set.learners


def is_voter(voter_set: VoterSet, vm: str, disk_id: str) -> bool:
    """Tell whether a VM with this very disk votes."""
    return any(v.vm == vm and v.disk_id == disk_id for v in voter_set.voters)


def majority_value(values: list[int], voter_set: VoterSet) -> int:
    """Return the highest number that a majority has reached; one value per voter."""
    if not values:
        return 0
    return sorted(values, reverse=True)[quorum_size(voter_set) - 1]


def change(voter_set: VoterSet, action: str, voter: Voter) -> Result[VoterSet, str]:
    """Return the voter set after one change, or why it cannot be made."""
    if action == ADD_LEARNER:
        return _add_learner(voter_set, voter)
    if action == PROMOTE:
        return _promote(voter_set, voter)
    if action == REMOVE:
        return _remove(voter_set, voter)
    return Error(f"{action!r} is not a change of voters")


def encode(voter_set: VoterSet) -> str:
    """Return the payload of a voters entry."""
    return msgspec.json.encode(voter_set).decode()


def decode(payload: str) -> VoterSet:
    """Return the voter set of a voters entry."""
    return msgspec.json.decode(payload, type=VoterSet)


def _add_learner(voter_set, voter):
    if not voter.disk_id or not voter.vm:
        return Error("a learner needs a VM and a disk id")
    if any(m.disk_id == voter.disk_id for m in members(voter_set)):
        return Error(f"disk {voter.disk_id} is a member already")
    return Ok(voter_set._replace(learners=voter_set.learners + (voter,)))


def _promote(voter_set, voter):
    found = _find(voter_set.learners, voter)
    if found is None:
        return Error(f"disk {voter.disk_id} of {voter.vm} is not a learner")
    learners = tuple(v for v in voter_set.learners if v != found)
    return Ok(voter_set._replace(voters=voter_set.voters + (found,), learners=learners))


def _remove(voter_set, voter):
    found = _find(members(voter_set), voter)
    if found is None:
        return Error(f"disk {voter.disk_id} of {voter.vm} is not a member")
    voters = tuple(v for v in voter_set.voters if v != found)
    if not voters:
        return Error("the last voter cannot be removed")
    learners = tuple(v for v in voter_set.learners if v != found)
    return Ok(voter_set._replace(voters=voters, learners=learners))


def _find(pool, voter):
    for candidate in pool:
        if (candidate.vm, candidate.disk_id) == (voter.vm, voter.disk_id):
            return candidate
    return None


def to_plain(voter_set: VoterSet) -> list:
    """Return a voter set as bare lists, the form that messages carry."""
    return msgspec.to_builtins(voter_set)
