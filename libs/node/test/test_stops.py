"""Calls to an engine while this process is stopped."""

import time
import unittest
from unittest import mock

import anyio
import builders

from cherryrudder.node import enginecalls, stalls
from cherryrudder.node.errors import EngineCallFailed
from cherryrudder.node.stalls import StallDetector
from cherryrudder.node.verification import Verifier
from cherryrudder.replica.clock import now_s

TIMEOUT_S = 0.1
# An engine answers within the timeout, but not at once.
DELAY_S = 0.06
STOP_S = 0.8
TEST_S = 5.0


def stop_process(wait_s):
    """Block the event loop, as a process that is stopped."""
    time.sleep(wait_s)


class StoppedProcessTest(unittest.TestCase):
    """Guards against taking a living engine as silent after a stop of this process."""

    def setUp(self):
        piped = builders.PipedSink()
        self.addCleanup(piped.close)
        detector = StallDetector(builders.a_state(piped.sink), None)
        verifier = Verifier(builders.a_control(piped.sink, "127.0.0.1"), None, None)
        self.askers = {
            "entry": lambda address: detector._report(address, TIMEOUT_S, []),
            "control": lambda address: verifier._report(address, TIMEOUT_S),
        }

    def ask_all(self, open_engine, stop):
        """Return each asker's report, asked for while this process stops."""

        async def run(ask):
            with open_engine() as address:
                async with anyio.create_task_group() as group:
                    group.start_soon(stop)
                    with anyio.fail_after(TEST_S):
                        report = await ask(address)
                    group.cancel_scope.cancel()
            return report

        return {asker: anyio.run(run, ask) for asker, ask in self.askers.items()}

    def test_an_engine_that_answers_within_the_timeout_is_heard(self):
        async def stop():
            stop_process(STOP_S)

        def open_engine():
            return builders.answering_engine(DELAY_S)

        found = self.ask_all(open_engine, stop)
        self.assertEqual([asker for asker in found if found[asker] is None], [])

    def test_asking_again_ends_if_each_call_is_stopped(self):
        """Guards against asking without end, so that a stream stays silent."""
        calls = []

        async def get_report(address, timeout_s, kept=None):
            calls.append(address)
            await anyio.sleep(0)
            stop_process(timeout_s + 2 * stalls.PROCESS_STALL_S)
            raise EngineCallFailed(address)

        with mock.patch.object(enginecalls, "get_report", get_report):
            found = self.ask_all(builders.silent_engine, anyio.sleep_forever)
        self.assertEqual(set(found.values()), {None})
        self.assertEqual(len(calls), len(found) * stalls.MAX_STALL_RETRIES)

    def test_asking_again_ends_by_the_clock(self):
        """Guards against a check of a stream that outlasts its caller's patience."""
        began_s = {}

        async def get_report(address, timeout_s, kept=None):
            asking_s = now_s() - began_s.setdefault(address, now_s())
            self.assertLess(asking_s, stalls.MAX_STALL_S)
            await anyio.sleep(0)
            stop_process(0.6 * stalls.MAX_STALL_S)
            raise EngineCallFailed(address)

        with mock.patch.object(enginecalls, "get_report", get_report):
            found = self.ask_all(builders.silent_engine, anyio.sleep_forever)
        self.assertEqual(set(found.values()), {None})


if __name__ == "__main__":
    unittest.main()
