"""What goes into the voter's core and what comes out of it.

The core is `handle(node, event, now_s) -> list[Effect]` in `core`. The daemon feeds
events and carries out effects in order: it writes and syncs `Persist` before it sends
any `Send` that follows, then feeds `Persisted`.
"""

from typing import NamedTuple


class Voter(NamedTuple):
    """A voter is a VM together with its disk; a VM with another disk is another one."""

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
    """Time has passed; feed one at least every half heartbeat."""


class Received(NamedTuple):
    """A message from another control VM, as `Send` carried it."""

    sender: str
    message: dict


class Propose(NamedTuple):
    """A command to be appended; the answer is `Proposed` or `Rejected`."""

    proposal_id: str
    payload: str


class ReadIndex(NamedTuple):
    """Confirm leadership for a read; the answer is `ReadReady` or `Rejected`."""

    read_id: str


class Persisted(NamedTuple):
    """Everything of one `Persist` effect is on the synced disk."""

    write_id: int


class ChangeVoters(NamedTuple):
    """Add a learner, promote it, or remove a voter; one at a time."""

    proposal_id: str
    action: str
    voter: Voter


class Snapshotted(NamedTuple):
    """The state machine's bytes at an applied index, for compaction."""

    index: int
    data: str


class TransferLeadership(NamedTuple):
    """This VM is about to stop: a leader asks its best follower to take over."""


# Effects.


class Send(NamedTuple):
    """A message for another control VM; lost, doubled and reordered at will."""

    vm: str
    address: str
    message: dict


class Persist(NamedTuple):
    """Write and sync, then feed `Persisted`; `truncate_from` drops a log tail first."""

    write_id: int
    term: int
    voted_for: str
    entries: tuple[Entry, ...]
    truncate_from: int | None = None


class Apply(NamedTuple):
    """Committed entries, each given once and in order."""

    entries: tuple[Entry, ...]


class Proposed(NamedTuple):
    """The proposal is committed at an index (the `Apply` comes first)."""

    proposal_id: str
    index: int


class Rejected(NamedTuple):
    """The proposal or read was not taken here; `leader_address` may be empty.

    `certain` says that it was never appended, so that it cannot take effect later.
    `reason` is set only when the leader itself refuses; trying again elsewhere is vain.
    """

    proposal_id: str
    leader_address: str
    certain: bool
    reason: str = ""


class ReadReady(NamedTuple):
    """The state at or past `index` is fresh as of the read's arrival."""

    read_id: str
    index: int


class WantSnapshot(NamedTuple):
    """The log is long: feed `Snapshotted` for the newest applied index."""


class SaveSnapshot(NamedTuple):
    """Put a snapshot on the disk, then drop the log up to its index."""

    write_id: int
    index: int
    term: int
    voters: tuple[Voter, ...]
    data: str
    learners: tuple[Voter, ...] = ()
    cluster: str = ""


class RestoreSnapshot(NamedTuple):
    """Replace the state machine by the snapshot's."""

    index: int
    data: str
