"""Errors of the daemon's roles."""

from cherryrudder.model.errors import CherryrudderError
from cherryrudder.replica.errors import NoQuorum, ReplicaError, VoterFailed

__all__ = ["DaemonError", "NoQuorum", "ReplicaError", "StartError", "VoterFailed"]


class DaemonError(CherryrudderError):
    """Base of the daemon's own errors."""


class StartError(DaemonError):
    """The process cannot start; the message is one line for the operator."""
