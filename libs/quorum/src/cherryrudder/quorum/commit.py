"""Commit entries that a majority has synced, and emit committed entries in order."""

from . import reads, voters
from .events import Apply, Committed, TakeSnapshot
from .node import LEADER, Node, become_follower, emit, is_voter


def advance(node: Node) -> None:
    """Advance the leader's commit index to what a majority of voters has synced."""
    if node.role != LEADER:
        return
    values = [_voter_persisted_index(node, voter) for voter in node.voter_set.voters]
    index = voters.majority_value(values, node.voter_set)
    # Raft commits by counting copies only for entries of the current term. A new
    # leader appends one at once, see `election`.
    if index > node.commit_index and node.log.term_at(index) == node.term:
        node.commit_index = index


def apply_committed(node: Node, now_s: float) -> None:
    """Emit entries that are committed and synced here, and the answers due with them.

    An entry that is committed but not yet synced on this disk is held back. Otherwise
    this VM could restart after a crash with an older state than its readers have seen.
    """
    end = min(node.commit_index, node.persisted_index)
    if end > node.applied_index:
        entries = node.log.slice(node.applied_index + 1, end + 1)
        node.applied_index = end
        emit(node, Apply(entries))
        _complete_proposals(node, entries)
        _request_snapshot(node)
    if node.role == LEADER and _is_removed(node):
        become_follower(node, now_s)
    reads.complete_reads(node)


def _voter_persisted_index(node, voter):
    if voter.disk_id == node.me.disk_id:
        return node.persisted_index
    peer = node.peers.get(voter.disk_id)
    return peer.match_index if peer else 0


def _complete_proposals(node, entries):
    for entry in entries:
        proposal_id = node.proposals.pop(entry.index, None)
        if proposal_id is not None:
            emit(node, Committed(proposal_id, entry.index))


def _request_snapshot(node):
    start = node.snapshot.index if node.snapshot else 0
    is_due = node.applied_index - start >= node.timing.snapshot_entries
    if is_due and not node.snapshot_requested:
        node.snapshot_requested = True
        emit(node, TakeSnapshot())


def _is_removed(node):
    committed = node.voter_sets[-1][0] <= node.commit_index
    return committed and not is_voter(node)
