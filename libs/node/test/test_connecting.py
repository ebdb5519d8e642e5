"""Connecting to an engine that can't be reached, for a caller with a deadline."""

import time
import unittest
from types import SimpleNamespace

import anyio
import builders

from cherryrudder.node import attempts
from cherryrudder.relay.errors import ConnectFailed
from cherryrudder.relay.pool import Pool
from cherryrudder.replica.clock import now_s

# Iterations of the event loop until the end of a wait is noticed.
NOTICED_TURNS = 3


def block_event_loop(wait_s):
    """Block the event loop, as a process that waits for CPU time."""
    time.sleep(wait_s)


def a_job(left_s, is_idempotent=True):
    """Return a stub of a request whose caller leaves after some seconds."""
    end_s = now_s() + left_s
    return SimpleNamespace(
        state=SimpleNamespace(pool=Pool()),
        is_idempotent=is_idempotent,
        left_s=lambda: end_s - now_s(),
    )


class DeadlineTest(unittest.TestCase):
    """Guards against holding a request at a dead VM past its caller's deadline.

    Each iteration of the event loop is late, and time for another engine is lost.
    """

    async def connect(self, address, left_s, late_s, is_idempotent):
        """Return how long a failed connection attempt takes."""

        async def starve():
            while True:
                block_event_loop(late_s)
                await anyio.sleep(0)

        async with anyio.create_task_group() as group:
            group.start_soon(starve)
            began_s = now_s()
            with self.assertRaises(ConnectFailed):
                await attempts.open_connection(a_job(left_s, is_idempotent), address)
            took_s = now_s() - began_s
            group.cancel_scope.cancel()
        return took_s

    def test_connecting_ends_with_the_callers_deadline(self):
        for left_s in (0.0, 0.1, 0.2):
            for late_s in (0.02, 0.05, 0.1):
                for is_idempotent in (True, False):
                    with (
                        self.subTest(left_s=left_s, late_s=late_s),
                        builders.full_listener() as address,
                    ):
                        took_s = anyio.run(
                            self.connect, address, left_s, late_s, is_idempotent
                        )
                        self.assertLess(took_s, left_s + NOTICED_TURNS * late_s)


if __name__ == "__main__":
    unittest.main()
