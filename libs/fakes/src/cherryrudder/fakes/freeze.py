"""A fault that freezes a stand-in process and can be ended early."""

import anyio


class Freeze:
    """The time until which the process is frozen, as of `anyio.current_time()`."""

    def __init__(self):
        self.until_s = 0.0
        self.changed = anyio.Event()


def set_freeze(freeze: Freeze, freeze_s: float):
    """Freeze for `freeze_s` from now; 0 ends a freeze."""
    freeze.until_s = anyio.current_time() + freeze_s
    freeze.changed.set()
    freeze.changed = anyio.Event()


async def wait_until_thawed(freeze: Freeze):
    """Wait until the process is not frozen."""
    while (left_s := freeze.until_s - anyio.current_time()) > 0:
        with anyio.move_on_after(left_s):
            await freeze.changed.wait()
