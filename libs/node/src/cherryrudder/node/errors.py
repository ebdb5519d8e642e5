"""Errors of the processes on the users' platform."""

from cherryrudder.model.errors import CherryrudderError


class NodeError(CherryrudderError):
    """Base of the processes' own errors."""


class StartError(NodeError):
    """Something without which the process cannot start; one line for the operator."""


class EngineCallFailed(NodeError):
    """An engine gave no usable answer to a call of this system's own."""
