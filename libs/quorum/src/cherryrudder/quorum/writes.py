"""What is written to the disk, and when: one write at a time, all that waits in it.

An fsync costs the same for one entry as for a hundred. While one write is under way,
everything that comes in waits and goes into the next one together (group commit).
"""

from . import voters
from .events import Persist, RestoreSnapshot, SaveSnapshot
from .log import Log
from .node import Node, Write, emit, is_saved, is_set
from .saved_state import Snapshot


def flush(node: Node) -> None:
    """Start the next write if the disk is idle and something waits."""
    if node.write is not None:
        return
    if node.unsaved_snapshot is not None:
        _write_snapshot(node)
    elif _is_dirty(node):
        _write_entries(node)


def finish(node: Node, write_id: int) -> bool:
    """Take note that a write is synced; tell whether it was the one under way."""
    write = node.write
    if write is None or write.write_id != write_id:
        return False
    node.write = None
    node.persisted = max(node.persisted, write.last_index)
    node.saved_term = write.term
    node.saved_vote = write.voted_for
    if is_saved(node):
        node.effects.extend(node.held)
        node.held.clear()
    return True


def append(node: Node, entry) -> None:
    """Add an entry to the log; a voter set counts from here on, committed or not."""
    node.log.append(entry)
    if is_set(entry):
        node.voter_sets.append((entry.index, voters.decode(entry.payload)))


def truncate(node: Node, first: int) -> None:
    """Drop the log from `first` on, and forget what of it was synced."""
    written = node.persisted
    if node.write is not None:
        written = max(written, node.write.last_index)
        last_index = min(node.write.last_index, first - 1)
        node.write = node.write._replace(last_index=last_index)
    if first <= written:
        earlier = node.truncate_from
        node.truncate_from = first if earlier is None else min(first, earlier)
    node.persisted = min(node.persisted, first - 1)
    node.log.truncate(first)
    while node.voter_sets[-1][0] >= first:
        node.voter_sets.pop()


def install(node: Node, snapshot: Snapshot) -> None:
    """Replace log and state by a leader's snapshot that is ahead of both."""
    index = snapshot.index
    log = node.log
    if log.holds(index) and log.term_at(index) == snapshot.term:
        # What follows agrees with the leader's log up to here, so it may stay.
        log.compact(index)
        later = [pair for pair in node.voter_sets if pair[0] > index]
    else:
        _reset(node, log, snapshot)
        later = []
    node.voter_sets = [(index, snapshot.voter_set), *later]
    node.snapshot = node.unsaved_snapshot = snapshot
    node.commit = max(node.commit, index)
    node.applied = index
    emit(node, RestoreSnapshot(index, snapshot.data))


def _reset(node, log: Log, snapshot):
    log.reset(snapshot.index, snapshot.term)
    # Nothing that the disk has or is about to have counts for the new log, and the
    # disk must drop whatever it holds past the snapshot: those are another leader's.
    node.persisted = 0
    if node.write is not None:
        node.write = node.write._replace(last_index=0)
    node.truncate_from = snapshot.index + 1


def _write_snapshot(node):
    snapshot = node.unsaved_snapshot
    node.unsaved_snapshot = None
    node.write_id += 1
    # The disk keeps its own term and vote through a snapshot, so those stay as saved.
    node.write = Write(node.write_id, node.saved_term, node.saved_vote, snapshot.index)
    voter_set = snapshot.voter_set
    effect = SaveSnapshot(
        node.write_id,
        snapshot.index,
        snapshot.term,
        voter_set.voters,
        snapshot.data,
        voter_set.learners,
        voter_set.cluster,
    )
    emit(node, effect)


def _write_entries(node):
    node.write_id += 1
    first = node.persisted + 1
    entries = node.log.slice(first, node.log.last_index + 1)
    node.write = Write(node.write_id, node.term, node.voted_for, node.log.last_index)
    effect = Persist(
        node.write_id, node.term, node.voted_for, entries, node.truncate_from
    )
    node.truncate_from = None
    emit(node, effect)


def _is_dirty(node):
    if node.truncate_from is not None or not is_saved(node):
        return True
    return node.persisted < node.log.last_index
