"""Errors of the replicated log and of its files."""

from cherryrudder.model.errors import CherryrudderError


class QuorumError(CherryrudderError):
    """Base of the errors of this library."""


class ProtocolError(QuorumError):
    """Another voter broke the protocol; continuing would undo an accepted entry."""


class DiskError(QuorumError):
    """The data folder is unusable, or a write to it failed."""


class DiskUnavailable(DiskError):
    """The system refused a read, write or lock; the data may still be intact."""


class ForeignDisk(DiskUnavailable):
    """The data folder belongs to another VM and is kept."""
