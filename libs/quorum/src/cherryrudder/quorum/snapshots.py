"""Snapshots: of the own state to keep the log short, a leader's to catch up."""

from .events import Snapshotted
from .node import Node
from .replication import accept_leader, acknowledge, refuse_old_leader
from .saved_state import Snapshot
from .writes import install


def on_snapshotted(node: Node, event: Snapshotted) -> None:
    """Save the own snapshot, and keep some of the log for followers that lag."""
    node.wants_snapshot = False
    newest = node.snapshot.index if node.snapshot else 0
    if not newest < event.index <= node.applied:
        return
    index = event.index
    snapshot = Snapshot(
        index, node.log.term_at(index), _voter_set_at(node, index), event.data
    )
    node.snapshot = node.unsaved_snapshot = snapshot
    kept_from = index - node.timing.snapshot_entries
    if kept_from > node.log.base_index:
        node.log.compact(kept_from)
    _drop_voter_sets(node)


def on_install(node: Node, message: dict, now_s: float) -> None:
    """Take a leader's snapshot if it is ahead of what is committed here."""
    if message["term"] < node.term:
        refuse_old_leader(node, message)
        return
    accept_leader(node, message, now_s)
    index = message["index"]
    if index > node.commit:
        snapshot = Snapshot(
            index, message["index_term"], message["voter_set"], message["data"]
        )
        install(node, snapshot)
    # Up to a committed index all logs agree.
    node.verified = max(node.verified, index)
    acknowledge(node)


def _voter_set_at(node, index):
    return [pair for pair in node.voter_sets if pair[0] <= index][-1][1]


def _drop_voter_sets(node):
    """Forget voter sets that no truncation can bring back."""
    while len(node.voter_sets) > 1 and node.voter_sets[1][0] <= node.snapshot.index:
        node.voter_sets.pop(0)
