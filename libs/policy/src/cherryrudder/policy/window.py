"""How many streams an entry has under way at once, by how fast the first events come.

Load pattern: more streams come than the engines work off, by a tenth, for some seconds.
Without a bound each further stream makes the batches larger and all streams slower, so
that more are under way, and the load stays long after the burst. The engines do no
more work for it, and first events come late.

The bound follows what the entry observes. While first events come well before they are
due, it grows; once they take a good part of that time, it shrinks until they don't. The
streams above it wait in the entry's queue, where those that can't be in time any more
are told so.
"""

# Part of the objective that a first event may take at the engines, on the average. The
# rest is for waiting here, for long prompts, which take three times as long, and for
# one engine that dies on the way.
WORST_SHARE = 0.5
# Weight of the newest first event; some five are remembered, of the last second.
MEMORY = 0.2
# Streams by which the bound grows with each soon first event, while it binds.
GROWTH = 0.25
# It shrinks by as much as first events are too late, to this part at the most and not
# again before the next ones have shown it. In the test's overload of twice what the
# engines do, 55 in 100 of the first events are in time with these figures, 47 where it
# shrinks by a tenth five times a second, and 32 without a bound.
MOST_SHRINKING = 0.6
SHRINK_EVERY_S = 0.3
# Below this an entry would serve its callers one after the other.
LEAST = 4.0
MOST = 512.0


class Window:
    """The streams of one service that one entry has under way."""

    def __init__(self):
        self.size = MOST
        self.running = 0
        # The usual time from a stream's way to the engines to its first event.
        self.first_s = 0.0
        self.shrunk_s = float("-inf")


def is_open(window: Window) -> bool:
    """Tell whether another stream may go to the engines."""
    return window.running < window.size


def answered(window: Window, first_s: float, objective_s: float, now_s: float) -> None:
    """Take how long a first event took since its stream went to the engines.

    More than the objective counts as the objective: a stream whose engine died waited
    for seconds, which says nothing of the load.
    """
    window.first_s += MEMORY * (min(first_s, objective_s) - window.first_s)
    due_s = WORST_SHARE * objective_s
    if window.first_s <= due_s:
        if window.running >= window.size - 1:
            window.size = min(MOST, window.size + GROWTH)
        return
    if now_s - window.shrunk_s >= SHRINK_EVERY_S:
        window.shrunk_s = now_s
        share = max(MOST_SHRINKING, due_s / window.first_s)
        window.size = max(LEAST, share * min(window.size, window.running + 1.0))
