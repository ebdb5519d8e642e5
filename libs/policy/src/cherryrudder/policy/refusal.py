"""Wait estimates and refusals of requests that would wait too long.

The load may be two to five times the platform's capacity for ten minutes, then normal
again. If the queue grew, every request in it would be answered after its caller has
gone: goodput would fall to nothing, and stay there after the overload for as long as
the queue takes to drain. Callers that are refused without a time to come back, or all
with the same time, return together and prolong the overload.

The drain rate is the running work divided by its run time (Little's law). Both are in
the estimated tokens in which the queue is counted too, so that an error of the estimate
cancels out. The rate is measured here and not taken from the engines' load reports,
which lag.
"""

import math
from typing import NamedTuple

from cherryrudder.model.outcomes import Refusal

# Weight of the older mean at each finished request. It averages about fifty requests:
# enough to smooth long and short ones, few enough to follow the loss of an endpoint
# within seconds.
MEAN_DECAY = 0.98
# A model that can start nothing while nothing of it runs counts as unserved after this
# time: longer than a lost report or the next announcement of a restarted sidecar.
UNSERVED_S = 1.0
# Used when nothing drains and no estimate is possible: the time in which a lost
# endpoint is detected and replaced.
DEFAULT_RETRY_AFTER_S = 5.0
# The longest time to come back: beyond a minute the estimate is meaningless.
MAX_RETRY_AFTER_S = 60.0
# A run half as long again as the mean is common (uncached prompts, long answers), and a
# request that ends after its deadline has wasted its whole run.
RUN_MARGIN = 1.5
# Requested credits arrive within a round trip, or with the next report.
CREDIT_WAIT_S = 0.3
# A model counts as idle after this long without a blocked request.
IDLE_AFTER_S = 1.0
# The shortest time to come back: the resolution of callers' timers.
MIN_RETRY_AFTER_S = 0.1


class Drain:
    """How fast the running requests of one model free capacity."""

    def __init__(self):
        self.running_tokens = 0.0
        self.no_finish_since_s = 0.0
        self.blocked_since_s: float | None = None
        self.last_blocked_s = -math.inf
        self.credits_due_s = -math.inf
        self.finished_tokens = 0.0
        self.finished_token_s = 0.0
        self.finished_s = 0.0


class Wait(NamedTuple):
    """The expected wait behind the customer's own limits and behind the platform."""

    limit_s: float
    platform_s: float

    @property
    def total_s(self) -> float:
        """Return the longer one; both waits pass at the same time."""
        return max(self.limit_s, self.platform_s)


def record_start(drain: Drain, cost_tokens: float, now_s: float) -> None:
    """Record a request that starts."""
    if drain.running_tokens <= 0:
        drain.no_finish_since_s = now_s
    drain.running_tokens += cost_tokens
    drain.blocked_since_s = None


def record_finish(drain: Drain, cost_tokens, duration_s: float, now_s: float) -> None:
    """Record a request that ended after `duration_s`."""
    drain.running_tokens = max(0.0, drain.running_tokens - cost_tokens)
    drain.no_finish_since_s = now_s
    drain.finished_tokens = drain.finished_tokens * MEAN_DECAY + cost_tokens
    weighted = cost_tokens * duration_s
    drain.finished_token_s = drain.finished_token_s * MEAN_DECAY + weighted
    drain.finished_s = drain.finished_s * MEAN_DECAY + duration_s


def record_blocked(drain: Drain, now_s: float) -> None:
    """Record that no endpoint can accept the model's next request."""
    if drain.blocked_since_s is None:
        drain.blocked_since_s = now_s
    # A burst on an idle platform finds few credits, since an entry without load holds
    # few, but more have been requested. Treating this as full would refuse callers for
    # whom there is capacity. While requests wait all the time, credits are requested
    # all the time.
    if now_s - drain.last_blocked_s > IDLE_AFTER_S:
        drain.credits_due_s = now_s + CREDIT_WAIT_S
    drain.last_blocked_s = now_s


