"""Errors of the stand-ins; their text is sent to the caller as `error`."""

from cherryrudder.model.errors import CherryrudderError


class FakesError(CherryrudderError):
    """Base class of the stand-ins' errors."""


class StepRefused(FakesError):
    """The engine refuses to run a step."""


class OrderRefused(FakesError):
    """The engine refuses to apply an order."""


class KvRefused(FakesError):
    """The engine cannot export or import a request's KV."""
