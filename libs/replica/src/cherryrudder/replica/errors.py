"""Errors of running a voter."""

from cherryrudder.model.errors import CherryrudderError


class ReplicaError(CherryrudderError):
    """Base of the errors of this library."""


class NoQuorum(ReplicaError):
    """No majority of the control VMs could be reached in time."""


class VoterFailed(ReplicaError):
    """The voter must stop: its disk failed or another voter broke the protocol."""
