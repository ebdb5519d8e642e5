import time
import unittest

import anyio

from cherryrudder.wire import timeouts

TIMEOUT_S = 0.05
# Iterations of the event loop in which a call connects, sends and reads its answer.
CALL_ITERATIONS = 7


def block_event_loop(wait_s):
    """Block the event loop, as a long computation does."""
    time.sleep(wait_s)


async def call():
    """Wait for some event loop iterations, as a call whose answer is there."""
    for _ in range(CALL_ITERATIONS):
        await anyio.sleep(0)


def measure(body):
    """Return whether a body timed out, its duration, and the pauses noticed."""

    async def run():
        began_s = time.monotonic()
        try:
            with timeouts.fail_after(TIMEOUT_S) as timeout:
                await body()
        except TimeoutError:
            return True, time.monotonic() - began_s, timeout.paused_s
        return False, time.monotonic() - began_s, timeout.paused_s

    return anyio.run(run)


class TimeoutTest(unittest.TestCase):
    def test_a_call_is_completed_after_a_pause_beyond_its_timeout(self):
        """Guards against giving up before what arrived during a pause is read."""

        async def body():
            block_event_loop(4 * TIMEOUT_S)
            await call()

        is_late, _, paused_s = measure(body)
        self.assertFalse(is_late)
        self.assertGreater(paused_s, 2 * TIMEOUT_S)

    def test_a_call_is_completed_if_every_iteration_is_late(self):
        """Guards against counting many short pauses as the peer's silence."""

        async def body():
            for _ in range(CALL_ITERATIONS):
                block_event_loop(TIMEOUT_S / 2)
                await anyio.sleep(0)

        self.assertFalse(measure(body)[0])

    def test_a_pause_shortly_before_the_end_is_not_counted(self):
        """Guards against noticing only pauses that last until after the timeout."""

        async def body():
            await anyio.sleep(0.5 * TIMEOUT_S)
            block_event_loop(0.45 * TIMEOUT_S)
            await anyio.sleep(0.25 * TIMEOUT_S)

        self.assertFalse(measure(body)[0])

    def test_a_silent_peer_is_given_up_after_the_timeout(self):
        is_late, took_s, paused_s = measure(anyio.sleep_forever)
        self.assertTrue(is_late)
        self.assertGreaterEqual(took_s, TIMEOUT_S)
        self.assertGreaterEqual(took_s - TIMEOUT_S, paused_s - timeouts.TICK_S)

    def test_a_silent_peer_is_given_up_by_a_process_that_hardly_runs(self):
        """Guards against waiting forever while every iteration is late."""

        async def body():
            while True:
                block_event_loop(TIMEOUT_S / 2)
                await anyio.sleep(0)

        is_late, took_s, paused_s = measure(body)
        self.assertTrue(is_late)
        self.assertLess(took_s - paused_s, TIMEOUT_S + 2 * timeouts.TICK_S)

    def test_a_timeout_of_zero_expires_at_the_first_wait(self):
        async def run():
            with timeouts.move_on_after(0.0) as timeout:
                await anyio.sleep(0)
            return timeout.is_expired

        self.assertTrue(anyio.run(run))

    def test_an_outer_cancellation_is_no_timeout(self):
        async def run():
            with anyio.move_on_after(0.01) as outer:
                with timeouts.fail_after(TIMEOUT_S) as timeout:
                    await anyio.sleep_forever()
            return outer.cancelled_caught, timeout.is_expired

        self.assertEqual(anyio.run(run), (True, False))
