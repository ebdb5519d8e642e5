"""Budget for the pipes between data centres, for chains that cross them.

Load pattern: one data centre has a hole and another is full, so that only a chain over
both is left. A prompt of 772 tokens of 59 KB takes 33 ms of an 11 Gbit/s pipe at each
crossing, and 170 ms of a pipe of 2.2 Gbit/s. Without a limit the first burst fills the
pipe, and every stream that crosses it stalls for seconds.
"""

from .profile import ModelProfile

# Share of the pipes' time that all entries together may use for prompts. Queues stay
# short up to some two thirds, and tokens of running streams cross as well.
MAX_USED_SHARE = 0.5
# Pipe time that may be used at once, so that a single request never waits.
BURST_S = 0.25


class PipeBudget:
    """The pipe time that one entry has used and not recovered yet."""

    def __init__(self):
        self.debt_s = 0.0
        self.counted_s = 0.0


def crossing_s(profile: ModelProfile, tokens: float, crossings: int) -> float:
    """Return the pipe time that a prompt takes, in seconds."""
    bits = tokens * profile.activation_bytes * 8
    return crossings * bits / (profile.pipe_mbps * 1e6)


def has_budget(budget: PipeBudget, cost_s: float, entries: int, now_s: float) -> bool:
    """Return whether the budget allows a prompt's crossing, without using it."""
    debt_s = _debt_s(budget, entries, now_s)
    return not debt_s or debt_s + cost_s <= BURST_S


def try_cross(budget: PipeBudget, cost_s: float, entries: int, now_s: float) -> bool:
    """Return whether a prompt may cross now; if so, charge it to the budget."""
    is_allowed = has_budget(budget, cost_s, entries, now_s)
    budget.debt_s = _debt_s(budget, entries, now_s)
    budget.counted_s = now_s
    if is_allowed:
        budget.debt_s += cost_s
    return is_allowed


def _debt_s(budget, entries, now_s):
    recovered_s = (now_s - budget.counted_s) * MAX_USED_SHARE / max(1, entries)
    return max(0.0, budget.debt_s - recovered_s)
