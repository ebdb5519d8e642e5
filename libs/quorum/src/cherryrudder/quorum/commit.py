"""Commit by a majority of synced disks, and hand committed entries out in order."""

from . import reads, voters
from .events import Apply, Committed, TakeSnapshot
from .node import LEADER, Node, become_follower, emit, is_voter


def advance(node: Node) -> None:
    """Commit, as a leader, what a majority of the voters has synced."""
    if node.role != LEADER:
        return
    values = [_voter_persisted_index(node, voter) for voter in node.voter_set.voters]
    index = voters.majority_value(values, node.voter_set)
    # Only an entry of the own term: see `election`, where a leader starts with one.
    if index > node.commit_index and node.log.term_at(index) == node.term:
        node.commit_index = index


def apply_committed(node: Node, now_s: float) -> None:
    """Hand out what is committed and on this disk, and the answers that wait for it.

    An entry that is committed elsewhere but not yet synced here waits: after a crash
    this VM would otherwise start with less than it has shown to its readers.
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
    long = node.applied_index - start >= node.timing.snapshot_entries
    if long and not node.snapshot_requested:
        node.snapshot_requested = True
        emit(node, TakeSnapshot())


def _is_removed(node):
    committed = node.voter_sets[-1][0] <= node.commit_index
    return committed and not is_voter(node)
