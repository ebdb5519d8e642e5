"""How much of the pipes between data centres an entry may use for chains that cross.

Load pattern: one data centre has a hole and another is full, so that a chain over both
is the only one left. A prompt of 772 tokens of 59 KB takes 33 ms of an 11 Gbit/s pipe
at each crossing, and 170 ms of one of 2.2 Gbit/s. Without a bound the pipe fills with
the first burst, and every stream that crosses stands still for seconds.
"""

from .profile import ModelProfile

# Part of the pipes' time that all entries may use together. Queues stay short up to
# some two thirds, and tokens of running streams cross as well.
USED_SHARE = 0.5
# Time that may be used at once, so that a lone request never waits for its share.
BURST_S = 0.25


class PipeBudget:
    """The time on the pipes that one entry has used and not won back yet."""

    def __init__(self):
        self.debt_s = 0.0
        self.counted_s = 0.0


def crossing_s(profile: ModelProfile, tokens: float, crossings: int) -> float:
    """Return the time on the pipes that a prompt takes."""
    bits = tokens * profile.activation_bytes * 8
    return crossings * bits / (profile.pipe_mbps * 1e6)


def has_budget(budget: PipeBudget, cost_s: float, entries: int, now_s: float) -> bool:
    """Tell whether a prompt that takes so long might cross now."""
    debt_s = _debt_s(budget, entries, now_s)
    return not debt_s or debt_s + cost_s <= BURST_S


def try_cross(budget: PipeBudget, cost_s: float, entries: int, now_s: float) -> bool:
    """Tell whether a prompt may cross now, and count it if so."""
    is_free = has_budget(budget, cost_s, entries, now_s)
    budget.debt_s = _debt_s(budget, entries, now_s)
    budget.counted_s = now_s
    if is_free:
        budget.debt_s += cost_s
    return is_free


def _debt_s(budget, entries, now_s):
    won_s = (now_s - budget.counted_s) * USED_SHARE / max(1, entries)
    return max(0.0, budget.debt_s - won_s)
