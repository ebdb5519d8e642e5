"""What the two cores ask the daemon to do.

The daemon carries out the effects of one request in the order given: an engine that
saw a `Compute` before the `FreeKv` ahead of it would lose the new KV.
"""

from typing import NamedTuple


class SendTo(NamedTuple):
    """Send a message over the frame link to an address, in order per address."""

    address: str
    message: NamedTuple


class Compute(NamedTuple):
    """Run the engine's layers; answer with `stage.computed` or `compute_failed`."""

    request: str
    model: str
    position: int
    inputs: tuple[str, ...]
    priority: int


class FreeKv(NamedTuple):
    """Drop the engine's KV of a request; harmless if it has none."""

    request: str


class Deliver(NamedTuple):
    """Give tokens to the caller; `last` closes the answer."""

    tokens: tuple[str, ...]
    last: bool


class NeedStage(NamedTuple):
    """Find an endpoint for a range; answer with `request.replace` or `no_stage`."""

    first_layer: int
    end_layer: int
    exclude: tuple[str, ...]


class Finished(NamedTuple):
    """The request has ended and its core may be dropped."""


class Fail(NamedTuple):
    """Tell the caller that the answer ends here; `Finished` follows."""

    message: str
