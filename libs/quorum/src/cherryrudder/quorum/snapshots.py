"""Snapshots: taken locally to compact the log, or installed from the leader."""

from .events import SnapshotTaken
from .node import Node
from .replication import accept_leader, acknowledge, reject_stale_leader
from .saved_state import Snapshot
from .writes import install_snapshot


def on_snapshot_taken(node: Node, event: SnapshotTaken) -> None:
    """Save a local snapshot and compact the log, except a tail for slow followers."""
    node.snapshot_requested = False
    newest = node.snapshot.index if node.snapshot else 0
    if not newest < event.index <= node.applied_index:
        return
    index = event.index
    snapshot = Snapshot(
        index, node.log.term_at(index), _voter_set_at(node, index), event.data
    )
    node.snapshot = node.unsaved_snapshot = snapshot
    kept_from = index - node.timing.snapshot_entries
    if kept_from > node.log.base_index:
        node.log.compact(kept_from)
    _drop_old_voter_sets(node)


def on_install_snapshot(node: Node, message: dict, now_s: float) -> None:
    """Install a leader's snapshot if it is ahead of the local commit index."""
    if message["term"] < node.term:
        reject_stale_leader(node, message)
        return
    accept_leader(node, message, now_s)
    index = message["index"]
    if index > node.commit_index:
        snapshot = Snapshot(
            index, message["index_term"], message["voter_set"], message["data"]
        )
        install_snapshot(node, snapshot)
    # All logs match up to a committed index.
    node.verified_index = max(node.verified_index, index)
    acknowledge(node)


def _voter_set_at(node, index):
    return [pair for pair in node.voter_sets if pair[0] <= index][-1][1]


def _drop_old_voter_sets(node):
    """Drop voter sets that no truncation can bring back into force."""
    while len(node.voter_sets) > 1 and node.voter_sets[1][0] <= node.snapshot.index:
        node.voter_sets.pop(0)
