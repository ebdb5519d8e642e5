"""Decision whether a failed request may be retried.

If every failure under overload were answered with another attempt, three attempts each
would triple the load just when the platform is full, and keep it there after the cause
has gone (a retry storm). A call that must not be repeated would run twice.

A request is retried only if its call is idempotent or has certainly not run, if its
deadline leaves enough time, and if the budget allows it.
"""

from enum import StrEnum
from typing import NamedTuple

# One retry per ten requests: the most by which retries can raise the load, and enough
# for the loss of one endpoint in ten.
EARNED_PER_REQUEST = 0.1
# Retries that can be saved up, so that the requests in flight at a lost endpoint (some
# tens) can all be retried at once.
MAX_SAVED = 50.0
# Initial budget of a new process, for its first hundred requests.
FIRST_SAVED = 10.0
MAX_ATTEMPTS = 3


class Verdict(StrEnum):
    """Whether a request is retried, and if not, why."""

    RETRY = "retry"
    MAY_HAVE_RUN = "may-have-run"
    TOO_LATE = "too-late"
    TOO_MANY = "too-many"
    NO_BUDGET = "no-budget"


class Attempt(NamedTuple):
    """A failed attempt; `expected_s` is how long the next one would take.

    `has_untried` states that a live endpoint is left that hasn't failed the request.
    """

    attempts: int
    is_idempotent: bool
    is_certain_not_run: bool
    expected_s: float
    deadline_s: float
    max_attempts: int = MAX_ATTEMPTS
    has_untried: bool = False


class RetryBudget:
    """The retries that the requests so far have earned."""

    def __init__(
        self,
        earned_per_request: float = EARNED_PER_REQUEST,
        max_saved: float = MAX_SAVED,
    ):
        self.earned_per_request = earned_per_request
        self.max_saved = max_saved
        self.saved = min(FIRST_SAVED, max_saved)


def record_request(budget: RetryBudget) -> None:
    """Earn a fraction of a retry for a first attempt."""
    earned = budget.saved + budget.earned_per_request
    budget.saved = min(budget.max_saved, earned)


def may_retry(budget: RetryBudget, attempt: Attempt, now_s: float) -> Verdict:
    """Decide whether a failed attempt may be retried, and charge the budget for it."""
    if not attempt.is_idempotent and not attempt.is_certain_not_run:
        return Verdict.MAY_HAVE_RUN
    if now_s + attempt.expected_s >= attempt.deadline_s:
        return Verdict.TOO_LATE
    # A request that was never sent can't be what ended the attempts, so it may reach
    # every endpoint once.
    is_limited = not (attempt.is_certain_not_run and attempt.has_untried)
    if is_limited and attempt.attempts >= attempt.max_attempts:
        return Verdict.TOO_MANY
    if budget.saved < 1.0:
        return Verdict.NO_BUDGET
    budget.saved -= 1.0
    return Verdict.RETRY
