"""Log replication from the leader to the followers, and their acknowledgements."""

from . import voters
from .errors import ProtocolError
from .events import Entry, Voter
from .messages import APPEND, APPEND_REPLY, INSTALL_SNAPSHOT
from .node import (
    LEADER,
    Node,
    Peer,
    become_follower,
    is_vote_persisted,
    reset_election_timer,
    send,
)
from .writes import append, truncate

# A batch of this size fills a few packets and takes about a millisecond to encode. A
# larger one would delay heartbeats, which share the event loop. Catching up on 1,000
# entries then takes 16 round trips.
MAX_BATCH_ENTRIES = 64
MAX_BATCH_CHARACTERS = 256 * 1024
# Replies wait for a sync at the follower, which may take several heartbeat intervals
# on a slow disk. A lost append costs this delay; a shorter one would duplicate appends
# that aren't lost.
RESEND_HEARTBEATS = 4
# Longer, since the follower writes the whole snapshot before it replies.
RESEND_SNAPSHOT_HEARTBEATS = 20


def update_peers(node: Node, now_s: float) -> None:
    """Update the leader's peers after a change of the voter set."""
    members = {
        member.disk_id: member
        for member in voters.members(node.voter_set)
        if member.disk_id != node.me.disk_id
    }
    for disk_id in set(node.peers) - set(members):
        del node.peers[disk_id]
    for disk_id, member in members.items():
        if disk_id not in node.peers:
            node.peers[disk_id] = Peer(member, node.log.last_index + 1, now_s)


def start_heartbeat_round(node: Node, now_s: float) -> None:
    """Send a heartbeat to all peers; the replies confirm leadership as of now."""
    node.round += 1
    node.heartbeat_at_s = now_s + node.timing.heartbeat_s
    for peer in node.peers.values():
        # The peer is known to have this index. Otherwise a heartbeat that overtakes
        # an append would look like a gap in the log.
        prev_index = peer.match_index if node.log.holds(peer.match_index) else 0
        _send_append(node, peer, prev_index, (), now_s)


def replicate(node: Node, now_s: float) -> None:
    """Send each peer the entries that it lacks, one batch at a time.

    New entries accumulate while a batch is in flight, so batches grow with the load
    and the round-trip time.
    """
    for peer in node.peers.values():
        is_waiting = peer.in_flight_index and now_s < peer.resend_at_s
        if not is_waiting:
            peer.is_resent = bool(peer.in_flight_index)
        if is_waiting or peer.match_index >= node.log.last_index:
            continue
        if node.log.holds(peer.next_index - 1):
            _send_batch(node, peer, now_s)
        else:
            _send_snapshot(node, peer, now_s)


def on_append(node: Node, message: dict, now_s: float) -> None:
    """Append a leader's entries, or reply where the logs conflict."""
    if message["term"] < node.term:
        reject_stale_leader(node, message)
        return
    accept_leader(node, message, now_s)
    prev_index, prev_term = message["prev_index"], message["prev_term"]
    if prev_index > node.commit_index and not _matches(node, prev_index, prev_term):
        _reply_conflict(node, message)
        return
    entries = message["entries"]
    _append_entries(node, entries)
    last_index = prev_index + len(entries)
    node.verified_index = max(node.verified_index, last_index)
    node.commit_index = max(node.commit_index, min(message["commit"], last_index))
    if not entries or last_index <= node.persisted_index:
        acknowledge(node)


def acknowledge(node: Node) -> None:
    """Report to the leader how much of its log is on this disk.

    Only synced entries are reported. If an entry were committed on copies in memory, a
    power loss could undo it.
    """
    if node.role == LEADER or node.leader is None or not is_vote_persisted(node):
        return
    _reply(
        node,
        node.leader,
        ok=True,
        synced=min(node.verified_index, node.persisted_index),
    )


def on_append_reply(node: Node, message: dict, now_s: float) -> None:
    """Record what a peer has synced, or move back to where its log matches."""
    peer = node.peers.get(message["disk_id"])
    if node.role != LEADER or message["term"] != node.term or peer is None:
        return
    if peer.voter.vm != message["vm"]:
        return
    peer.acked_s = max(peer.acked_s, message["sent_s"])
    peer.round = max(peer.round, message["round"])
    if not message["ok"]:
        _rewind_peer(node, peer, message)
        return
    peer.match_index = max(peer.match_index, message["synced"])
    if peer.match_index >= peer.in_flight_index:
        peer.in_flight_index = 0
        peer.next_index = max(peer.next_index, peer.match_index + 1)
    elif message["sent_s"] > peer.batch_sent_s and not peer.is_resent:
        # The peer answered a later message and messages arrive in order, so the batch
        # was lost: it was sent before the peer had started, as after a power loss.
        peer.resend_at_s = now_s


