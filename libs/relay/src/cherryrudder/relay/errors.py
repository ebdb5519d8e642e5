"""Errors on connections to clients and engines."""

from cherryrudder.model.errors import CherryrudderError


class RelayError(CherryrudderError):
    """Base class of the relay's errors."""


class ClientGone(RelayError):
    """The client closed its connection or stopped reading."""


class BadRequest(RelayError):
    """The client's request violates HTTP or the configured limits."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status


class ConnectFailed(RelayError):
    """Connecting to an engine failed, so that nothing of the request was sent.

    `is_unclear` means that the failure is no evidence against the engine: the caller's
    deadline came first, or this process was stopped meanwhile.
    """

    def __init__(self, message: str, is_unclear: bool = False):
        super().__init__(message)
        self.is_unclear = is_unclear


class AnswerBroken(RelayError):
    """An engine's answer was cut off or is not valid HTTP."""


class AnswerLate(RelayError):
    """An engine did not answer in time."""
