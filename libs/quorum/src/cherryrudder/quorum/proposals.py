"""Commands and changes of the voter set, as the leader takes them in."""

from . import voters
from .election import is_active
from .events import ChangeVoters, Entry, Propose, Rejected
from .node import LEADER, Node, emit, leader_address
from .replication import MAX_BATCH_ENTRIES, sync_peers
from .writes import append

# A leader whose followers are slow would take in changes without bound, and each
# would wait longer than its caller does. This is some seconds of work of a slow disk.
MAX_UNCOMMITTED_ENTRIES = 4096


def on_propose(node: Node, event: Propose) -> None:
    """Append a command, or reject it before it is anywhere."""
    waiting = node.log.last_index - node.commit
    if node.role != LEADER or waiting >= MAX_UNCOMMITTED_ENTRIES:
        _reject(node, event.proposal_id)
        return
    _append(node, event.proposal_id, "command", event.payload)


def on_change_voters(node: Node, event: ChangeVoters, now_s: float) -> None:
    """Append a changed voter set if it is safe and would leave a working majority."""
    if node.role != LEADER or not _may_change(node):
        _reject(node, event.proposal_id)
        return
    result = voters.change(node.voter_set, event.action, event.voter)
    if result.is_error() or not _can_commit(node, event, result.ok, now_s):
        _reject(node, event.proposal_id)
        return
    _append(node, event.proposal_id, "voters", voters.encode(result.ok))
    sync_peers(node, now_s)


def _append(node, proposal_id, kind, payload):
    entry = Entry(node.log.last_index + 1, node.term, kind, payload)
    append(node, entry)
    node.proposals[entry.index] = proposal_id


def _reject(node, proposal_id):
    emit(node, Rejected(proposal_id, leader_address(node), True))


def _may_change(node):
    """Tell whether no other change is under way.

    Old and new majorities overlap only if the sets differ by one voter. With two
    changes under way, or with one of an earlier term that may still come back, two
    leaders could each have a majority of their own.
    """
    settled = node.voter_sets[-1][0] <= node.commit
    return settled and node.log.term_at(node.commit) == node.term


def _can_commit(node, event, voter_set, now_s):
    """Tell whether enough members of the changed set are at work and up to date.

    Without this a repair could itself end the service: a promoted learner that is
    far behind, or a removal that leaves mostly dead voters, stops every change.
    """
    if event.action == voters.ADD_LEARNER:
        return True
    since_s = now_s - node.timing.election_min_s
    active = sum(is_active(node, voter, since_s) for voter in voter_set.voters)
    if active < voters.quorum_size(voter_set):
        return False
    if event.action == voters.PROMOTE:
        peer = node.peers.get(event.voter.disk_id)
        return peer is not None and _is_caught_up(node, peer)
    return True


def _is_caught_up(node, peer):
    # On a short log one that has answered nothing would pass by the distance alone. A
    # disk that nobody has (a mistyped id) would then vote and never answer.
    return 0 < peer.match >= node.log.last_index - MAX_BATCH_ENTRIES
