"""The voter's core: events go in, effects come out; no I/O, no clock of its own.

A voter follows Raft. The parts are `election`, `replication`, `commit`, `reads`,
`proposals` and `snapshots`; `writes` decides what goes to the disk. The shell feeds
events and carries out effects in order (see `events`).
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
    Snapshotted,
    Tick,
    TransferLeadership,
    Voter,
)
from .messages import (
    APPEND,
    APPEND_REPLY,
    INSTALL,
    PRE_VOTE,
    PRE_VOTE_REPLY,
    TIMEOUT_NOW,
    VOTE,
    VOTE_REPLY,
    check,
)
from .node import LEADER, Node, emit, reset_election, set_term
from .saved_state import SavedState, Timing

ON_MESSAGE = {
    PRE_VOTE: election.on_pre_vote,
    PRE_VOTE_REPLY: election.on_pre_vote_reply,
    VOTE: election.on_vote,
    VOTE_REPLY: election.on_vote_reply,
    TIMEOUT_NOW: election.on_timeout_now,
    APPEND: replication.on_append,
    APPEND_REPLY: replication.on_append_reply,
    INSTALL: snapshots.on_install,
}


def open_node(
    me: Voter, saved: SavedState, timing: Timing, rng: random.Random, now_s: float
) -> Node:
    """Return a voter that goes on from what its disk holds.

    The first `handle` gives a `RestoreSnapshot` if the disk holds a snapshot.
    """
    node = Node(me, saved, timing, rng)
    reset_election(node, now_s)
    if saved.snapshot is not None:
        emit(node, RestoreSnapshot(saved.snapshot.index, saved.snapshot.data))
    return node


def handle(node: Node, event, now_s: float) -> list:
    """Take one event and return the effects, to be carried out in order.

    Raises ProtocolError when another voter breaks the protocol: then stop.
    """
    election.check_quorum(node, now_s)
    _dispatch(node, event, now_s)
    commit.advance(node)
    commit.deliver(node, now_s)
    if node.role == LEADER:
        _lead(node, now_s)
    # Last, so that the followers' disks work while this one does.
    writes.flush(node)
    effects = node.effects
    node.effects = []
    return effects


def status(node: Node) -> dict:
    """Return what an operator wants to know of a voter, as plain JSON types."""
    voter_set = node.voter_set
    return {
        "vm": node.me.vm,
        "disk_id": node.me.disk_id,
        "role": node.role,
        "term": node.term,
        "leader": node.leader.vm if node.leader else "",
        "leader_address": node.leader.address if node.leader else "",
        "founded": not election.is_unfounded(node),
        "commit": node.commit,
        "applied": node.applied,
        "persisted": node.persisted,
        "last": node.log.last_index,
        "snapshot": node.snapshot.index if node.snapshot else 0,
        "voters": [voter._asdict() for voter in voter_set.voters],
        "learners": [voter._asdict() for voter in voter_set.learners],
        "peers": {
            peer.voter.disk_id: {"match": peer.match, "acked_s": peer.acked_s}
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
            if writes.finish(node, event.write_id):
                election.vote_saved(node, now_s)
                replication.acknowledge(node)
        case ChangeVoters():
            proposals.on_change_voters(node, event, now_s)
        case Snapshotted():
            snapshots.on_snapshotted(node, event)
        case TransferLeadership():
            election.hand_over(node, now_s)
        case _:
            raise TypeError(f"not an event: {event!r}")


def _receive(node, raw, now_s):
    result = check(raw)
    if result.is_error():
        return
    message = result.ok
    if not _is_for(node, message) or election.is_recreated(node, message):
        return
    if not _enter_term(node, message, now_s):
        return
    ON_MESSAGE[message["type"]](node, message, now_s)


def _is_for(node, message):
    """Tell whether a message is meant for this disk and comes from its cluster.

    A VM with a new disk still gets what was sent to its old one. A cluster's name is
    empty for a disk that has yet to join one.
    """
    if message["to"] != node.me.disk_id:
        return False
    return "" in {message["cluster"], node.voter_set.cluster} or (
        message["cluster"] == node.voter_set.cluster
    )


def _enter_term(node, message, now_s):
    """Follow a later term; tell whether the message is to be handled at all."""
    if message["term"] <= node.term or message["type"] == PRE_VOTE:
        return True
    if message["type"] == PRE_VOTE_REPLY and message["granted"]:
        return True
    if message["type"] == VOTE and not message["transfer"]:
        # A voter that was removed or cut off must not unseat a working leader.
        if election.hears_leader(node, now_s):
            return False
    set_term(node, message["term"], now_s)
    return True


def _lead(node, now_s):
    if now_s >= node.heartbeat_at_s or reads.needs_round(node):
        replication.begin_round(node, now_s)
    # A voter alone confirms its own round.
    reads.answer(node)
    replication.replicate(node, now_s)
