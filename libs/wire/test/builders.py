"""Event loops that run late, and peers that never answer."""

import contextlib
import socket
import time

import anyio

# Connections that fill a listener's backlog, and those that the kernel adds to it.
FILLING_CONNECTIONS = 4


def block_event_loop(wait_s):
    """Block the event loop, as a process that waits for CPU time."""
    time.sleep(wait_s)


@contextlib.asynccontextmanager
async def late_turns(late_s):
    """Make all iterations of the event loop late; yield what measures the machine's."""
    extra_s, turn_s = 0.0, time.monotonic()

    def measure_extra_s():
        return max(0.0, time.monotonic() - turn_s - late_s)

    async def block():
        nonlocal extra_s, turn_s
        while True:
            turn_s = time.monotonic()
            block_event_loop(late_s)
            await anyio.sleep(0)
            extra_s += measure_extra_s()

    async with anyio.create_task_group() as group:
        group.start_soon(block)
        # The iteration in which it is asked isn't over.
        yield lambda: extra_s + measure_extra_s()
        group.cancel_scope.cancel()


@contextlib.contextmanager
def full_listener():
    """Listen with a full backlog, so that connecting hangs; yield the address."""
    with contextlib.ExitStack() as opened:
        server = opened.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
        for _ in range(FILLING_CONNECTIONS):
            filling = opened.enter_context(socket.socket())
            filling.setblocking(False)
            filling.connect_ex(server.getsockname())
        yield f"127.0.0.1:{server.getsockname()[1]}"


@contextlib.contextmanager
def listener():
    """Listen without accepting, where connecting succeeds; yield the address."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield f"127.0.0.1:{server.getsockname()[1]}"
