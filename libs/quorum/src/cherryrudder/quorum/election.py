"""Elections: pre-vote, vote, and leaders that step down without a majority.

Without a pre-vote, a VM that was partitioned would return with a high term and depose
a working leader. So a voter first asks whether it could win, and voters in contact
with a leader refuse. Terms rise only for elections that can succeed.
"""

from . import voters
from .events import Entry, Voter
from .messages import PRE_VOTE, PRE_VOTE_REPLY, TIMEOUT_NOW, VOTE, VOTE_REPLY
from .node import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
    PRE_CANDIDATE,
    Node,
    become_follower,
    is_vote_persisted,
    is_voter,
    reset_election_timer,
    send,
    send_when_vote_persisted,
    set_term,
)
from .replication import update_peers
from .writes import append


def tick(node: Node, now_s: float) -> None:
    """Start a pre-vote if the election timeout has passed without a leader."""
    if now_s < node.election_at_s:
        return
    reset_election_timer(node, now_s)
    # A disk outside the voter set may not campaign: a VM that lost its disk must
    # neither lead nor be counted until the others have added the new disk.
    if is_voter(node):
        _start_pre_vote(node, now_s)


def campaign(node: Node, now_s: float, transfer: bool = False) -> None:
    """Request votes in the next term; the own vote counts once it is synced."""
    set_term(node, node.term + 1, now_s)
    node.role = CANDIDATE
    node.voted_for = node.me.disk_id
    reset_election_timer(node, now_s)
    for voter in _other_voters(node):
        send_when_vote_persisted(
            node, voter, VOTE, **_last_entry_fields(node), transfer=transfer
        )


def on_vote_persisted(node: Node, now_s: float) -> None:
    """Count a candidate's own vote, which is now synced."""
    if node.role == CANDIDATE and is_vote_persisted(node):
        node.votes.add(node.me.disk_id)
        _count_votes(node, now_s)


def on_pre_vote(node: Node, message: dict, now_s: float) -> None:
    """Reply whether a vote would be granted; nothing is promised or saved."""
    granted = (
        message["term"] > node.term
        and not has_live_leader(node, now_s)
        and _is_up_to_date(node, message)
    )
    reply_term = message["term"] if granted else node.term
    target = _sender(message)
    send(node, target, PRE_VOTE_REPLY, term=reply_term, granted=granted)


def on_pre_vote_reply(node: Node, message: dict, now_s: float) -> None:
    """Count a granted pre-vote."""
    if node.role != PRE_CANDIDATE or message["term"] != node.term + 1:
        return
    if message["granted"] and _is_from_voter(node, message):
        node.votes.add(message["disk_id"])
        _count_votes(node, now_s)


def on_vote(node: Node, message: dict, now_s: float) -> None:
    """Grant the one vote of this term, or refuse it."""
    granted = (
        message["term"] == node.term
        and node.voted_for in ("", message["disk_id"])
        and node.role in (FOLLOWER, PRE_CANDIDATE)
        and node.leader is None
        and _is_up_to_date(node, message)
    )
    if granted:
        become_follower(node, now_s)
        node.voted_for = message["disk_id"]
        reset_election_timer(node, now_s)
    send_when_vote_persisted(node, _sender(message), VOTE_REPLY, granted=granted)


def on_vote_reply(node: Node, message: dict, now_s: float) -> None:
    """Count a granted vote."""
    if node.role != CANDIDATE or message["term"] != node.term:
        return
    if message["granted"] and _is_from_voter(node, message):
        node.votes.add(message["disk_id"])
        _count_votes(node, now_s)


def on_timeout_now(node: Node, message: dict, now_s: float) -> None:
    """Campaign at once, at the request of a leader that is about to stop."""
    from_leader = node.leader and node.leader.disk_id == message["disk_id"]
    if message["term"] == node.term and from_leader and is_voter(node):
        campaign(node, now_s, transfer=True)


def transfer_leadership(node: Node, now_s: float) -> None:
    """Ask the follower with the longest log to campaign, and step down."""
    if node.role != LEADER:
        return
    peers = [peer for peer in node.peers.values() if _is_peer_voter(node, peer)]
    if peers:
        best = max(peers, key=lambda peer: (peer.match_index, peer.acked_s))
        send(node, best.voter, TIMEOUT_NOW)
    become_follower(node, now_s)


