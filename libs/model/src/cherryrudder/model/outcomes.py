"""Outcomes of requests, as reported to the caller."""

from enum import StrEnum
from typing import NamedTuple


class Outcome(StrEnum):
    """The value of the `Cherryrudder-Outcome` header."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Refusal(NamedTuple):
    """The final response to a request that was refused before any of it ran."""

    status: int
    code: str
    message: str
    retry_after_s: float
