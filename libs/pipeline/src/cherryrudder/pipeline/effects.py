"""Effects that the entry's and the sidecar's state machines return to the daemon.

The daemon must carry out the effects of one request in the given order. If a `Compute`
ran before the `FreeKv` ahead of it, the engine would lose the new KV.
"""

from typing import NamedTuple


class SendTo(NamedTuple):
    """Send a message over the frame link to an address, in order for each address."""

    address: str
    message: NamedTuple


class Compute(NamedTuple):
    """Run the engine's layers; call `stage.computed` or `stage.compute_failed`."""

    request: str
    model: str
    position: int
    inputs: tuple[str, ...]
    priority: int


class FreeKv(NamedTuple):
    """Drop the engine's KV of a request, if it has any."""

    request: str


class ExportKv(NamedTuple):
    """Export the engine's KV; call `handover.exported`, with "" if it failed."""

    request: str


class ImportKv(NamedTuple):
    """Import KV into the engine; call `handover.imported`."""

    request: str
    kv: str


class Deliver(NamedTuple):
    """Pass tokens to the caller; `last` ends the answer."""

    tokens: tuple[str, ...]
    last: bool


class NeedStage(NamedTuple):
    """Find an endpoint for a range; call `request.replace` or `request.no_stage`."""

    first_layer: int
    end_layer: int
    exclude: tuple[str, ...]


class Finished(NamedTuple):
    """The request has ended and its state can be dropped."""


class Fail(NamedTuple):
    """Report to the caller that the request failed; `Finished` follows."""

    message: str
