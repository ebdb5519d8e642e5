"""Linearizable reads by read index: a read sees every change accepted before it.

A partitioned leader can't detect that another leader accepts changes meanwhile. So
each read waits for a heartbeat round that started after the read arrived and that a
majority answered. A leader lease would rely on the clock, which jumps on a VM that was
frozen.
"""

from . import voters
from .events import ReadIndex, ReadReady, Rejected
from .node import LEADER, Node, Read, emit, leader_address


def on_read_index(node: Node, event: ReadIndex) -> None:
    """Queue a read for the next heartbeat round, or reject it if not the leader."""
    if node.role != LEADER:
        emit(node, Rejected(event.read_id, leader_address(node), True))
        return
    node.reads.append(Read(event.read_id, node.round + 1, None))


def needs_round(node: Node) -> bool:
    """Return whether a read waits for a new round and none is in progress."""
    is_waiting = any(read.round > node.round for read in node.reads)
    return is_waiting and _confirmed_round(node) == node.round


def complete_reads(node: Node) -> None:
    """Complete the reads whose heartbeat round is confirmed by a majority."""
    if node.role != LEADER or not node.reads:
        return
    # Until an entry of its own term is committed, a new leader's commit index may be
    # behind that of the previous leader.
    if node.log.term_at(node.commit_index) != node.term:
        return
    confirmed = _confirmed_round(node)
    reads = [
        read._replace(index=node.commit_index) if read.index is None else read
        for read in node.reads
    ]
    node.reads = []
    for read in reads:
        if read.round <= confirmed and read.index <= node.applied_index:
            emit(node, ReadReady(read.read_id, read.index))
        else:
            node.reads.append(read)


def _confirmed_round(node):
    rounds = [_answered_round(node, voter) for voter in node.voter_set.voters]
    return voters.majority_value(rounds, node.voter_set)


def _answered_round(node, voter):
    if voter.disk_id == node.me.disk_id:
        return node.round
    peer = node.peers.get(voter.disk_id)
    return peer.round if peer else 0
