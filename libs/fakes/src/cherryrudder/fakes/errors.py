"""Errors of the stand-ins; their text is what the caller reads as `error`."""

from cherryrudder.model.errors import CherryrudderError


class FakesError(CherryrudderError):
    """Base of the stand-ins' errors."""


class StepRefused(FakesError):
    """A step that the engine does not run."""


class OrderRefused(FakesError):
    """An order that the engine does not follow."""


class KvRefused(FakesError):
    """KV that the engine cannot export or import."""