def check_quorum(node: Node, now_s: float) -> None:
    """Step down if no majority has replied within the election timeout.

    A leader that was partitioned or frozen has no sign that another one was elected.
    If it continued, its callers would wait for changes that can't be committed. A
    reply counts from when its request was sent, so old replies in the sockets of a
    process that was frozen don't keep it leader.
    """
    if node.role == LEADER and not _has_quorum(node, now_s):
        become_follower(node, now_s)


def has_live_leader(node: Node, now_s: float) -> bool:
    """Return whether this VM leads or has had recent contact with the leader."""
    if node.role == LEADER:
        return True
    recent = now_s - node.last_seen_s < node.timing.election_min_s
    return node.leader is not None and recent


def is_awaiting_bootstrap(node: Node) -> bool:
    """Return whether this is the disk of an initial voter that has never voted."""
    return node.term == 0 and node.log.last_index == 0 and is_voter(node)


def is_recreated(node: Node, message: dict) -> bool:
    """Return whether a message proves that this disk was created a second time.

    An operator may recreate the lost disk of an initial voter under the same disk id.
    It lacks its votes and entries, but the others would count it and accepted changes
    could be lost. The first leader needs the synced vote of every initial voter, so a
    leader or entries can exist only if this voter has voted before. Such a disk
    answers nothing; its VM has to join as a learner.
    """
    if not is_awaiting_bootstrap(node):
        return False
    if message["type"] in (PRE_VOTE, VOTE):
        return message["last_index"] > 0
    return message["type"] != PRE_VOTE_REPLY or not message["granted"]


def _start_pre_vote(node, now_s):
    node.role = PRE_CANDIDATE
    node.leader = None
    node.votes = {node.me.disk_id}
    for voter in _other_voters(node):
        send(
            node,
            voter,
            PRE_VOTE,
            term=node.term + 1,
            **_last_entry_fields(node),
            transfer=False,
        )
    _count_votes(node, now_s)


def _votes_needed(node):
    """Return the size of a majority, or all initial voters while the log is empty.

    This makes every initial voter sync a vote before the first entry exists, which
    `is_recreated` relies on.
    """
    if node.log.last_index == 0:
        return len(node.voter_set.voters)
    return voters.quorum_size(node.voter_set)


def _count_votes(node, now_s):
    if len(node.votes) < _votes_needed(node):
        return
    if node.role == PRE_CANDIDATE:
        campaign(node, now_s)
    else:
        _become_leader(node, now_s)


def _become_leader(node, now_s):
    node.role = LEADER
    node.leader = node.me
    node.fast_elections_left = 0
    node.votes = set()
    node.round = 0
    node.heartbeat_at_s = now_s
    update_peers(node, now_s)
    # Entries of earlier terms are committed only together with one of this term:
    # copies on a majority alone don't protect an older entry from being overwritten.
    append(node, Entry(node.log.last_index + 1, node.term, "noop", ""))


def _has_quorum(node, now_s):
    since_s = now_s - node.timing.election_min_s
    active = sum(is_active(node, voter, since_s) for voter in node.voter_set.voters)
    return active >= voters.quorum_size(node.voter_set)


def is_active(node: Node, voter: Voter, since_s: float) -> bool:
    """Return whether a member has replied to a message sent at or after `since_s`."""
    if voter.disk_id == node.me.disk_id:
        return True
    peer = node.peers.get(voter.disk_id)
    return peer is not None and peer.acked_s >= since_s


def _is_up_to_date(node, message):
    theirs = (message["last_term"], message["last_index"])
    return theirs >= (node.log.last_term, node.log.last_index)


def _last_entry_fields(node):
    return {"last_index": node.log.last_index, "last_term": node.log.last_term}


def _other_voters(node):
    return [v for v in node.voter_set.voters if v.disk_id != node.me.disk_id]


def _is_from_voter(node, message):
    return voters.is_voter(node.voter_set, message["vm"], message["disk_id"])


def _is_peer_voter(node, peer):
    return voters.is_voter(node.voter_set, peer.voter.vm, peer.voter.disk_id)


def _sender(message):
    return Voter(message["vm"], message["disk_id"], message["address"])
