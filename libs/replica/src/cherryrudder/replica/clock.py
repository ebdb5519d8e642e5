"""Clocks and random ids; no other module reads a clock or makes random ids."""

import secrets
import time


def now_s() -> float:
    """Return the monotonic time that is passed to all deciding functions.

    It includes time during which the VM is suspended. Otherwise a lease or confirmation
    would still seem fresh after a suspension of any length.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Return the wall-clock time, for the log's `Clock` commands and incarnations."""
    return time.time()


def new_incarnation() -> str:
    """Return an id for this run of the process; ids of later runs sort after it."""
    return f"{int(wall_s() * 1000):014d}-{secrets.token_hex(4)}"


def new_id() -> str:
    """Return a random id for a request, an attempt or a change."""
    return secrets.token_hex(12)
