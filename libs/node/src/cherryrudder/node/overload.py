"""Detect that a process lacks processor time, to close new connections unread.

Load pattern: for some seconds the platform hands most new connections of a zone to one
entry, whose share of a core may be small. Without a limit it reads all their requests,
answers none in time, and the kept connections suffer as well. A client whose request
was not read retries at another entry at once.
"""

from collections.abc import Callable

import anyio

from cherryrudder.replica.clock import now_s

CHECK_INTERVAL_S = 0.05
# How late the event loop may be. Streams have a first event due after 0.5 s, and each
# request takes several turns of the loop.
MAX_LATE_S = 0.1
# Checks in a row that are late: a single one is a pause of the process.
MIN_LATE_CHECKS = 2


class LoopLateness:
    """How often in a row the event loop was late."""

    def __init__(self):
        self.late_checks = 0


def record_lateness(lateness: LoopLateness, late_s: float) -> None:
    """Record how late the event loop was at one check."""
    lateness.late_checks = lateness.late_checks + 1 if late_s > MAX_LATE_S else 0


def is_overloaded(lateness: LoopLateness, connections: int, most: float) -> bool:
    """Return whether a new connection, beside `connections`, is to be closed unread."""
    return lateness.late_checks >= MIN_LATE_CHECKS or connections >= most


async def watch(lateness: LoopLateness, now: Callable[[], float] = now_s) -> None:
    """Check the event loop until cancelled."""
    while True:
        due_s = now() + CHECK_INTERVAL_S
        await anyio.sleep(CHECK_INTERVAL_S)
        record_lateness(lateness, now() - due_s)
