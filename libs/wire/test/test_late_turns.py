"""Waits in a process whose event loop runs late."""

import time
import unittest

import anyio
import builders

from cherryrudder.wire import sockets, timeouts
from cherryrudder.wire.errors import ConnectFailed

CONNECT_TIMEOUT_S = 0.3
LATE_S = (0.02, 0.05, 0.1)
# A wait may be this many times as long as asked, or a few iterations of the event loop.
MAX_STRETCH = 2
# To connect, send and read, and to notice the end.
MAX_TURNS = 11


def max_wait_s(timeout_s, late_s):
    """Return how long a wait may take if each iteration of the loop is late."""
    return MAX_STRETCH * timeout_s + MAX_TURNS * late_s


class LateTurnsTest(unittest.TestCase):
    """Guards against waits that stretch with each late iteration, without bound."""

    def assert_ends(self, wait, timeout_s, late_s):
        """Check that a wait for a silent peer ends near the time that was asked."""

        async def run():
            async with builders.late_turns(late_s) as get_extra_s:
                began_s = time.monotonic()
                await wait()
                return time.monotonic() - began_s - get_extra_s()

        self.assertLess(anyio.run(run), max_wait_s(timeout_s, late_s))

    def test_connecting_ends_near_the_asked_time(self):
        for late_s in LATE_S:
            with self.subTest(late_s=late_s), builders.full_listener() as address:

                async def connect(address=address):
                    with self.assertRaises(ConnectFailed):
                        await sockets.connect(address, CONNECT_TIMEOUT_S)

                self.assert_ends(connect, CONNECT_TIMEOUT_S, late_s)

    def test_a_wait_ends_near_the_asked_time(self):
        for timeout_s in (0.06, 0.1, 0.6):
            for late_s in LATE_S:
                with self.subTest(timeout_s=timeout_s, late_s=late_s):

                    async def wait(timeout_s=timeout_s):
                        with timeouts.move_on_after(timeout_s):
                            await anyio.sleep_forever()

                    self.assert_ends(wait, timeout_s, late_s)

    def test_connecting_succeeds_if_the_peer_is_there(self):
        """Guards against giving up a peer before its answer can have been read."""
        for late_s in LATE_S:
            with self.subTest(late_s=late_s), builders.listener() as address:

                async def run(address=address, late_s=late_s):
                    async with builders.late_turns(late_s):
                        stream = await sockets.connect(address, CONNECT_TIMEOUT_S)
                        stream.abort()

                anyio.run(run)


class StopTest(unittest.TestCase):
    """Guards against taking a stop of this process for the silence of a peer."""

    STOP_S = 0.8

    def test_connecting_succeeds_after_a_stop(self):
        async def stop():
            builders.block_event_loop(self.STOP_S)

        async def run(address):
            async with anyio.create_task_group() as group:
                group.start_soon(stop)
                stream = await sockets.connect(address, CONNECT_TIMEOUT_S)
                stream.abort()

        with builders.listener() as address:
            anyio.run(run, address)

    def test_an_expiry_tells_of_a_stop_that_outlasted_it(self):
        async def run(stop_s):
            with timeouts.move_on_after(CONNECT_TIMEOUT_S) as timeout:
                await anyio.sleep(0)
                builders.block_event_loop(stop_s)
                await anyio.sleep_forever()
            return timeout.is_expired, timeout.was_stopped

        self.assertEqual(anyio.run(run, self.STOP_S), (True, True))
        self.assertEqual(anyio.run(run, CONNECT_TIMEOUT_S / 2), (True, False))

    def test_a_loop_that_is_always_late_is_no_stop(self):
        """Guards against a silent peer that a starved process never gives up."""

        async def run(late_s):
            async with builders.late_turns(late_s):
                with timeouts.move_on_after(CONNECT_TIMEOUT_S) as timeout:
                    await anyio.sleep_forever()
            return timeout.is_expired, timeout.is_unclear

        for late_s in (*LATE_S, 2 * CONNECT_TIMEOUT_S):
            with self.subTest(late_s=late_s):
                self.assertEqual(anyio.run(run, late_s), (True, False))


if __name__ == "__main__":
    unittest.main()
