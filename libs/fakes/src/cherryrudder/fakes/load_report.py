"""The engine's load as it was some seconds ago."""

from collections import deque
from typing import NamedTuple


class Load(NamedTuple):
    """How busy an engine is; `kv_used` is the share that live requests hold."""

    running: int
    waiting: int
    kv_used: float


IDLE = Load(0, 0, 0.0)


class LoadReport:
    """The loads that are still to be reported, oldest first."""

    def __init__(self, lag_s: float):
        self.lag_s = lag_s
        self.samples = deque([(float("-inf"), IDLE)])


def record_load(report: LoadReport, load: Load, now_s: float):
    """Take a sample of the load."""
    if report.samples[-1][1] != load:
        report.samples.append((now_s, load))
    _drop_old(report, now_s)


def read(report: LoadReport, now_s: float) -> Load:
    """Return the load as of the lag before now."""
    _drop_old(report, now_s)
    return report.samples[0][1]


def _drop_old(report, now_s):
    while len(report.samples) > 1 and report.samples[1][0] <= now_s - report.lag_s:
        report.samples.popleft()
