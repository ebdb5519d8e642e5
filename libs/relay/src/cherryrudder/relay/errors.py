"""Errors on connections to clients and engines."""

import random

from cherryrudder.model.errors import CherryrudderError
from cherryrudder.wire.clientshares import Bound

# Connections that stopped are dropped at once when others need their room; what is
# being served ends within some seconds.
NO_ROOM_RETRY_S = 1.0


class RelayError(CherryrudderError):
    """Base class of the relay's errors."""


class ClientGone(RelayError):
    """The client closed its connection or stopped reading."""


class BadRequest(RelayError):
    """The client's request violates HTTP or the configured limits."""

    # When the client may repeat the request; None if it would be refused again.
    retry_after_s: float | None = None

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status


class NoRoom(BadRequest):
    """This process holds too much for its clients to take the request."""

    def __init__(self, bound: Bound):
        super().__init__(503, f"no room: {bound}")
        self.bound = bound
        # With jitter, so that clients that were refused together don't return so.
        self.retry_after_s = NO_ROOM_RETRY_S * random.uniform(1.0, 2.0)


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
