"""A freeze that a fault puts on a stand-in process, and that can be lifted early."""

import anyio


class Freeze:
    """Until when the process stands still, by `anyio.current_time()`."""

    def __init__(self):
        self.until_s = 0.0
        self.changed = anyio.Event()


def set_freeze(freeze: Freeze, freeze_s: float):
    """Freeze for so long from now on; 0 lifts a freeze."""
    freeze.until_s = anyio.current_time() + freeze_s
    freeze.changed.set()
    freeze.changed = anyio.Event()


async def wait_until_thawed(freeze: Freeze):
    """Wait for the end of the freeze, if there is one."""
    while (left_s := freeze.until_s - anyio.current_time()) > 0:
        with anyio.move_on_after(left_s):
            await freeze.changed.wait()
