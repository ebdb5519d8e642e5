"""Connecting to an engine that can't be reached, for a caller with a deadline."""

import time
import unittest
from types import SimpleNamespace
from unittest import mock

import anyio
import builders

from cherryrudder.layers.chains import Part
from cherryrudder.node import attempts, plainrelay, streamrelay, supervision
from cherryrudder.node.plainstream import EventRelay
from cherryrudder.relay.errors import ConnectFailed
from cherryrudder.relay.pool import Pool
from cherryrudder.replica.clock import now_s
from cherryrudder.routing.suspicion import Suspicions

# Iterations of the event loop until the end of a wait is noticed.
NOTICED_TURNS = 3


def block_event_loop(wait_s):
    """Block the event loop, as a process that waits for CPU time."""
    time.sleep(wait_s)


def a_job(left_s, is_idempotent=True):
    """Return a stub of a request whose caller leaves after some seconds."""
    end_s = now_s() + left_s
    return SimpleNamespace(
        state=SimpleNamespace(
            pool=Pool(), running={}, tokens={}, suspicions=Suspicions()
        ),
        is_idempotent=is_idempotent,
        left_s=lambda: end_s - now_s(),
    )


class DeadlineTest(unittest.TestCase):
    """Guards against holding a request at a dead VM past its caller's deadline."""

    async def connect(self, address, left_s, late_s, is_idempotent):
        """Return how long a failed attempt takes, less the machine's own lateness."""
        extra_s, turn_s = 0.0, now_s()

        def measure_extra_s():
            return max(0.0, now_s() - turn_s - late_s)

        async def starve():
            nonlocal extra_s, turn_s
            while True:
                turn_s = now_s()
                block_event_loop(late_s)
                await anyio.sleep(0)
                extra_s += measure_extra_s()

        async with anyio.create_task_group() as group:
            group.start_soon(starve)
            began_s = now_s()
            with self.assertRaises(ConnectFailed):
                await attempts.open_connection(a_job(left_s, is_idempotent), address)
            # The iteration in which the attempt ends isn't over.
            took_s = now_s() - began_s - extra_s - measure_extra_s()
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


class EvidenceTest(unittest.TestCase):
    """Guards against taking a living engine as dead for want of time to reach it."""

    STOP_S = 0.8

    async def find_ejected(self, address, job, stop_s):
        """Return whether a stream and a plain request eject an unreachable engine."""
        part = Part(address, "boot-1", 0, 8)
        stream = SimpleNamespace(job=job, chain=(part,), exclude=mock.Mock())
        endpoint = SimpleNamespace(address=address, engine_id="boot-1")

        async def stop():
            block_event_loop(stop_s)

        with mock.patch.object(supervision, "mark_first_dead") as mark_first_dead:
            for attempt in (
                lambda: streamrelay._exchange(stream),
                lambda: plainrelay._attempt(job, endpoint, EventRelay(job)),
            ):
                async with anyio.create_task_group() as group:
                    group.start_soon(stop)
                    failed = await attempt()
                self.assertFalse(failed.is_sent)
        return mark_first_dead.called, bool(job.state.suspicions.records)

    def is_ejected(self, left_s, stop_s=0.0):
        with builders.full_listener() as address:
            return anyio.run(self.find_ejected, address, a_job(left_s), stop_s)

    def test_a_deadline_that_comes_first_is_no_evidence(self):
        for left_s in (0.0, 0.05):
            with self.subTest(left_s=left_s):
                self.assertEqual(self.is_ejected(left_s), (False, False))

    def test_a_stop_of_this_process_is_no_evidence(self):
        self.assertEqual(self.is_ejected(5.0, self.STOP_S), (False, False))

    def test_an_unreachable_engine_is_ejected(self):
        self.assertEqual(self.is_ejected(5.0), (True, True))


if __name__ == "__main__":
    unittest.main()
