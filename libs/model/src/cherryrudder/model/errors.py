"""The base class of cherryrudder's errors, and the errors of the lowest layer.

Functions that parse or decide return an `expression.Result` with one of these as the
error; only the outermost layers raise them.
"""


class CherryrudderError(Exception):
    """Base class of all errors that cherryrudder defines."""


class SettingsError(CherryrudderError):
    """Invalid settings or an invalid contract file, with one message per fault."""

    def __init__(self, faults):
        super().__init__("\n".join(faults))
        self.faults = tuple(faults)


class RequestError(CherryrudderError):
    """A request that is refused with a 4xx status; `field` names the invalid field."""

    def __init__(self, status, code, message, field=None):
        super().__init__(message)
        self.status = status
        self.code = code
        self.field = field
