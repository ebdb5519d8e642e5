"""Errors of the state machine."""

from cherryrudder.model.errors import CherryrudderError


class StateError(CherryrudderError):
    """Base of the errors of this library."""


class SnapshotError(StateError):
    """The snapshot is damaged or in a format that this version cannot read."""
