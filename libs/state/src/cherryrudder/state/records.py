"""What the state holds between two commands."""

from typing import NamedTuple

from cherryrudder.model.revisions import (
    VersionedContract,
    VersionedSetting,
    VersionedStop,
)

from .commands import Answer, Claim, FenceAnswer


class KeptAnswer(NamedTuple):
    """The first answer to a change id and the digest of what was asked."""

    digest: str
    answer: Answer
    at_s: float


class KeptFence(NamedTuple):
    """The first answer to a fence's request id."""

    answer: FenceAnswer
    at_s: float


class HeldClaim(NamedTuple):
    """A claim, its last change and the attempts that ended as not-run."""

    claim: Claim
    touched_s: float
    spent: tuple[str, ...] = ()


class State:
    """Everything that the log has decided so far.

    `revision` is the log index of the last configuration change. `now_s` counts the
    time that the log has seen pass; `clock_s` is the last reading of a leader's clock.
    The dicts of claims, changes and fence requests are in order of their last change,
    oldest first, so that what leaves by age or by number leaves from the front.
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
