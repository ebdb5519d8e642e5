"""Disk writes with group commit: one write at a time, with everything pending.

An fsync costs the same for one entry as for a hundred. Entries that arrive while a
write is in progress go into the next one together.
"""

from . import voters
from .events import Persist, RestoreSnapshot, SaveSnapshot
from .log import Log
from .node import Node, Write, emit, is_vote_persisted, is_voter_set_entry
from .saved_state import Snapshot


def flush(node: Node) -> None:
    """Start the next write if the disk is idle and something is pending."""
    if node.write is not None:
        return
    if node.unsaved_snapshot is not None:
        _write_snapshot(node)
    elif _is_dirty(node):
        _write_entries(node)


def complete_write(node: Node, write_id: int) -> bool:
    """Record that a write is synced; return whether it was the one in progress."""
    write = node.write
    if write is None or write.write_id != write_id:
        return False
    node.write = None
    node.persisted_index = max(node.persisted_index, write.last_index)
    node.persisted_term = write.term
    node.persisted_vote = write.voted_for
    if is_vote_persisted(node):
        node.effects.extend(node.unsent)
        node.unsent.clear()
    return True


def append(node: Node, entry) -> None:
    """Append an entry to the log; a voter set takes effect at once, uncommitted."""
    node.log.append(entry)
    if is_voter_set_entry(entry):
        node.voter_sets.append((entry.index, voters.decode(entry.payload)))


def truncate(node: Node, first: int) -> None:
    """Drop the log from `first` on, and lower the persisted index accordingly."""
    written = node.persisted_index
    if node.write is not None:
        written = max(written, node.write.last_index)
        last_index = min(node.write.last_index, first - 1)
        node.write = node.write._replace(last_index=last_index)
    if first <= written:
        earlier = node.truncate_from
        node.truncate_from = first if earlier is None else min(first, earlier)
    node.persisted_index = min(node.persisted_index, first - 1)
    node.log.truncate(first)
    while node.voter_sets[-1][0] >= first:
        node.voter_sets.pop()


def install_snapshot(node: Node, snapshot: Snapshot) -> None:
    """Replace log and state by a leader's snapshot, which is ahead of both."""
    index = snapshot.index
    log = node.log
    if log.holds(index) and log.term_at(index) == snapshot.term:
        # The log matches the leader's up to here, so the entries after it may stay.
        log.compact(index)
        later = [pair for pair in node.voter_sets if pair[0] > index]
    else:
        _reset_log(node, log, snapshot)
        later = []
    node.voter_sets = [(index, snapshot.voter_set), *later]
    node.snapshot = node.unsaved_snapshot = snapshot
    node.commit_index = max(node.commit_index, index)
    node.applied_index = index
    emit(node, RestoreSnapshot(index, snapshot.data))


def _reset_log(node, log: Log, snapshot):
    log.reset(snapshot.index, snapshot.term)
    # Nothing on disk or being written belongs to the new log, and the disk must drop
    # the entries past the snapshot, which come from another leader.
    node.persisted_index = 0
    if node.write is not None:
        node.write = node.write._replace(last_index=0)
    node.truncate_from = snapshot.index + 1


def _write_snapshot(node):
    snapshot = node.unsaved_snapshot
    node.unsaved_snapshot = None
    node.write_id += 1
    # A snapshot doesn't change the term and vote on disk, so those stay as persisted.
    node.write = Write(
        node.write_id, node.persisted_term, node.persisted_vote, snapshot.index
    )
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
    first = node.persisted_index + 1
    entries = node.log.slice(first, node.log.last_index + 1)
    node.write = Write(node.write_id, node.term, node.voted_for, node.log.last_index)
    effect = Persist(
        node.write_id, node.term, node.voted_for, entries, node.truncate_from
    )
    node.truncate_from = None
    emit(node, effect)


def _is_dirty(node):
    if node.truncate_from is not None or not is_vote_persisted(node):
        return True
    return node.persisted_index < node.log.last_index
