"""Saved state from which a voter starts, and its timing."""

from typing import NamedTuple

from .events import Entry, Voter


class VoterSet(NamedTuple):
    """Voters and non-voting learners; `cluster` is empty until the disk has joined."""

    cluster: str = ""
    voters: tuple[Voter, ...] = ()
    learners: tuple[Voter, ...] = ()


class Identity(NamedTuple):
    """A disk's identity; `voters` is the initial voter set, empty for a learner."""

    cluster: str
    vm: str
    disk_id: str
    address: str
    voters: tuple[Voter, ...]


class Snapshot(NamedTuple):
    """The state machine's serialized state after the entry at `index`."""

    index: int
    term: int
    voter_set: VoterSet
    data: str


class SavedState(NamedTuple):
    """The disk's whole content; `entries` follow the snapshot without a gap."""

    identity: Identity
    term: int = 0
    voted_for: str = ""
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


class Timing(NamedTuple):
    """Timeouts of the protocol, and the log length that triggers a snapshot."""

    heartbeat_s: float
    election_min_s: float
    election_max_s: float
    snapshot_entries: int
    # Election timeout of the first elections after a start; 0 uses the normal one.
    first_election_min_s: float = 0.0
    first_election_max_s: float = 0.0
