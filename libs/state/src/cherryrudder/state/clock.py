"""Time recorded in the log; claims and kept answers expire by it alone.

If voters used their own clocks, a claim would expire on one VM earlier than on another,
and the two would answer the same command differently from then on.
"""

from .changes import expire_changes
from .claims import expire_claims
from .commands import Answer, Clock
from .fences import expire_fence_requests
from .records import State

# Maximum step of one Clock command. Otherwise a leader whose wall clock is days ahead
# would expire every claim at once, and a late resend of a filing would run again.
# Leaders propose a Clock about every 30 s; longer gaps (no quorum for a while) only
# extend the retention.
MAX_STEP_S = 60.0


def advance(state: State, command: Clock) -> Answer:
    """Advance the state's time by the leader's clock change since the last command."""
    # The last reading is stored even if it is lower. If the highest were kept, a leader
    # whose clock was far ahead would stop time, and nothing would expire.
    last_s = command.now_s if state.clock_s is None else state.clock_s
    state.clock_s = command.now_s
    state.now_s += min(max(0.0, command.now_s - last_s), MAX_STEP_S)
    expire_claims(state)
    expire_changes(state)
    expire_fence_requests(state)
    return Answer("ok", revision=state.revision)
