"""What a caller is told about a request."""

from enum import StrEnum
from typing import NamedTuple


class Outcome(StrEnum):
    """The value of the `Cherryrudder-Outcome` header."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Refusal(NamedTuple):
    """A final answer to a request that was given up before any of it ran."""

    status: int
    code: str
    message: str
    retry_after_s: float
