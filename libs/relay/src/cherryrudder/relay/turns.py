"""Share the event loop's time between clients: bounded work in each iteration.

Without this, the requests that arrive in one iteration are all parsed in it, whatever
that takes, and all answers in progress wait.
"""

import asyncio
import heapq
import itertools

# Work is counted in units of about a microsecond. In one iteration of the loop all
# clients together do this much, and a client does at most a slice at a time.
TURN_UNITS = 5000
SLICE_UNITS = 500


class TurnQueue:
    """The work done in this iteration, and the clients that wait for the next ones."""

    def __init__(self):
        self._used = 0
        self._is_scheduled = False
        self._numbers = itertools.count()
        # By the work that each client's request will then have taken.
        self._waiting: list[tuple[int, int, int, asyncio.Future]] = []

    async def take(self, done_units: int, units: int) -> None:
        """Wait until a client may do some work.

        The clients whose requests have taken the least work after it go first.
        """
        if self._used < TURN_UNITS and not self._waiting:
            self._use(units)
            return
        granted = asyncio.get_running_loop().create_future()
        entry = (done_units + units, next(self._numbers), units, granted)
        heapq.heappush(self._waiting, entry)
        self._schedule()
        await granted

    def _use(self, units):
        self._used += units
        self._schedule()

    def _schedule(self):
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self):
        """Let clients work, once in each iteration of the loop while any do."""
        self._is_scheduled = False
        self._used = 0
        while self._waiting and self._used < TURN_UNITS:
            _, _, units, granted = heapq.heappop(self._waiting)
            # A client that was dropped meanwhile waits no more.
            if not granted.done():
                granted.set_result(None)
                self._use(units)
        if self._waiting:
            self._schedule()
