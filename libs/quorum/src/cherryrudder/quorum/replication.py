"""How the leader's log reaches the followers, and when an entry is committed."""

from . import voters
from .errors import ProtocolError
from .events import Entry, Voter
from .messages import APPEND, APPEND_REPLY, INSTALL
from .node import (
    LEADER,
    Node,
    Peer,
    follow,
    is_saved,
    reset_election,
    send,
)
from .writes import append, truncate

# One append fills a few packets and takes about a millisecond to encode; a longer one
# would hold up heartbeats behind it on the one loop. Catching up on 1,000 entries is
# then 16 round trips.
MAX_BATCH_ENTRIES = 64
MAX_BATCH_CHARACTERS = 256 * 1024
# Answers wait for a sync at the follower, which may take some heartbeats on a slow
# disk. A lost append costs this long; sending sooner only doubles what isn't lost.
RESEND_HEARTBEATS = 4
# A snapshot is written as a whole before it is answered.
RESEND_SNAPSHOT_HEARTBEATS = 20


def sync_peers(node: Node, now_s: float) -> None:
    """Follow a change of the voter set in the leader's list of peers."""
    wanted = {
        member.disk_id: member
        for member in voters.members(node.voter_set)
        if member.disk_id != node.me.disk_id
    }
    for disk_id in set(node.peers) - set(wanted):
        del node.peers[disk_id]
    for disk_id, member in wanted.items():
        if disk_id not in node.peers:
            node.peers[disk_id] = Peer(member, node.log.last_index + 1, now_s)


def begin_round(node: Node, now_s: float) -> None:
    """Send a heartbeat to all; its answers confirm leadership as of now."""
    node.round += 1
    node.heartbeat_at_s = now_s + node.timing.heartbeat_s
    for peer in node.peers.values():
        # A place in the log that the peer is known to share, so that a heartbeat
        # that overtakes an append is never taken for a gap.
        prev_index = peer.match if node.log.holds(peer.match) else 0
        _send_append(node, peer, prev_index, (), now_s)


def replicate(node: Node, now_s: float) -> None:
    """Send each peer what it lacks, one batch at a time.

    While a batch is on its way, new entries gather for the next one, so batches grow
    with the load and with the round trip.
    """
    for peer in node.peers.values():
        waits = peer.outstanding and now_s < peer.resend_at_s
        if not waits:
            peer.is_resent = bool(peer.outstanding)
        if waits or peer.match >= node.log.last_index:
            continue
        if node.log.holds(peer.next_index - 1):
            _send_batch(node, peer, now_s)
        else:
            _send_snapshot(node, peer, now_s)


def on_append(node: Node, message: dict, now_s: float) -> None:
    """Take a leader's entries, or say where the logs differ."""
    if message["term"] < node.term:
        refuse_old_leader(node, message)
        return
    accept_leader(node, message, now_s)
    prev_index, prev_term = message["prev_index"], message["prev_term"]
    if prev_index > node.commit and not _agrees(node, prev_index, prev_term):
        _reply_conflict(node, message)
        return
    entries = message["entries"]
    _take_entries(node, entries)
    last_index = prev_index + len(entries)
    node.verified = max(node.verified, last_index)
    node.commit = max(node.commit, min(message["commit"], last_index))
    if not entries or last_index <= node.persisted:
        acknowledge(node)


def acknowledge(node: Node) -> None:
    """Tell the leader what of its log is on this disk.

    Only what is synced is told: were an entry committed on copies in memory, a power
    cut could take it back.
    """
    if node.role == LEADER or node.leader is None or not is_saved(node):
        return
    _reply(node, node.leader, ok=True, synced=min(node.verified, node.persisted))


def on_append_reply(node: Node, message: dict, now_s: float) -> None:
    """Take note of what a peer has synced, or go back to where it agrees."""
    peer = node.peers.get(message["disk_id"])
    if node.role != LEADER or message["term"] != node.term or peer is None:
        return
    if peer.voter.vm != message["vm"]:
        return
    peer.acked_s = max(peer.acked_s, message["sent_s"])
    peer.round = max(peer.round, message["round"])
    if not message["ok"]:
        _back_up(node, peer, message)
        return
    peer.match = max(peer.match, message["synced"])
    if peer.match >= peer.outstanding:
        peer.outstanding = 0
        peer.next_index = max(peer.next_index, peer.match + 1)
    elif message["sent_s"] > peer.batch_sent_s and not peer.is_resent:
        # It has answered a later message, and messages arrive in order: the batch went
        # while the peer was not there yet, as after a loss of power.
        peer.resend_at_s = now_s


def accept_leader(node: Node, message: dict, now_s: float) -> None:
    """Follow the sender as this term's leader."""
    if node.role == LEADER:
        raise ProtocolError(f"{message['vm']} leads in term {node.term} as well")
    follow(node, now_s)
    node.leader = Voter(message["vm"], message["disk_id"], message["address"])
    node.last_seen_s = now_s
    node.leader_round = max(node.leader_round, message["round"])
    node.leader_sent_s = max(node.leader_sent_s, message["sent_s"])
    node.hurried_tries = 0
    reset_election(node, now_s)


def _send_batch(node, peer, now_s):
    first = peer.next_index
    end = min(node.log.last_index + 1, first + MAX_BATCH_ENTRIES)
    entries = _limit(node.log.slice(first, end))
    peer.outstanding = first + len(entries) - 1
    peer.batch_sent_s = now_s
    peer.resend_at_s = now_s + RESEND_HEARTBEATS * node.timing.heartbeat_s
    _send_append(node, peer, first - 1, entries, now_s)


def _limit(entries):
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
        commit=min(node.commit, last_index),
        round=node.round,
        sent_s=now_s,
    )


def _send_snapshot(node, peer, now_s):
    snapshot = node.snapshot
    peer.outstanding = snapshot.index
    # It takes long by itself, and is too large to be sent twice for nothing.
    peer.is_resent = True
    wait_s = RESEND_SNAPSHOT_HEARTBEATS * node.timing.heartbeat_s
    peer.resend_at_s = now_s + wait_s
    send(
        node,
        peer.voter,
        INSTALL,
        index=snapshot.index,
        index_term=snapshot.term,
        voter_set=voters.to_plain(snapshot.voter_set),
        data=snapshot.data,
        round=node.round,
        sent_s=now_s,
    )


def refuse_old_leader(node, message):
    target = Voter(message["vm"], message["disk_id"], message["address"])
    _reply(node, target, ok=False)


def _agrees(node, index, term):
    return node.log.holds(index) and node.log.term_at(index) == term


def _take_entries(node, entries: list[Entry]):
    for entry in entries:
        if entry.index <= node.log.base_index:
            continue
        if node.log.holds(entry.index):
            if node.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= node.commit:
                raise ProtocolError(f"committed entry {entry.index} would be undone")
            truncate(node, entry.index)
        append(node, entry)


def _reply_conflict(node, message):
    """Name the first entry of the term that differs, so whole terms are skipped."""
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


def _back_up(node, peer, message):
    prev_index = message["prev_index"]
    # Anything else answers an append that has been superseded since.
    if prev_index != peer.next_index - 1 or prev_index <= peer.match:
        return
    next_index = message["conflict_index"]
    if message["conflict_term"]:
        shared = node.log.last_of_term(message["conflict_term"])
        next_index = shared + 1 if shared else next_index
    peer.next_index = max(peer.match + 1, min(next_index, prev_index))
    peer.outstanding = 0
