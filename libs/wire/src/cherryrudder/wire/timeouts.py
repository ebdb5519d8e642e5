"""Timeouts that leave out the pauses of this process, within a bound by the clock.

Load pattern: the machine is short of CPU time, or a long computation blocks the event
loop. When the process runs again, timers expire before the answers that arrived
meanwhile are read, and a peer that answered in time is taken for dead. So the pauses of
the process don't count towards the timeout.

In a process that is short of CPU time for long, each iteration of the event loop is
late and nearly all time is a pause. So a wait also ends by the clock, at `MAX_STRETCH`
times its timeout, once the event loop had the iterations that an exchange takes. A
caller's own deadline ends it at once.
"""

import asyncio
import contextlib
import math
from collections.abc import Iterator

import anyio

TICK_S = 0.005
# An exchange takes some iterations of the event loop: to connect, send and read.
MIN_TICKS = 8
# Waiting for seconds should not wake the process all the time.
MAX_TICKS = 32
# A timeout ends at this many times its length by the clock.
MAX_STRETCH = 2.0


class Timeout:
    """A running timeout: the pauses noticed so far, and whether it has expired."""

    def __init__(self, scope: anyio.CancelScope, timeout_s: float):
        self.paused_s = 0.0
        self.is_expired = False
        # It has expired after a single stop of this process or at a caller's deadline,
        # which says nothing about the peer.
        self.is_unclear = False
        # A single pause outlasted the timeout.
        self.was_stopped = False
        self._scope = scope
        self._timeout_s = timeout_s
        self._left_s = timeout_s
        self._tick_s = max(min(TICK_S, timeout_s / MIN_TICKS), timeout_s / MAX_TICKS)
        self._ticks = 0
        self._is_certain = False
        self._handle: asyncio.TimerHandle | None = None
        self._last_s = asyncio.get_running_loop().time()
        self._end_s = self._last_s + MAX_STRETCH * timeout_s
        if timeout_s <= 0:
            scope.cancel()
        elif timeout_s < math.inf:
            self._schedule(self._tick_s)

    def stop(self) -> None:
        """Stop counting; the pause before the body noticed its end counts as well."""
        if self._handle is not None:
            self._handle.cancel()
            self._record(asyncio.get_running_loop().time())

    def record_expiry(self) -> None:
        """Record that the body was cancelled."""
        self.is_expired = True
        self.is_unclear = not self._is_certain

    def _schedule(self, wait_s):
        self._handle = asyncio.get_running_loop().call_at(
            self._last_s + wait_s, self._count
        )

    def _record(self, now_s):
        """Record the time since the last tick; return how much of it was a pause."""
        passed_s, self._last_s = now_s - self._last_s, now_s
        paused_s = max(0.0, passed_s - self._tick_s)
        self.paused_s += paused_s
        self._left_s -= passed_s - paused_s
        return paused_s

    def _count(self):
        now_s = asyncio.get_running_loop().time()
        paused_s = self._record(now_s)
        self._ticks += 1
        if paused_s > self._timeout_s and not self.was_stopped:
            # What arrived during the pause is read in the next iterations.
            self.was_stopped = True
            self._ticks = 1
        is_late = paused_s > TICK_S
        is_over = self._left_s <= 0 and not is_late
        if is_over or (now_s >= self._end_s and self._ticks >= MIN_TICKS):
            # Where all iterations are late, there were enough for an exchange.
            self._is_certain = is_late or not self.was_stopped
            self._scope.cancel()
        elif self._left_s <= 0:
            self._schedule(TICK_S)
        elif is_late:
            # A tick for each iteration, as an iteration may take longer than a tick.
            self._schedule(0.0)
        else:
            self._schedule(min(self._tick_s, self._left_s))


@contextlib.contextmanager
def move_on_after(timeout_s: float, limit_s: float = math.inf) -> Iterator[Timeout]:
    """Cancel the body after some seconds in which this process was able to run.

    After `limit_s`, what is left of a caller's deadline, it is cancelled in any case.
    """
    with anyio.move_on_after(max(0.0, limit_s)) as scope:
        timeout = Timeout(scope, timeout_s)
        try:
            yield timeout
        finally:
            timeout.stop()
    if scope.cancelled_caught:
        timeout.record_expiry()


@contextlib.contextmanager
def fail_after(timeout_s: float, limit_s: float = math.inf) -> Iterator[Timeout]:
    """Raise TimeoutError after some seconds in which this process was able to run.

    After `limit_s`, what is left of a caller's deadline, it is raised in any case.
    """
    with move_on_after(timeout_s, limit_s) as timeout:
        yield timeout
    if timeout.is_expired:
        raise TimeoutError