def accept_leader(node: Node, message: dict, now_s: float) -> None:
    """Follow the sender as this term's leader. Raises ProtocolError if leading too."""
    if node.role == LEADER:
        raise ProtocolError(f"{message['vm']} leads in term {node.term} as well")
    become_follower(node, now_s)
    node.leader = Voter(message["vm"], message["disk_id"], message["address"])
    node.last_seen_s = now_s
    node.leader_round = max(node.leader_round, message["round"])
    node.leader_sent_s = max(node.leader_sent_s, message["sent_s"])
    node.fast_elections_left = 0
    reset_election_timer(node, now_s)


def _send_batch(node, peer, now_s):
    first = peer.next_index
    end = min(node.log.last_index + 1, first + MAX_BATCH_ENTRIES)
    entries = _limit_batch(node.log.slice(first, end))
    peer.in_flight_index = first + len(entries) - 1
    peer.batch_sent_s = now_s
    peer.resend_at_s = now_s + RESEND_HEARTBEATS * node.timing.heartbeat_s
    _send_append(node, peer, first - 1, entries, now_s)


def _limit_batch(entries):
    characters = 0
    for count, entry in enumerate(entries):
        characters += len(entry.payload)
        if characters > MAX_BATCH_CHARACTERS:
            return entries[: max(1, count)]
    return entries


def _send_append(node, peer, prev_index, entries, now_s):
    last_index = prev_index + len(entries)
    send(
        node,
        peer.voter,
        APPEND,
        prev_index=prev_index,
        prev_term=node.log.term_at(prev_index) if prev_index else 0,
        entries=[list(entry) for entry in entries],
        commit=min(node.commit_index, last_index),
        round=node.round,
        sent_s=now_s,
    )


def _send_snapshot(node, peer, now_s):
    snapshot = node.snapshot
    peer.in_flight_index = snapshot.index
    # Disables the early resend: a snapshot takes long and is too large to send twice.
    peer.is_resent = True
    wait_s = RESEND_SNAPSHOT_HEARTBEATS * node.timing.heartbeat_s
    peer.resend_at_s = now_s + wait_s
    send(
        node,
        peer.voter,
        INSTALL_SNAPSHOT,
        index=snapshot.index,
        index_term=snapshot.term,
        voter_set=voters.to_lists(snapshot.voter_set),
        data=snapshot.data,
        round=node.round,
        sent_s=now_s,
    )


def reject_stale_leader(node, message):
    target = Voter(message["vm"], message["disk_id"], message["address"])
    _reply(node, target, ok=False)


def _matches(node, index, term):
    return node.log.holds(index) and node.log.term_at(index) == term


def _append_entries(node, entries: list[Entry]):
    for entry in entries:
        if entry.index <= node.log.base_index:
            continue
        if node.log.holds(entry.index):
            if node.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= node.commit_index:
                raise ProtocolError(f"committed entry {entry.index} would be undone")
            truncate(node, entry.index)
        append(node, entry)


def _reply_conflict(node, message):
    """Reply with the first index of the conflicting term, to skip whole terms."""
    prev_index = message["prev_index"]
    if prev_index > node.log.last_index:
        conflict_index, conflict_term = node.log.last_index + 1, 0
    else:
        conflict_index = node.log.first_of_term(prev_index)
        conflict_term = node.log.term_at(prev_index)
    _reply(
        node,
        node.leader,
        ok=False,
        prev_index=prev_index,
        conflict_index=conflict_index,
        conflict_term=conflict_term,
    )


def _reply(node, target, **fields):
    reply = {
        "synced": 0,
        "prev_index": 0,
        "conflict_index": 0,
        "conflict_term": 0,
        "round": node.leader_round,
        "sent_s": node.leader_sent_s,
    }
    send(node, target, APPEND_REPLY, **(reply | fields))


def _rewind_peer(node, peer, message):
    prev_index = message["prev_index"]
    # Any other reply belongs to an append that has been superseded.
    if prev_index != peer.next_index - 1 or prev_index <= peer.match_index:
        return
    next_index = message["conflict_index"]
    if message["conflict_term"]:
        shared = node.log.last_of_term(message["conflict_term"])
        next_index = shared + 1 if shared else next_index
    peer.next_index = max(peer.match_index + 1, min(next_index, prev_index))
    peer.in_flight_index = 0
