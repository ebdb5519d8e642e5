"""How long an answer is waited for before its sender is asked again.

Load pattern: an engine goes dark under streams whose clients count a pause of a quarter
of a second as late. That it is dark shows only when a question about it stays without
an answer. A fixed limit that suits the slowest links and busiest engines takes most of
what the clients allow, while the engines that live answer within milliseconds.
"""

from typing import NamedTuple

# Weights of the newest answer in the mean and in the deviation, and how many deviations
# an answer may be later than the mean, as TCP sets its retransmission timer (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0


class Bounds(NamedTuple):
    """The limits that what was seen can't exceed; `first_s` while nothing was seen."""

    min_s: float
    initial_s: float
    max_s: float


class AnswerTimes:
    """The usual time of an answer and its deviation."""

    def __init__(self):
        self.mean_s = 0.0
        self.deviation_s = 0.0
        self.answers = 0


def record_time(times: AnswerTimes, took_s: float) -> None:
    """Take the time of an answer that came."""
    times.answers += 1
    if times.answers == 1:
        times.mean_s, times.deviation_s = took_s, took_s / 2
        return
    off_s = abs(took_s - times.mean_s)
    times.deviation_s += DEVIATION_WEIGHT * (off_s - times.deviation_s)
    times.mean_s += MEAN_WEIGHT * (took_s - times.mean_s)


def timeout_s(times: AnswerTimes, bounds: Bounds) -> float:
    """Return the time within which an answer is to be there."""
    if not times.answers:
        return bounds.initial_s
    usual_s = times.mean_s + DEVIATIONS * times.deviation_s
    return min(bounds.max_s, max(bounds.min_s, usual_s))
