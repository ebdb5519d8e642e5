"""The only place where the processes read a clock or make up a random name."""

import secrets
import time


def now_s() -> float:
    """Return the monotonic time that deciding functions are given.

    It goes on while the VM is suspended: a lease or a confirmation would otherwise
    still seem fresh after a suspension of any length.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Return the time of day, for the log's own time entries and incarnations."""
    return time.time()


def new_incarnation() -> str:
    """Return a name for this run of the process; later runs sort after it."""
    return f"{int(wall_s() * 1000):014d}-{secrets.token_hex(4)}"


def new_id() -> str:
    """Return a random id for a request, an attempt or a change."""
    return secrets.token_hex(12)
