"""Time as the log sees it; claims and kept answers leave the state by it alone.

A voter's own clock would drop a claim earlier on one VM than on another, and the two
would answer the same command differently from then on.
"""

from .changes import expire_changes
from .claims import expire_claims
from .commands import Answer, Clock
from .fences import expire_fence_requests
from .records import State

# The most that one Clock command moves time by. A leader whose wall clock is days
# ahead would otherwise drop every claim at once, and a late resend of a filing would
# run again. Leaders propose a Clock about every 30 s; longer gaps (no quorum for a
# while) only lengthen what is kept.
MAX_STEP_S = 60.0


def advance(state: State, command: Clock) -> Answer:
    """Move the state's time on by what the leader's clock has moved since the last."""
    # The last reading is kept even when it is lower. Keeping the highest would stop
    # time for as long as one faulty leader was ahead, and nothing would ever expire.
    last_s = command.now_s if state.clock_s is None else state.clock_s
    state.clock_s = command.now_s
    state.now_s += min(max(0.0, command.now_s - last_s), MAX_STEP_S)
    expire_claims(state)
    expire_changes(state)
    expire_fence_requests(state)
    return Answer("ok", revision=state.revision)
