"""Timeouts that leave out the pauses of this process.

Load pattern: the machine is short of CPU time, or a long computation blocks the event
loop. When the process runs again, timers expire before the answers that arrived
meanwhile are read, and a peer that answered in time is taken for dead. A timeout here
is a number of event loop ticks: a late tick counts no more than a punctual one.
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


class Timeout:
    """A running timeout: the pauses noticed so far, and whether it has expired."""

    def __init__(self, scope: anyio.CancelScope, timeout_s: float):
        self.paused_s = 0.0
        self.is_expired = False
        self._scope = scope
        self._left_s = timeout_s
        self._tick_s = max(min(TICK_S, timeout_s / MIN_TICKS), timeout_s / MAX_TICKS)
        self._is_last_tick = False
        self._expired_s: float | None = None
        self._handle: asyncio.TimerHandle | None = None
        if timeout_s <= 0:
            scope.cancel()
        elif timeout_s < math.inf:
            self._schedule(min(self._tick_s, timeout_s))

    def stop(self) -> None:
        """Stop counting; the pause before the body noticed its end counts as well."""
        if self._handle is not None:
            self._handle.cancel()
        if self._expired_s is not None:
            self.paused_s += asyncio.get_running_loop().time() - self._expired_s

    def _schedule(self, wait_s):
        loop = asyncio.get_running_loop()
        due_s = loop.time() + wait_s
        self._handle = loop.call_at(due_s, self._count, due_s, wait_s)

    def _count(self, due_s, wait_s):
        now_s = asyncio.get_running_loop().time()
        late_s = max(0.0, now_s - due_s)
        self.paused_s += late_s
        self._left_s -= wait_s
        if self._left_s > 0:
            self._schedule(min(self._tick_s, self._left_s))
        elif late_s > TICK_S and not self._is_last_tick:
            # What arrived during the pause is read in the next iterations.
            self._is_last_tick = True
            self._schedule(TICK_S)
        else:
            self._expired_s = now_s
            self._scope.cancel()


@contextlib.contextmanager
def move_on_after(timeout_s: float) -> Iterator[Timeout]:
    """Cancel the body after some seconds in which this process was able to run."""
    with anyio.CancelScope() as scope:
        timeout = Timeout(scope, timeout_s)
        try:
            yield timeout
        finally:
            timeout.stop()
    timeout.is_expired = scope.cancelled_caught


@contextlib.contextmanager
def fail_after(timeout_s: float) -> Iterator[Timeout]:
    """Raise TimeoutError after some seconds in which this process was able to run."""
    with move_on_after(timeout_s) as timeout:
        yield timeout
    if timeout.is_expired:
        raise TimeoutError
