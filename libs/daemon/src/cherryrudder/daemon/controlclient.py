"""Calls to the control VMs: uses the first that answers; followers ask the leader.

Every command carries an id that makes it idempotent, so that a retry at the next
control VM after a lost answer is safe.
"""

from typing import Any
from urllib.parse import urlencode

import anyio

from cherryrudder.state.commands import (
    Answer,
    Claim,
    ClaimAnswer,
    CloseClaim,
    OpenClaim,
)
from cherryrudder.wire.errors import StatusError, WireError

from .clock import now_s
from .errors import NoQuorum

# Longer than an election, so that a call survives the loss of the leader. Without a
# quorum the caller is refused after this timeout.
CALL_TIMEOUT_S = 3.0
TRY_TIMEOUT_S = 1.5
RETRY_PAUSE_S = 0.05
HTTP_SERVER_FAULT = 500


class ControlClient:
    """Calls the control VMs in order of preference."""

    def __init__(self, process):
        self.process = process
        self.addresses = list(process.settings.control.addresses)

    async def call(self, method, path, value, kind, timeout_s=CALL_TIMEOUT_S) -> Any:
        """Return the answer of the first control VM that gives one; raises NoQuorum."""
        deadline_s = now_s() + timeout_s
        while now_s() < deadline_s:
            for address in list(self.addresses):
                try_s = min(TRY_TIMEOUT_S, deadline_s - now_s())
                if try_s <= 0:
                    break
                url = f"http://{address}{path}"
                try:
                    client = self.process.client
                    return await client.call(method, url, value, kind, try_s)
                except StatusError as error:
                    if error.status < HTTP_SERVER_FAULT:
                        raise
                except WireError:
                    pass
                # Prefer the others from now on: this one is down or isolated.
                self.addresses.remove(address)
                self.addresses.append(address)
            # Refused connections fail at once; without a pause this loop would spin.
            await anyio.sleep(RETRY_PAUSE_S)
        raise NoQuorum("no control VM answered in time")

    async def open_claim(self, command: OpenClaim, timeout_s: float) -> ClaimAnswer:
        """Claim a call for one attempt."""
        return await self.call(
            "POST", "/v1/claims/open", command, ClaimAnswer, timeout_s
        )

    async def close_claim(self, command: CloseClaim, timeout_s: float) -> Answer:
        """Record an attempt's outcome."""
        return await self.call("POST", "/v1/claims/close", command, Answer, timeout_s)

    async def find_claim(self, customer: str, key: str) -> Claim | None:
        """Return the claim on a customer's key."""
        path = "/v1/claims?" + urlencode({"customer": customer, "key": key})
        answer = await self.call("GET", path, None, dict[str, Claim | None])
        return answer["claim"]


async def read_fence(process, endpoint: str) -> int:
    """Return the highest fencing number that was issued for an endpoint."""
    path = "/v1/fences?" + urlencode({"endpoint": endpoint})
    answer = await ControlClient(process).call("GET", path, None, dict[str, int])
    return answer["fence"]
