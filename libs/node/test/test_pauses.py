"""Calls to a living engine while this process hardly runs."""

import time
import unittest

import anyio
import builders

from cherryrudder.node import stalls, verification
from cherryrudder.node.stalls import PROCESS_STALL_S, StallDetector
from cherryrudder.node.verification import Observation
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import endpoints

# An entry's time limits leave few event loop iterations of this length.
BLOCKED_S = 0.5 * PROCESS_STALL_S
# The same for a control VM's.
CONTROL_BLOCKED_S = 0.9 * verification.REPORT_TIMEOUT_S
TEST_S = 20.0


def block_event_loop(wait_s):
    """Block the event loop, as a process that waits for CPU time."""
    time.sleep(wait_s)


async def call_while_starved(blocked_s, call):
    """Return a call's result while another task blocks every loop iteration."""

    async def block():
        while True:
            block_event_loop(blocked_s)
            await anyio.sleep(0)

    async with anyio.create_task_group() as group:
        group.start_soon(block)
        with anyio.fail_after(TEST_S):
            result = await call()
        group.cancel_scope.cancel()
    return result


class StarvedProcessTest(unittest.TestCase):
    """Guards against taking a living engine as dead when this process hardly runs."""

    def setUp(self):
        piped = builders.PipedSink()
        self.addCleanup(piped.close)
        self.sink = piped.sink

    def test_an_entry_gets_the_reports_of_a_chain(self):
        detector = StallDetector(builders.a_state(self.sink), None)

        async def scenario():
            with builders.answering_engine() as first:
                with builders.answering_engine() as part:
                    return await call_while_starved(
                        BLOCKED_S, lambda: detector.get_reports([first, part])
                    )

        found = anyio.run(scenario)
        self.assertEqual([s.failed_tries for s in found.values()], [(), ()])

    def test_an_entry_gives_up_a_silent_engine(self):
        """Guards against asking again without end, as each timeout is noticed late."""
        detector = StallDetector(builders.a_state(self.sink), None)

        async def scenario():
            with builders.silent_engine() as address:
                return await call_while_starved(
                    2 * PROCESS_STALL_S, lambda: detector.get_reports([address])
                )

        (shared,) = anyio.run(scenario).values()
        self.assertEqual(len(shared.failed_tries), len(stalls.NEAR_TRIES))

    def test_a_control_vm_finds_that_it_lives(self):
        state = builders.a_control(self.sink, "127.0.0.1")

        async def scenario():
            with builders.answering_engine() as address:
                engine = builders.an_announcement(address=address)
                endpoints.record_heartbeat(state.endpoints.table, engine, now_s())
                verifier = verification.Verifier(state, None, None)
                return await call_while_starved(
                    CONTROL_BLOCKED_S, lambda: verifier._probe(engine.engine_id)
                )

        self.assertEqual(anyio.run(scenario), Observation.LIVES)


if __name__ == "__main__":
    unittest.main()
