"""Errors of the entry and control processes."""

from cherryrudder.model.errors import CherryrudderError


class NodeError(CherryrudderError):
    """Base class of the errors of the entry and control processes."""


class StartError(NodeError):
    """The process cannot start; the message is one line for the operator."""


class EngineCallFailed(NodeError):
    """An engine gave no usable answer to one of the router's own calls.

    `paused_s` is how long this process did not run during the call, as far as known,
    and `is_unclear` that it was stopped for longer than the call's timeout.
    """

    def __init__(self, message: str, paused_s: float = 0.0, is_unclear: bool = False):
        super().__init__(message)
        self.paused_s = paused_s
        self.is_unclear = is_unclear
