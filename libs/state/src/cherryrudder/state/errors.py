"""Errors of the state machine."""

from cherryrudder.model.errors import CherryrudderError


class StateError(CherryrudderError):
    """Base of the state machine's errors."""


class SnapshotError(StateError):
    """A snapshot that this version cannot read."""
