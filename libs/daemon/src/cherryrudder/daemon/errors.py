"""Errors of the daemon's roles."""

from cherryrudder.model.errors import CherryrudderError


class DaemonError(CherryrudderError):
    """Base of the daemon's own errors."""


class StartError(DaemonError):
    """Something without which the process cannot start; one line for the operator."""


class NoQuorum(DaemonError):
    """No majority of the control VMs could be reached in time."""


class VoterFailed(DaemonError):
    """The voter's disk failed or another voter broke the protocol: it must stop."""