def mean_run_s(drain: Drain) -> float:
    """Return the mean run time weighted by tokens; 0 if none has finished yet."""
    if not drain.finished_tokens:
        return 0.0
    return drain.finished_token_s / drain.finished_tokens


def run_s(drain: Drain, cost_tokens: float) -> float:
    """Return the time within which such a request should finish; 0 if unknown."""
    if not drain.finished_tokens:
        return 0.0
    mean_s = cost_tokens * drain.finished_s / drain.finished_tokens
    return RUN_MARGIN * mean_s


def drain_rate(drain: Drain, now_s: float) -> float | None:
    """Return the tokens per second that are freed, or None if unknown."""
    if drain.running_tokens <= 0:
        blocked_s = drain.blocked_since_s
        is_unserved = blocked_s is not None and now_s - blocked_s >= UNSERVED_S
        return 0.0 if is_unserved else None
    # The time since the last finish limits the rate from above. Otherwise frozen
    # engines would keep their previous rate and callers would wait in vain.
    lasted_s = max(mean_run_s(drain), now_s - drain.no_finish_since_s)
    return drain.running_tokens / lasted_s if lasted_s > 0 else None


def platform_wait_s(drain: Drain, ahead_tokens: float, now_s: float) -> float:
    """Return the wait behind that many tokens; 0 while the rate is unknown."""
    # While endpoints have capacity, the running requests are held down by customers'
    # own limits and do not show the platform's rate: callers beyond their own limit
    # would get the answer that the platform is full.
    if drain.blocked_since_s is None or now_s < drain.credits_due_s:
        return 0.0
    rate = drain_rate(drain, now_s)
    if rate is None:
        return 0.0
    return ahead_tokens / rate if rate > 0 else math.inf


class RetrySchedule:
    """The retry times that refused callers were given."""

    def __init__(self):
        self.next_s: dict[tuple[str, str], float] = {}


def retry_after_s(
    schedule: RetrySchedule, key, over_s: float, interval_s: float, now_s
) -> float:
    """Return when to come back, in seconds: once the wait has fallen by `over_s`.

    `interval_s` is the time in which the limit frees capacity for one such request.
    Callers that are refused together get times one after the other. With the same time
    for all they would come back as one burst, and all but the first would be refused
    again.
    """
    if math.isinf(over_s) or math.isinf(interval_s):
        return DEFAULT_RETRY_AFTER_S
    retry_at_s = max(now_s + over_s, schedule.next_s.get(key, 0.0))
    schedule.next_s[key] = min(retry_at_s + interval_s, now_s + MAX_RETRY_AFTER_S)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_at_s - now_s))


def drop_customer(schedule: RetrySchedule, customer: str) -> None:
    """Drop the state of a customer whose contract has ended."""
    schedule.next_s.pop((customer, ""), None)


def own_limit(retry_s: float) -> Refusal:
    """Return the refusal of a request that exceeds its customer's own limit."""
    message = "The contract's limit is used up; the request did not run."
    return Refusal(429, "own-limit", message, retry_s)


def platform_full(retry_s: float) -> Refusal:
    """Return the refusal of a request that the platform cannot serve in time."""
    message = "The platform has no room in time; the request did not run."
    return Refusal(503, "platform-full", message, retry_s)


def no_contract(customer: str) -> Refusal:
    """Return the refusal of a customer whose contract is retired or unknown."""
    message = f"There is no contract in force for {customer}; the request did not run."
    return Refusal(403, "no-contract", message, 0.0)


def not_covered(model: str) -> Refusal:
    """Return the refusal of a model or service that is not in the contract."""
    message = f"The contract does not cover {model!r}; the request did not run."
    return Refusal(403, "not-covered", message, 0.0)


def too_late() -> Refusal:
    """Return the refusal of a request whose deadline has passed."""
    message = "The deadline has passed before the request could start; it did not run."
    return Refusal(504, "deadline", message, 0.0)
