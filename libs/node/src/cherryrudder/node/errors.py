"""Errors of the entry and control processes."""

from cherryrudder.model.errors import CherryrudderError


class NodeError(CherryrudderError):
    """Base class of the errors of the entry and control processes."""


class StartError(NodeError):
    """The process cannot start; the message is one line for the operator."""


class EngineCallFailed(NodeError):
    """An engine gave no usable answer to one of the router's own calls.

    `paused_s` is how long this process did not run during the call, as far as known.
    """

    def __init__(self, message: str, paused_s: float = 0.0):
        super().__init__(message)
        self.paused_s = paused_s
