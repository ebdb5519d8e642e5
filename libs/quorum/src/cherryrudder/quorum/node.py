"""State of one voter, and the basic operations that the core's modules share."""

import random
from typing import NamedTuple

from . import voters
from .events import Rejected, Send, Voter
from .log import Log
from .saved_state import SavedState, Snapshot, Timing, VoterSet

FOLLOWER = "follower"
PRE_CANDIDATE = "pre-candidate"
CANDIDATE = "candidate"
LEADER = "leader"


class Peer:
    """Replication state that the leader keeps for another member."""

    def __init__(self, voter: Voter, next_index: int, now_s: float):
        self.voter = voter
        self.next_index = next_index
        # Highest index that the peer has synced to its disk.
        self.match_index = 0
        # Send time of the latest message that the peer has answered.
        self.acked_s = now_s
        # Latest heartbeat round that the peer has answered.
        self.round = 0
        # Last index of the batch or snapshot in flight, or 0.
        self.in_flight_index = 0
        self.batch_sent_s = now_s
        self.resend_at_s = now_s
        # A batch is resent before its timeout at most once.
        self.is_resent = False


class Write(NamedTuple):
    """The write in progress; `last_index` is persisted once it is synced."""

    write_id: int
    term: int
    voted_for: str
    last_index: int


# With waits of 0.05 to 0.15 s these last 0.8 to 2.4 s. That covers a common power loss,
# after which control VMs start within half a second of each other.
FAST_ELECTIONS = 16


class Read(NamedTuple):
    """A pending read; `index` is None until the leader's commit index is valid."""

    read_id: str
    round: int
    index: int | None


class Node:
    """One voter or learner."""

    def __init__(
        self, me: Voter, saved: SavedState, timing: Timing, rng: random.Random
    ):
        self.me = me
        self.timing = timing
        self.rng = rng
        self.effects = []

        # State that is on disk or is being written.
        self.term = saved.term
        self.voted_for = saved.voted_for
        self.snapshot: Snapshot | None = saved.snapshot
        self.log = _open_log(saved)
        # Voter sets by entry index; the last one is in force, committed or not.
        self.voter_sets: list[tuple[int, VoterSet]] = _open_voter_sets(saved)

        # The part of it that is synced.
        self.persisted_term = saved.term
        self.persisted_vote = saved.voted_for
        self.persisted_index = self.log.last_index
        self.truncate_from: int | None = None
        self.unsaved_snapshot: Snapshot | None = None
        self.write: Write | None = None
        self.write_id = 0
        self.unsent: list[Send] = []

        self.role = FOLLOWER
        self.leader: Voter | None = None
        self.last_seen_s = 0.0
        self.election_at_s = 0.0
        # Remaining elections with a short timeout; 0 after contact with a leader.
        self.fast_elections_left = FAST_ELECTIONS
        self.votes: set[str] = set()
        self.commit_index = self.log.base_index
        self.applied_index = self.log.base_index
        self.snapshot_requested = False

        # Follower: the log is known to match the leader's up to this index.
        self.verified_index = 0
        self.leader_round = 0
        self.leader_sent_s = 0.0

        # Leader.
        self.peers: dict[str, Peer] = {}
        self.round = 0
        self.heartbeat_at_s = 0.0
        self.proposals: dict[int, str] = {}
        self.reads: list[Read] = []

    @property
    def voter_set(self) -> VoterSet:
        """Return the newest voter set, committed or not."""
        return self.voter_sets[-1][1]


def is_voter(node: Node) -> bool:
    """Return whether this VM with this disk is in the voter set."""
    return voters.is_voter(node.voter_set, node.me.vm, node.me.disk_id)


def emit(node: Node, effect) -> None:
    """Add an effect to those of the current event."""
    node.effects.append(effect)


def send(node: Node, target: Voter, kind: str, **fields) -> None:
    """Send a message now."""
    emit(node, _message(node, target, kind, fields))


def send_when_vote_persisted(node: Node, target: Voter, kind: str, **fields) -> None:
    """Send a message once term and vote are synced.

    A vote that is sent before it is synced can be lost in a crash. The voter could
    then vote again in the same term, and the term could have two leaders.
    """
    message = _message(node, target, kind, fields)
    if is_vote_persisted(node):
        emit(node, message)
    else:
        node.unsent.append(message)


def is_vote_persisted(node: Node) -> bool:
    """Return whether the current term and vote are synced."""
    return node.persisted_term == node.term and node.persisted_vote == node.voted_for


def reset_election_timer(node: Node, now_s: float) -> None:
    """Set a new random election timeout.

    After a power loss of all voters no leader exists, and callers would wait for a
    whole election timeout. So the first timeouts after a start are shorter. They don't
    disturb a working leader, as the other voters refuse the pre-vote, and a voter that
    reaches no other returns to normal timeouts after `FAST_ELECTIONS` attempts.
    """
    timing = node.timing
    if node.fast_elections_left and timing.first_election_max_s:
        node.fast_elections_left -= 1
        wait_s = node.rng.uniform(
            timing.first_election_min_s, timing.first_election_max_s
        )
    else:
        wait_s = node.rng.uniform(timing.election_min_s, timing.election_max_s)
    node.election_at_s = now_s + wait_s


def set_term(node: Node, term: int, now_s: float) -> None:
    """Enter a later term as a follower that has not voted."""
    become_follower(node, now_s)
    node.term = term
    node.voted_for = ""
    node.leader = None
    node.verified_index = 0
    node.leader_round = 0
    node.leader_sent_s = 0.0
    # Messages of the old term would be rejected now.
    node.unsent.clear()


def become_follower(node: Node, now_s: float) -> None:
    """Become a follower; a leader rejects its pending reads and proposals."""
    was_leader = node.role == LEADER
    node.role = FOLLOWER
    node.votes = set()
    if not was_leader:
        return
    node.leader = None
    reset_election_timer(node, now_s)
    for read in node.reads:
        emit(node, Rejected(read.read_id, "", True))
    # Not certain: the entries stay in the log and a later leader may commit them.
    for proposal_id in node.proposals.values():
        emit(node, Rejected(proposal_id, "", False))
    node.reads = []
    node.proposals = {}
    node.peers = {}


def leader_address(node: Node) -> str:
    """Return the address of the current leader, or "" if none is known."""
    return node.leader.address if node.leader else ""


def _message(node, target, kind, fields):
    header = {
        "type": kind,
        "cluster": node.voter_set.cluster,
        "term": node.term,
        "vm": node.me.vm,
        "disk_id": node.me.disk_id,
        "address": node.me.address,
        "to": target.disk_id,
    }
    return Send(target.vm, target.address, header | fields)


def _open_log(saved):
    if saved.snapshot is None:
        return Log(entries=saved.entries)
    return Log(saved.snapshot.index, saved.snapshot.term, saved.entries)


def _open_voter_sets(saved):
    if saved.snapshot is not None:
        first = (saved.snapshot.index, saved.snapshot.voter_set)
    else:
        identity = saved.identity
        first = (0, VoterSet(identity.cluster, tuple(identity.voters)))
    later = [
        (e.index, voters.decode(e.payload))
        for e in saved.entries
        if is_voter_set_entry(e)
    ]
    return [first, *later]


def is_voter_set_entry(entry) -> bool:
    """Return whether an entry holds a voter set."""
    return entry.kind == "voters"
