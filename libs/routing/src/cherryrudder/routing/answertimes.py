"""Adaptive timeouts, estimated from the times of earlier answers.

Load pattern: an engine stops responding while it runs streams whose clients count a
pause of a quarter of a second as late. Only an unanswered query shows that it has
stopped. A fixed timeout that suits the slowest links and busiest engines takes most of
the time that clients allow, while live engines answer within milliseconds.
"""

from typing import NamedTuple

# Weights of the newest answer in the mean and in the deviation, and the number of
# deviations in the timeout, as in TCP's retransmission timer (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0


class Bounds(NamedTuple):
    """The least and greatest timeout, and the one before the first answer."""

    min_s: float
    initial_s: float
    max_s: float


class AnswerTimes:
    """Mean and deviation of the times of answers."""

    def __init__(self):
        self.mean_s = 0.0
        self.deviation_s = 0.0
        self.answers = 0


def record_time(times: AnswerTimes, took_s: float) -> None:
    """Add the time that an answer took to the estimate."""
    times.answers += 1
    if times.answers == 1:
        times.mean_s, times.deviation_s = took_s, took_s / 2
        return
    error_s = abs(took_s - times.mean_s)
    times.deviation_s += DEVIATION_WEIGHT * (error_s - times.deviation_s)
    times.mean_s += MEAN_WEIGHT * (took_s - times.mean_s)


def timeout_s(times: AnswerTimes, bounds: Bounds) -> float:
    """Return the timeout for the next answer, in seconds."""
    if not times.answers:
        return bounds.initial_s
    estimate_s = times.mean_s + DEVIATIONS * times.deviation_s
    return min(bounds.max_s, max(bounds.min_s, estimate_s))
