"""Errors of driving the replicated log."""

from cherryrudder.model.errors import CherryrudderError


class ReplicaError(CherryrudderError):
    """Base of the driver's own errors."""


class NoQuorum(ReplicaError):
    """No majority of the control VMs could be reached in time."""


class VoterFailed(ReplicaError):
    """The voter's disk failed or another voter broke the protocol: it must stop."""
