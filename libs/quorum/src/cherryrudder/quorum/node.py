"""The state of one voter, and the small steps that every part of the core shares."""

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
    """The leader's view of another member."""

    def __init__(self, voter: Voter, next_index: int, now_s: float):
        self.voter = voter
        self.next_index = next_index
        # Highest index that the peer has on its synced disk.
        self.match = 0
        # When the newest message that the peer has answered was sent.
        self.acked_s = now_s
        self.round = 0
        # Last index of the batch or snapshot that waits for an answer, or 0.
        self.outstanding = 0
        self.batch_sent_s = now_s
        self.resend_at_s = now_s
        # A batch is sent a second time before its time is over at most once.
        self.is_resent = False


class Write(NamedTuple):
    """The write that the disk is busy with; `last_index` counts once it is synced."""

    write_id: int
    term: int
    voted_for: str
    last_index: int


# With waits of 0.05 to 0.15 s these last 0.8 to 2.4 s; control VMs that lost power
# together start within half a second of each other.
HURRIED_TRIES = 16


class Read(NamedTuple):
    """A read that waits; `index` is None until the leader knows what is committed."""

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

        # On the disk, or on its way there.
        self.term = saved.term
        self.voted_for = saved.voted_for
        self.snapshot: Snapshot | None = saved.snapshot
        self.log = _open_log(saved)
        # Voter sets by the index of their entry; the last one counts, committed or not.
        self.voter_sets: list[tuple[int, VoterSet]] = _open_voter_sets(saved)

        # What of it is synced.
        self.saved_term = saved.term
        self.saved_vote = saved.voted_for
        self.persisted = self.log.last_index
        self.truncate_from: int | None = None
        self.unsaved_snapshot: Snapshot | None = None
        self.write: Write | None = None
        self.write_id = 0
        self.held: list[Send] = []

        self.role = FOLLOWER
        self.leader: Voter | None = None
        self.last_seen_s = 0.0
        self.election_at_s = 0.0
        # Campaigns that may come sooner than others, until a leader was heard.
        self.hurried_tries = HURRIED_TRIES
        self.votes: set[str] = set()
        self.commit = self.log.base_index
        self.applied = self.log.base_index
        self.wants_snapshot = False

        # As a follower: how far the log is known to agree with the leader's.
        self.verified = 0
        self.leader_round = 0
        self.leader_sent_s = 0.0

        # As a leader.
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
    """Tell whether this VM with this disk is in the voter set."""
    return voters.is_voter(node.voter_set, node.me.vm, node.me.disk_id)


def emit(node: Node, effect) -> None:
    """Add an effect to those of the present event."""
    node.effects.append(effect)


def send(node: Node, target: Voter, kind: str, **fields) -> None:
    """Send a message now."""
    emit(node, _message(node, target, kind, fields))


def send_when_saved(node: Node, target: Voter, kind: str, **fields) -> None:
    """Send a message once term and vote are synced.

    A vote that is sent first and forgotten in a crash could be given a second time in
    the same term, and two leaders would stand in it.
    """
    message = _message(node, target, kind, fields)
    if is_saved(node):
        emit(node, message)
    else:
        node.held.append(message)


def is_saved(node: Node) -> bool:
    """Tell whether the present term and vote are synced."""
    return node.saved_term == node.term and node.saved_vote == node.voted_for


def reset_election(node: Node, now_s: float) -> None:
    """Wait a new random time before the next campaign.

    Failure: all voters lose power and start again, and each waits for a leader that
    none of them is; callers wait the election time more. So the first campaigns come
    sooner. Where a leader is at work the others refuse the pre-vote, and a voter that
    reaches nobody stops hurrying after some tries.
    """
    timing = node.timing
    if node.hurried_tries and timing.first_max_s:
        node.hurried_tries -= 1
        wait_s = node.rng.uniform(timing.first_min_s, timing.first_max_s)
    else:
        wait_s = node.rng.uniform(timing.election_min_s, timing.election_max_s)
    node.election_at_s = now_s + wait_s


def set_term(node: Node, term: int, now_s: float) -> None:
    """Enter a later term as a follower who has not voted."""
    follow(node, now_s)
    node.term = term
    node.voted_for = ""
    node.leader = None
    node.verified = 0
    node.leader_round = 0
    node.leader_sent_s = 0.0
    # What was to be sent in the old term would only be refused now.
    node.held.clear()


def follow(node: Node, now_s: float) -> None:
    """Become a follower; a leader gives up its reads and proposals."""
    was_leader = node.role == LEADER
    node.role = FOLLOWER
    node.votes = set()
    if not was_leader:
        return
    node.leader = None
    reset_election(node, now_s)
    for read in node.reads:
        emit(node, Rejected(read.read_id, "", True))
    # The entries stay in the log, and a later leader may still commit them.
    for proposal_id in node.proposals.values():
        emit(node, Rejected(proposal_id, "", False))
    node.reads = []
    node.proposals = {}
    node.peers = {}


def leader_address(node: Node) -> str:
    """Return where the leader is thought to be, or nothing."""
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
    later = [(e.index, voters.decode(e.payload)) for e in saved.entries if is_set(e)]
    return [first, *later]


def is_set(entry) -> bool:
    """Tell whether an entry is a voter set."""
    return entry.kind == "voters"
