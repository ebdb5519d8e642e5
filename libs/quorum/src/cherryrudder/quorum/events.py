"""Events that a voter's core processes and effects that it returns.

The core is `handle(node, event, now_s) -> list[Effect]` in `core`. The caller passes
in events and executes the effects in order: it writes and syncs `Persist` before it
sends any `Send` that follows, then passes in `Persisted`.
"""

from typing import NamedTuple


class Voter(NamedTuple):
    """A VM together with its disk; the same VM with another disk is another voter."""

    vm: str
    disk_id: str
    address: str


class Entry(NamedTuple):
    """One record of the log; `kind` is command, noop or voters."""

    index: int
    term: int
    kind: str
    payload: str


# Events.


class Tick(NamedTuple):
    """Time has passed; needed at least every half heartbeat interval."""


class Received(NamedTuple):
    """A message from another control VM, as carried by its `Send`."""

    sender: str
    message: dict


class Propose(NamedTuple):
    """A command to be appended; answered by `Committed` or `Rejected`."""

    proposal_id: str
    payload: str


class ReadIndex(NamedTuple):
    """Confirm leadership for a read; answered by `ReadReady` or `Rejected`."""

    read_id: str


class Persisted(NamedTuple):
    """The `Persist` or `SaveSnapshot` effect with this id is written and synced."""

    write_id: int


class ChangeVoters(NamedTuple):
    """Add a learner, promote it, or remove a voter; one at a time."""

    proposal_id: str
    action: str
    voter: Voter


class SnapshotTaken(NamedTuple):
    """The state machine's snapshot at an applied index, for log compaction."""

    index: int
    data: str


class TransferLeadership(NamedTuple):
    """This VM is about to stop; a leader asks its best follower to take over."""


# Effects.


class Send(NamedTuple):
    """A message for another control VM; it may be lost, duplicated or reordered."""

    vm: str
    address: str
    message: dict


class Persist(NamedTuple):
    """Write and sync, then pass in `Persisted`.

    If `truncate_from` is set, the log is truncated from that index first.
    """

    write_id: int
    term: int
    voted_for: str
    entries: tuple[Entry, ...]
    truncate_from: int | None = None


class Apply(NamedTuple):
    """Apply committed entries; each is emitted once and in order."""

    entries: tuple[Entry, ...]


class Committed(NamedTuple):
    """A proposal is committed at an index; its `Apply` precedes this effect."""

    proposal_id: str
    index: int


class Rejected(NamedTuple):
    """A proposal or read was rejected; `leader_address` may be empty.

    `certain` means that it was never appended and cannot take effect later. `reason`
    is set only if the leader itself refuses; a retry elsewhere is then pointless.
    """

    proposal_id: str
    leader_address: str
    certain: bool
    reason: str = ""


class ReadReady(NamedTuple):
    """A state applied up to `index` or later includes all changes before the read."""

    read_id: str
    index: int


class TakeSnapshot(NamedTuple):
    """Compact the log: pass in `SnapshotTaken` for the newest applied index."""


class SaveSnapshot(NamedTuple):
    """Write a snapshot to the disk, then drop the log up to its index."""

    write_id: int
    index: int
    term: int
    voters: tuple[Voter, ...]
    data: str
    learners: tuple[Voter, ...] = ()
    cluster: str = ""


class RestoreSnapshot(NamedTuple):
    """Replace the state machine's state by the snapshot."""

    index: int
    data: str
