"""The base of the error tree and the errors of the lowest layer.

Deciding functions return `expression.Result` with one of these as the error; only the
outermost shells raise them.
"""


class CherryrudderError(Exception):
    """Base of every error that cherryrudder defines."""


class SettingsError(CherryrudderError):
    """Settings or a contract file that cannot be used; one message per fault."""

    def __init__(self, faults):
        super().__init__("\n".join(faults))
        self.faults = tuple(faults)


class RequestError(CherryrudderError):
    """A request that is refused with a 4xx answer; `field` names what is wrong."""

    def __init__(self, status, code, message, field=None):
        super().__init__(message)
        self.status = status
        self.code = code
        self.field = field
