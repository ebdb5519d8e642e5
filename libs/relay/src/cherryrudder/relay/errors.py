"""Errors of the relay: what can go wrong on a connection."""

from cherryrudder.model.errors import CherryrudderError


class RelayError(CherryrudderError):
    """Base of the relay's own errors."""


class ClientGone(RelayError):
    """The client closed its connection or stopped reading."""


class BadRequest(RelayError):
    """A request that breaks HTTP or the configured limits."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status


class ConnectFailed(RelayError):
    """No connection to an engine came about: the request did not leave."""


class AnswerBroken(RelayError):
    """An engine's answer broke off, or is no HTTP."""


class AnswerLate(RelayError):
    """An engine did not answer in time."""
