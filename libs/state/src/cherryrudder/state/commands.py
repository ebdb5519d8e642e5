"""The commands that the replicated log carries, and the answers to them.

`machine.apply(state, index, command)` is deterministic: the same log gives the same
state on every voter. Time comes from the log too, as `Clock` commands by the leader.
"""

from typing import NamedTuple

from cherryrudder.model.contracts import Contract
from cherryrudder.model.endpoints import Stop


class PutContract(NamedTuple):
    """Create (`expected_version` 0) or change a contract by compare-and-set."""

    change_id: str
    expected_version: int
    contract: Contract


class AnnounceStop(NamedTuple):
    """Announce a planned stop."""

    change_id: str
    stop: Stop


class CancelStop(NamedTuple):
    """Take a planned stop back."""

    change_id: str
    stop_id: str


class PutSetting(NamedTuple):
    """Set one platform-wide configuration value by compare-and-set."""

    change_id: str
    expected_version: int
    name: str
    value: str


class OpenClaim(NamedTuple):
    """Claim a non-idempotent call for one incarnation of one sidecar."""

    customer: str
    key: str
    body_sha256: str
    attempt_id: str
    service: str
    endpoint: str
    incarnation: str
    address: str


class CloseClaim(NamedTuple):
    """Record an attempt's outcome; `not-run` needs the sidecar's tombstone."""

    customer: str
    key: str
    attempt_id: str
    outcome: str
    status: int = 0
    body: str = ""


class TakeFence(NamedTuple):
    """Take the next fencing number of an endpoint."""

    request_id: str
    endpoint: str


class Clock(NamedTuple):
    """The leader's time; claims and change answers leave the state by it alone."""

    now_s: float


class Answer(NamedTuple):
    """What a command came to; `code` is ok, conflict, invalid, unknown or reused."""

    code: str
    message: str = ""
    version: int = 0
    revision: int = 0


class Claim(NamedTuple):
    """A claim as the state holds it; `outcome` is empty while the call is open.

    `index` is the log's at which the attempt was granted; the sidecar's gate needs it.
    """

    customer: str
    key: str
    body_sha256: str
    attempt_id: str
    service: str
    endpoint: str
    incarnation: str
    address: str
    outcome: str = ""
    status: int = 0
    body: str = ""
    index: int = 0


class ClaimAnswer(NamedTuple):
    """Answer to `OpenClaim`: `granted` says that this very attempt may run.

    `code` is granted, exists (see `claim`) or body-differs.
    """

    code: str
    claim: Claim


class FenceAnswer(NamedTuple):
    """Answer to `TakeFence`."""

    endpoint: str
    fence: int
