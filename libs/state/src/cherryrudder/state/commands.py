"""Commands in the replicated log, and their answers.

`machine.apply(state, index, payload)` is deterministic: the same log gives the same
state on every voter. Time comes from the log too, as `Clock` commands by the leader.
"""

from typing import NamedTuple

from cherryrudder.model.contracts import Contract
from cherryrudder.model.endpoints import Stop


class PutContract(NamedTuple):
    """Create (`expected_version` 0) or change a contract by compare-and-swap."""

    change_id: str
    expected_version: int
    contract: Contract


class AnnounceStop(NamedTuple):
    """Announce a planned stop."""

    change_id: str
    stop: Stop


class CancelStop(NamedTuple):
    """Cancel a planned stop."""

    change_id: str
    stop_id: str


class PutSetting(NamedTuple):
    """Set one platform-wide configuration value by compare-and-swap."""

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
    """Request the next fencing token of an endpoint."""

    request_id: str
    endpoint: str


class Clock(NamedTuple):
    """The leader's wall-clock time; claims and kept answers expire by it alone."""

    now_s: float


class Answer(NamedTuple):
    """Result of a command; `code` is ok, conflict, invalid, unknown or reused."""

    code: str
    message: str = ""
    version: int = 0
    revision: int = 0


class Claim(NamedTuple):
    """A claim in the state; `outcome` is empty while the call is open.

    `index` is the log index at which the attempt was granted; the sidecar's gate
    needs it.
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
    """Answer to `OpenClaim`; `granted` means that exactly this attempt may run.

    `code` is granted, exists (see `claim`), body-differs or full.
    """

    code: str
    claim: Claim


class FenceAnswer(NamedTuple):
    """Answer to `TakeFence`."""

    endpoint: str
    fence: int
