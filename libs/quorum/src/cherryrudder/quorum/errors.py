"""Errors of the replicated log and of its files."""

from cherryrudder.model.errors import CherryrudderError


class QuorumError(CherryrudderError):
    """Base of the errors of this library."""


class ProtocolError(QuorumError):
    """Another voter broke the protocol; going on would undo an accepted entry."""


class DiskError(QuorumError):
    """The data folder cannot be used, or a write to it failed."""


class DiskUnavailable(DiskError):
    """The system refused to read or write; what the disk holds may be sound."""
