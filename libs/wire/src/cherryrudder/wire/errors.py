"""Errors of the transport between processes."""

from cherryrudder.model.errors import CherryrudderError


class WireError(CherryrudderError):
    """A call to another process failed or returned no usable answer.

    `may_have_run` is false only when no byte of the request can have been sent. Callers
    rely on it to report a request as "not run".
    """

    def __init__(self, message, may_have_run=True):
        super().__init__(message)
        self.may_have_run = may_have_run


class StatusError(WireError):
    """An answer with an error status; `body` is its decoded JSON or None."""

    def __init__(self, status, body):
        super().__init__(f"status {status}")
        self.status = status
        self.body = body


class FrameError(WireError):
    """Invalid bytes on a frame link, or a peer without the right key."""


class StreamEnded(WireError):
    """The peer has closed its side of a connection."""


class StreamBroken(WireError):
    """A connection was reset, timed out or closed."""


class ConnectFailed(WireError):
    """Connecting failed, so that nothing was sent.

    `is_unclear` means that the failure is no evidence against the peer.
    """

    def __init__(self, message, is_unclear=False):
        super().__init__(message, may_have_run=False)
        self.is_unclear = is_unclear
