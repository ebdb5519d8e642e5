"""Load report of the stand-in engine, delayed as on real engines."""

from collections import deque
from typing import NamedTuple


class Load(NamedTuple):
    """Load of an engine; `kv_used` is the share of KV that live requests hold."""

    running: int
    waiting: int
    kv_used: float


IDLE = Load(0, 0, 0.0)


class LoadReport:
    """Samples of the load that are still to be reported, oldest first."""

    def __init__(self, lag_s: float):
        self.lag_s = lag_s
        self.samples = deque([(float("-inf"), IDLE)])


def record_load(report: LoadReport, load: Load, now_s: float):
    """Record a sample if the load has changed."""
    if report.samples[-1][1] != load:
        report.samples.append((now_s, load))
    _drop_old(report, now_s)


def read(report: LoadReport, now_s: float) -> Load:
    """Return the load as it was `lag_s` ago."""
    _drop_old(report, now_s)
    return report.samples[0][1]


def _drop_old(report, now_s):
    while len(report.samples) > 1 and report.samples[1][0] <= now_s - report.lag_s:
        report.samples.popleft()
