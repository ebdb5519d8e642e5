"""Raft voter as a pure function of events: no I/O and no clock.

The protocol is implemented in `election`, `replication`, `commit`, `reads`,
`proposals` and `snapshots`; `writes` decides what is written to the disk. The caller
passes in events and executes the returned effects in order (see `events`).
"""

import random

from . import commit, election, proposals, reads, replication, snapshots, writes
from .events import (
    ChangeVoters,
    Persisted,
    Propose,
    ReadIndex,
    Received,
    RestoreSnapshot,
    SnapshotTaken,
    Tick,
    TransferLeadership,
    Voter,
)
from .messages import (
    APPEND,
    APPEND_REPLY,
    INSTALL_SNAPSHOT,
    PRE_VOTE,
    PRE_VOTE_REPLY,
    TIMEOUT_NOW,
    VOTE,
    VOTE_REPLY,
    check_message,
)
from .node import LEADER, Node, emit, reset_election_timer, set_term
from .saved_state import SavedState, Timing

ON_MESSAGE = {
    PRE_VOTE: election.on_pre_vote,
    PRE_VOTE_REPLY: election.on_pre_vote_reply,
    VOTE: election.on_vote,
    VOTE_REPLY: election.on_vote_reply,
    TIMEOUT_NOW: election.on_timeout_now,
    APPEND: replication.on_append,
    APPEND_REPLY: replication.on_append_reply,
    INSTALL_SNAPSHOT: snapshots.on_install_snapshot,
}


def open_node(
    me: Voter, saved: SavedState, timing: Timing, rng: random.Random, now_s: float
) -> Node:
    """Return a voter that resumes from its saved state.

    The first `handle` returns a `RestoreSnapshot` if the disk holds a snapshot.
    """
    node = Node(me, saved, timing, rng)
    reset_election_timer(node, now_s)
    if saved.snapshot is not None:
        emit(node, RestoreSnapshot(saved.snapshot.index, saved.snapshot.data))
    return node


def handle(node: Node, event, now_s: float) -> list:
    """Process one event and return the effects, to be executed in order.

    Raises ProtocolError if another voter breaks the protocol; the caller must then
    stop this voter.
    """
    election.check_quorum(node, now_s)
    _dispatch(node, event, now_s)
    commit.advance(node)
    commit.apply_committed(node, now_s)
    if node.role == LEADER:
        _act_as_leader(node, now_s)
    # Last, so that the followers write to their disks while this one does.
    writes.flush(node)
    effects = node.effects
    node.effects = []
    return effects


def status(node: Node) -> dict:
    """Return a voter's status for operators, as plain JSON types."""
    voter_set = node.voter_set
    return {
        "vm": node.me.vm,
        "disk_id": node.me.disk_id,
        "role": node.role,
        "term": node.term,
        "leader": node.leader.vm if node.leader else "",
        "leader_address": node.leader.address if node.leader else "",
        "founded": not election.is_awaiting_bootstrap(node),
        "commit": node.commit_index,
        "applied": node.applied_index,
        "persisted": node.persisted_index,
        "last": node.log.last_index,
        "snapshot": node.snapshot.index if node.snapshot else 0,
        "voters": [voter._asdict() for voter in voter_set.voters],
        "learners": [voter._asdict() for voter in voter_set.learners],
        "peers": {
            peer.voter.disk_id: {"match": peer.match_index, "acked_s": peer.acked_s}
            for peer in node.peers.values()
        },
    }


def _dispatch(node, event, now_s):
    match event:
        case Tick():
            if node.role != LEADER:
                election.tick(node, now_s)
        case Received():
            _receive(node, event.message, now_s)
        case Propose():
            proposals.on_propose(node, event)
        case ReadIndex():
            reads.on_read_index(node, event)
        case Persisted():
            if writes.complete_write(node, event.write_id):
                election.on_vote_persisted(node, now_s)
                replication.acknowledge(node)
        case ChangeVoters():
            proposals.on_change_voters(node, event, now_s)
        case SnapshotTaken():
            snapshots.on_snapshot_taken(node, event)
        case TransferLeadership():
            election.transfer_leadership(node, now_s)
        case _:
            raise TypeError(f"not an event: {event!r}")


def _receive(node, raw, now_s):
    result = check_message(raw)
    if result.is_error():
        return
    message = result.ok
    if not _is_addressed_here(node, message) or election.is_recreated(node, message):
        return
    if not _update_term(node, message, now_s):
        return
    ON_MESSAGE[message["type"]](node, message, now_s)


def _is_addressed_here(node, message):
    """Return whether a message is addressed to this disk and comes from its cluster.

    A VM with a new disk still receives messages for its old one. The cluster name is
    empty for a disk that has not joined a cluster yet.
    """
    if message["to"] != node.me.disk_id:
        return False
    return "" in {message["cluster"], node.voter_set.cluster} or (
        message["cluster"] == node.voter_set.cluster
    )


def _update_term(node, message, now_s):
    """Enter a later term if the message has one; return whether to handle it."""
    if message["term"] <= node.term or message["type"] == PRE_VOTE:
        return True
    if message["type"] == PRE_VOTE_REPLY and message["granted"]:
        return True
    if message["type"] == VOTE and not message["transfer"]:
        # A voter that was removed or partitioned must not depose a working leader.
        if election.has_live_leader(node, now_s):
            return False
    set_term(node, message["term"], now_s)
    return True


def _act_as_leader(node, now_s):
    if now_s >= node.heartbeat_at_s or reads.needs_round(node):
        replication.start_heartbeat_round(node, now_s)
    # A single voter confirms its own round, without any reply.
    reads.complete_reads(node)
    replication.replicate(node, now_s)
