"""The messages on the frame links between entries and sidecars."""

from typing import NamedTuple

from cherryrudder.pipeline.messages import MESSAGES


class CreditReport(NamedTuple):
    """Entry to sidecar: its running requests there, and how many more it would send."""

    entry: str
    endpoint: str
    running: int
    wanted: int


class CreditGrant(NamedTuple):
    """Sidecar to entry: the granted credits and the endpoint's progress.

    `step_s` is the smoothed time of a decoding step, 0 while unknown; `oldest_s` is the
    age of the oldest call that the endpoint has not answered.
    """

    endpoint: str
    incarnation: str
    number: int
    count: int
    step_s: float
    oldest_s: float


DATA_MESSAGES = (*MESSAGES, CreditReport, CreditGrant)
