"""Errors of the transport."""

from cherryrudder.model.errors import CherryrudderError


class WireError(CherryrudderError):
    """A call to another process that gave no usable answer.

    `may_have_run` is false only when no byte of the request can have left this
    process; a caller may be told "not run" on the strength of it.
    """

    def __init__(self, message, may_have_run=True):
        super().__init__(message)
        self.may_have_run = may_have_run


class StatusError(WireError):
    """An answer with an error status; `body` is its decoded JSON, if it had any."""

    def __init__(self, status, body):
        super().__init__(f"status {status}")
        self.status = status
        self.body = body


class FrameError(WireError):
    """Bytes on a frame link that are no frame, or a peer without the key."""


class StreamEnded(WireError):
    """The peer has ended its side of a connection."""


class StreamBroken(WireError):
    """A connection was reset, timed out or closed."""


class ConnectFailed(WireError):
    """No connection came about: nothing has left this process."""

    def __init__(self, message):
        super().__init__(message, may_have_run=False)
