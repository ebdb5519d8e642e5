"""State of the state machine, and the records in it."""

from typing import NamedTuple

from cherryrudder.model.revisions import (
    VersionedContract,
    VersionedSetting,
    VersionedStop,
)

from .commands import Answer, Claim, FenceAnswer


class KeptAnswer(NamedTuple):
    """The first answer to a change id, and the digest of its request."""

    digest: str
    answer: Answer
    at_s: float


class KeptFence(NamedTuple):
    """The first answer to the request id of a `TakeFence`."""

    answer: FenceAnswer
    at_s: float


class HeldClaim(NamedTuple):
    """A claim, the time of its last change, and earlier attempts that did not run."""

    claim: Claim
    touched_s: float
    not_run_attempts: tuple[str, ...] = ()


class State:
    """The whole state after the records applied so far.

    `revision` is the log index of the last configuration change. `now_s` is the time
    elapsed according to the log; `clock_s` is the last reading of a leader's clock.
    Claims, changes and fence requests are ordered by their last change, oldest first,
    so that expired and surplus ones are dropped from the front.
    """

    def __init__(self):
        self.applied_index = 0
        self.revision = 0
        self.now_s = 0.0
        self.clock_s: float | None = None
        self.contracts: dict[str, VersionedContract] = {}
        self.stops: dict[str, VersionedStop] = {}
        self.cancelled: dict[str, int] = {}
        self.cancelled_floor = 0
        self.settings: dict[str, VersionedSetting] = {}
        self.changes: dict[str, KeptAnswer] = {}
        self.claims: dict[tuple[str, str], HeldClaim] = {}
        self.claim_weights: dict[str, int] = {}
        self.fences: dict[str, int] = {}
        self.fence_requests: dict[str, KeptFence] = {}
