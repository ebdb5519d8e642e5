"""What a voter finds on its disk when it starts, and its timing."""

from typing import NamedTuple

from .events import Entry, Voter


class VoterSet(NamedTuple):
    """Who votes and who only follows; `cluster` is empty before the disk has joined."""

    cluster: str = ""
    voters: tuple[Voter, ...] = ()
    learners: tuple[Voter, ...] = ()


class Identity(NamedTuple):
    """Who a disk is; `voters` is the first voter set, empty for a learner."""

    cluster: str
    vm: str
    disk_id: str
    address: str
    voters: tuple[Voter, ...]


class Snapshot(NamedTuple):
    """The state machine's bytes after the entry at `index`."""

    index: int
    term: int
    voter_set: VoterSet
    data: str


class SavedState(NamedTuple):
    """Everything that the disk holds; `entries` follow the snapshot without a gap."""

    identity: Identity
    term: int = 0
    voted_for: str = ""
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


class Timing(NamedTuple):
    """Waits of the protocol; `snapshot_entries` is the log length that asks for one."""

    heartbeat_s: float
    election_min_s: float
    election_max_s: float
    snapshot_entries: int
    # Of the first campaigns after a start; 0 for none that come sooner.
    first_min_s: float = 0.0
    first_max_s: float = 0.0
