"""Elections: pre-vote, vote, and a leader that steps down without a majority.

A VM that was cut off would come back with a high term and unseat a working leader if
it could campaign at will. So it first asks whether it would win (pre-vote), and those
who hear from a leader say no; terms rise only for elections that can succeed.
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
    follow,
    is_saved,
    is_voter,
    reset_election,
    send,
    send_when_saved,
    set_term,
)
from .replication import sync_peers
from .writes import append


def tick(node: Node, now_s: float) -> None:
    """Start a pre-vote when no leader has been heard for the election time."""
    if now_s < node.election_at_s:
        return
    reset_election(node, now_s)
    # A disk outside the voter set has no say: a VM that lost its disk must not lead
    # or be counted until the others have taken the new disk in.
    if is_voter(node):
        _start_pre_vote(node, now_s)


def campaign(node: Node, now_s: float, transfer: bool = False) -> None:
    """Ask for votes in the next term; the own vote counts once it is synced."""
    set_term(node, node.term + 1, now_s)
    node.role = CANDIDATE
    node.voted_for = node.me.disk_id
    reset_election(node, now_s)
    for voter in _others(node):
        send_when_saved(node, voter, VOTE, **_own_log(node), transfer=transfer)


def vote_saved(node: Node, now_s: float) -> None:
    """Count a candidate's own vote."""
    if node.role == CANDIDATE and is_saved(node):
        node.votes.add(node.me.disk_id)
        _tally(node, now_s)


def on_pre_vote(node: Node, message: dict, now_s: float) -> None:
    """Say whether a vote would be given; nothing is promised or saved."""
    granted = (
        message["term"] > node.term
        and not hears_leader(node, now_s)
        and _is_up_to_date(node, message)
    )
    reply_term = message["term"] if granted else node.term
    target = _sender(message)
    send(node, target, PRE_VOTE_REPLY, term=reply_term, granted=granted)


def on_pre_vote_reply(node: Node, message: dict, now_s: float) -> None:
    """Count a pre-vote."""
    if node.role != PRE_CANDIDATE or message["term"] != node.term + 1:
        return
    if message["granted"] and _counts(node, message):
        node.votes.add(message["disk_id"])
        _tally(node, now_s)


def on_vote(node: Node, message: dict, now_s: float) -> None:
    """Give the one vote of this term, or say no."""
    granted = (
        message["term"] == node.term
        and node.voted_for in ("", message["disk_id"])
        and node.role in (FOLLOWER, PRE_CANDIDATE)
        and node.leader is None
        and _is_up_to_date(node, message)
    )
    if granted:
        follow(node, now_s)
        node.voted_for = message["disk_id"]
        reset_election(node, now_s)
    send_when_saved(node, _sender(message), VOTE_REPLY, granted=granted)


def on_vote_reply(node: Node, message: dict, now_s: float) -> None:
    """Count a vote."""
    if node.role != CANDIDATE or message["term"] != node.term:
        return
    if message["granted"] and _counts(node, message):
        node.votes.add(message["disk_id"])
        _tally(node, now_s)


def on_timeout_now(node: Node, message: dict, now_s: float) -> None:
    """Campaign at once, as the leader that is about to stop has asked."""
    from_leader = node.leader and node.leader.disk_id == message["disk_id"]
    if message["term"] == node.term and from_leader and is_voter(node):
        campaign(node, now_s, transfer=True)


def hand_over(node: Node, now_s: float) -> None:
    """Ask the follower with the longest log to take over, and step down."""
    if node.role != LEADER:
        return
    peers = [peer for peer in node.peers.values() if _is_peer_voter(node, peer)]
    if peers:
        best = max(peers, key=lambda peer: (peer.match, peer.acked_s))
        send(node, best.voter, TIMEOUT_NOW)
    follow(node, now_s)


