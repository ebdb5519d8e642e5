"""Commit by a majority of synced disks, and hand committed entries out in order."""

from . import reads, voters
from .events import Apply, Proposed, WantSnapshot
from .node import LEADER, Node, emit, follow, is_voter


def advance(node: Node) -> None:
    """Commit, as a leader, what a majority of the voters has synced."""
    if node.role != LEADER:
        return
    values = [_synced(node, voter) for voter in node.voter_set.voters]
    index = voters.majority_value(values, node.voter_set)
    # Only an entry of the own term: see `election`, where a leader starts with one.
    if index > node.commit and node.log.term_at(index) == node.term:
        node.commit = index


def deliver(node: Node, now_s: float) -> None:
    """Hand out what is committed and on this disk, and the answers that wait for it.

    An entry that is committed elsewhere but not yet synced here waits: after a crash
    this VM would otherwise start with less than it has shown to its readers.
    """
    end = min(node.commit, node.persisted)
    if end > node.applied:
        entries = node.log.slice(node.applied + 1, end + 1)
        node.applied = end
        emit(node, Apply(entries))
        _answer(node, entries)
        _want_snapshot(node)
    if node.role == LEADER and _is_removed(node):
        follow(node, now_s)
    reads.answer(node)


def _synced(node, voter):
    if voter.disk_id == node.me.disk_id:
        return node.persisted
    peer = node.peers.get(voter.disk_id)
    return peer.match if peer else 0


def _answer(node, entries):
    for entry in entries:
        proposal_id = node.proposals.pop(entry.index, None)
        if proposal_id is not None:
            emit(node, Proposed(proposal_id, entry.index))


def _want_snapshot(node):
    start = node.snapshot.index if node.snapshot else 0
    long = node.applied - start >= node.timing.snapshot_entries
    if long and not node.wants_snapshot:
        node.wants_snapshot = True
        emit(node, WantSnapshot())


def _is_removed(node):
    committed = node.voter_sets[-1][0] <= node.commit
    return committed and not is_voter(node)
