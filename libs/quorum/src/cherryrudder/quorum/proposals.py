"""Proposals to the leader: commands and changes of the voter set."""

from expression import Error

from . import voters
from .election import is_active
from .events import ChangeVoters, Entry, Propose, Rejected
from .node import LEADER, Node, emit, leader_address
from .replication import MAX_BATCH_ENTRIES, update_peers
from .writes import append

# Without a limit a leader with slow followers would queue proposals without bound, and
# each would wait past its caller's timeout. A slow disk needs some seconds for these.
MAX_UNCOMMITTED_ENTRIES = 4096


def on_propose(node: Node, event: Propose) -> None:
    """Append a command, or reject it before anything is appended."""
    if node.role != LEADER:
        _reject(node, event.proposal_id)
        return
    if node.log.last_index - node.commit_index >= MAX_UNCOMMITTED_ENTRIES:
        _reject(node, event.proposal_id, "too many changes wait to be committed")
        return
    _append(node, event.proposal_id, "command", event.payload)


def on_change_voters(node: Node, event: ChangeVoters, now_s: float) -> None:
    """Append a changed voter set if that is safe and leaves a live majority."""
    if node.role != LEADER:
        _reject(node, event.proposal_id)
        return
    result = _changed_voter_set(node, event, now_s)
    if result.is_error():
        _reject(node, event.proposal_id, result.error)
        return
    _append(node, event.proposal_id, "voters", voters.encode(result.ok))
    update_peers(node, now_s)


def _append(node, proposal_id, kind, payload):
    entry = Entry(node.log.last_index + 1, node.term, kind, payload)
    append(node, entry)
    node.proposals[entry.index] = proposal_id


def _reject(node, proposal_id, reason=""):
    emit(node, Rejected(proposal_id, leader_address(node), True, reason))


def _changed_voter_set(node, event, now_s):
    """Return the changed voter set, or the reason why the change is refused."""
    if not _is_change_allowed(node):
        return Error("another change of the voters is not committed yet")
    result = voters.change(node.voter_set, event.action, event.voter)
    if result.is_error() or event.action == voters.ADD_LEARNER:
        return result
    # Without these checks a repair could itself cause an outage: if a removal leaves
    # mostly dead voters, or a promoted learner is far behind, nothing can be
    # committed until they recover.
    if not _has_live_majority(node, result.ok, now_s):
        return Error("too few of the voters that would be left answer at present")
    if event.action == voters.PROMOTE and not _is_caught_up(node, event.voter):
        return Error("the learner does not have the whole log yet")
    return result


def _is_change_allowed(node):
    """Return whether no other change is in progress.

    Old and new majorities are sure to overlap only if the sets differ by one voter.
    With two changes in progress, or one of an earlier term that may still be
    committed, two leaders could each have a majority of their own.
    """
    is_committed = node.voter_sets[-1][0] <= node.commit_index
    return is_committed and node.log.term_at(node.commit_index) == node.term


def _has_live_majority(node, voter_set, now_s):
    since_s = now_s - node.timing.election_min_s
    active = sum(is_active(node, voter, since_s) for voter in voter_set.voters)
    return active >= voters.quorum_size(voter_set)


def _is_caught_up(node, voter):
    # On a short log a learner that has never answered would pass the distance check.
    # A disk that does not exist (a mistyped id) would then become a voter that never
    # answers.
    peer = node.peers.get(voter.disk_id)
    if peer is None or not peer.match_index:
        return False
    return peer.match_index >= node.log.last_index - MAX_BATCH_ENTRIES