def check_quorum(node: Node, now_s: float) -> None:
    """Step down as a leader whom no majority has answered for the election time.

    A leader that is cut off or was frozen doesn't know that another one was elected.
    Were it to go on, its callers would wait for changes that can't be committed. An
    answer counts from when its question was sent, so old answers that a frozen
    process finds in its sockets don't keep it in office.
    """
    if node.role == LEADER and not _has_quorum(node, now_s):
        follow(node, now_s)


def hears_leader(node: Node, now_s: float) -> bool:
    """Tell whether a leader is at work as far as this VM knows."""
    if node.role == LEADER:
        return True
    recent = now_s - node.last_seen_s < node.timing.election_min_s
    return node.leader is not None and recent


def is_unfounded(node: Node) -> bool:
    """Tell whether this is a founder's disk that has never voted."""
    return node.term == 0 and node.log.last_index == 0 and is_voter(node)


def is_recreated(node: Node, message: dict) -> bool:
    """Tell whether a message shows that this disk was created a second time.

    An operator may create the disk of a founder that was lost in the same way as the
    first one, with the same disk id. It has forgotten its votes and entries, but the
    others would count it: accepted changes would vanish. A founder that has never
    voted can't hear of a leader or of entries, since the first leader had every
    founder's synced vote. So it keeps silent; such a VM has to join as a learner.
    """
    if not is_unfounded(node):
        return False
    if message["type"] in (PRE_VOTE, VOTE):
        return message["last_index"] > 0
    return message["type"] != PRE_VOTE_REPLY or not message["granted"]


def _start_pre_vote(node, now_s):
    node.role = PRE_CANDIDATE
    node.leader = None
    node.votes = {node.me.disk_id}
    for voter in _others(node):
        send(
            node,
            voter,
            PRE_VOTE,
            term=node.term + 1,
            **_own_log(node),
            transfer=False,
        )
    _tally(node, now_s)


def _votes_needed(node):
    """Return a majority, or all founders as long as the log is empty.

    So each founder has synced a vote before the first entry exists; see
    `is_recreated`, which rests on it.
    """
    if node.log.last_index == 0:
        return len(node.voter_set.voters)
    return voters.quorum_size(node.voter_set)


def _tally(node, now_s):
    if len(node.votes) < _votes_needed(node):
        return
    if node.role == PRE_CANDIDATE:
        campaign(node, now_s)
    else:
        _lead(node, now_s)


def _lead(node, now_s):
    node.role = LEADER
    node.leader = node.me
    node.hurried_tries = 0
    node.votes = set()
    node.round = 0
    node.heartbeat_at_s = now_s
    sync_peers(node, now_s)
    # Entries of earlier terms are committed only together with one of this term: a
    # majority of copies alone doesn't keep an older entry from being overwritten.
    append(node, Entry(node.log.last_index + 1, node.term, "noop", ""))


def _has_quorum(node, now_s):
    since_s = now_s - node.timing.election_min_s
    active = sum(is_active(node, voter, since_s) for voter in node.voter_set.voters)
    return active >= voters.quorum_size(node.voter_set)


def is_active(node: Node, voter: Voter, since_s: float) -> bool:
    """Tell whether a member has answered something sent since a time."""
    if voter.disk_id == node.me.disk_id:
        return True
    peer = node.peers.get(voter.disk_id)
    return peer is not None and peer.acked_s >= since_s


def _is_up_to_date(node, message):
    theirs = (message["last_term"], message["last_index"])
    return theirs >= (node.log.last_term, node.log.last_index)


def _own_log(node):
    return {"last_index": node.log.last_index, "last_term": node.log.last_term}


def _others(node):
    return [v for v in node.voter_set.voters if v.disk_id != node.me.disk_id]


def _counts(node, message):
    return voters.is_voter(node.voter_set, message["vm"], message["disk_id"])


def _is_peer_voter(node, peer):
    return voters.is_voter(node.voter_set, peer.voter.vm, peer.voter.disk_id)


def _sender(message):
    return Voter(message["vm"], message["disk_id"], message["address"])
