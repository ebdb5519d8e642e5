"""Checks of a silent stream whose engines share a host or a link that pauses."""

import unittest
from types import SimpleNamespace
from unittest import mock

import anyio
import builders

from cherryrudder.layers.chains import Part
from cherryrudder.node import enginecalls
from cherryrudder.node.errors import EngineCallFailed
from cherryrudder.node.stalls import StallDetector
from cherryrudder.node.supervision import StreamSupervisor
from cherryrudder.platform.engines import Report
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import endpoints

ENGINES = 5
FIRST, *OTHERS, LAST = [f"engine-{n}:80" for n in range(ENGINES)]
A_REPORT = Report(0, False, 0, 0, 0.0, 0.0, 1.0, (0, ENGINES), ())
# Longer than all tries at a part, shorter than those at a first engine.
PART_PAUSE_S = 0.12
# Longer than all tries at any engine.
LONG_PAUSE_S = 1.5


class Host:
    """A host of engines that pauses, and engines there that are dead."""

    def __init__(self, dead=(), ready=()):
        self.dead = set(dead)
        # Addresses that answer once at the beginning of a pause.
        self.ready = set(ready)
        self.resumes_s = 0.0

    def pause(self, pause_s):
        """Pause from now on."""
        self.resumes_s = now_s() + pause_s

    async def get_report(self, address, timeout_s, kept):
        """Return a report as soon as the host runs, or fail after the timeout."""
        if address in self.dead:
            raise EngineCallFailed("connection refused")
        wait_s = max(0.0, self.resumes_s - now_s())
        if address in self.ready:
            self.ready.remove(address)
            wait_s = 0.0
        if wait_s > timeout_s:
            await anyio.sleep(timeout_s)
            raise EngineCallFailed("timeout")
        await anyio.sleep(wait_s + 0.001)
        return A_REPORT


class HostPauseTest(unittest.TestCase):
    """Guards against taking a living engine as dead when its whole host pauses."""

    def find_lost(self, host, prepare=None):
        """Return the engines that the check of a silent stream takes as dead."""
        piped = builders.PipedSink()
        self.addCleanup(piped.close)
        state = builders.a_state(piped.sink)
        chain = []
        for number in range(ENGINES):
            engine = builders.an_announcement(f"engine-{number}", layers=(0, ENGINES))
            endpoints.record_heartbeat(state.endpoints.table, engine, now_s())
            chain.append(Part(engine.address, engine.engine_id, number, number + 1))
        uplink = mock.Mock()
        detector = StallDetector(state, uplink)
        supervisor = StreamSupervisor(state, detector, None)
        job = SimpleNamespace(facts=SimpleNamespace(request_id="r"))
        stream = SimpleNamespace(chain=tuple(chain), job=job)

        async def scenario():
            if prepare:
                await prepare(detector)
            return await supervisor._find_lost(stream)

        with mock.patch.object(enginecalls, "get_report", host.get_report):
            return anyio.run(scenario)

    def test_engines_that_answered_as_the_pause_began_accuse_no_other(self):
        host = Host(ready={*OTHERS, LAST})
        host.pause(LONG_PAUSE_S)
        self.assertEqual(self.find_lost(host), set())

    def test_reports_from_before_the_pause_accuse_no_engine(self):
        host = Host()

        async def prepare(detector):
            await detector.get_reports(["engine-9:80", *OTHERS, LAST])
            host.pause(LONG_PAUSE_S)

        self.assertEqual(self.find_lost(host, prepare), set())

    def test_an_engine_that_answers_at_last_accuses_no_other(self):
        host = Host(ready={*OTHERS[1:], LAST})
        host.pause(PART_PAUSE_S)
        self.assertEqual(self.find_lost(host), set())

    def test_an_engine_that_died_meanwhile_hides_no_other_death(self):
        host = Host()

        async def prepare(detector):
            await detector.get_reports(["engine-9:80", *OTHERS, LAST])
            host.dead = {FIRST, OTHERS[0]}

        self.assertEqual(self.find_lost(host, prepare), {FIRST})

    def test_a_dead_engine_is_found_before_others_have_answered(self):
        for dead in (FIRST, LAST):
            with self.subTest(dead=dead):
                self.assertEqual(self.find_lost(Host([dead])), {dead})


if __name__ == "__main__":
    unittest.main()
