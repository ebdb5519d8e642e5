import unittest

import anyio
from builders import PipedSink, an_announcement

from cherryrudder.node import enginecalls, roster
from cherryrudder.node.controlgossip import ControlGossip
from cherryrudder.node.controlstate import ControlState
from cherryrudder.node.errors import EngineCallFailed
from cherryrudder.node.gossip import DeathNotice, Refutation, SuspicionReport
from cherryrudder.node.metrics import Metrics
from cherryrudder.platform.engines import Report
from cherryrudder.platform.settings import read_settings
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import endpoints

SETTINGS = """
node_name = "front-1"
role = "control"
ip = "127.0.0.1"
zone = "a"
internal_port_range = [7340, 7355]
seeds = ["127.0.0.1:8229"]
[listen]
control = "127.0.0.1:8229"
"""
REPORTER, OTHER = "entry-1:1", "entry-2:1"


class SuspicionTest(unittest.TestCase):
    """Guards against dropping an engine everywhere because one entry lost a packet.

    A link between data centres loses packets, and an entry misses an engine's answer.
    If all entries dropped the engine, soon no chain would be left although all engines
    are alive. So the control VM near the engine probes it before it informs the others.
    """

    def report_suspect(
        self, is_alive, times=1, reporters=(REPORTER,), started_ms=(0, 0)
    ):
        """Return a control VM's messages after the reports, its probes and state."""
        piped = PipedSink()
        self.addCleanup(piped.close)
        state = ControlState(read_settings(SETTINGS).ok, piped.sink, Metrics())
        engine = an_announcement("boot-1", layers=(0, 8), started_ms=started_ms[0])
        endpoints.record_heartbeat(state.endpoints.table, engine, now_s())
        for address in (REPORTER, OTHER):
            roster.record(state.entries, address, None, now_s())
        sent, asked = [], []

        async def get_report(address, timeout_s=0.0, kept=None):
            asked.append(address)
            await anyio.sleep(0)
            if not is_alive:
                raise EngineCallFailed(address)
            return Report(0, False, 0, 0, 0.0, 0.0, 1.0, (0, 8), (), started_ms[1])

        async def scenario():
            async with anyio.create_task_group() as group:
                gossip = ControlGossip(state, group)
                gossip.links.send = lambda address, message: sent.append(
                    (address, message)
                )
                for _ in range(times):
                    for reporter in reporters:
                        gossip._on_frames("", [SuspicionReport("boot-1", reporter)])

        kept = enginecalls.get_report
        enginecalls.get_report = get_report
        try:
            anyio.run(scenario)
        finally:
            enginecalls.get_report = kept
        return sent, asked, state

    def test_a_living_engine_is_cleared_for_the_reporting_entry_only(self):
        sent, _, state = self.report_suspect(is_alive=True)
        self.assertEqual(sent, [(REPORTER, Refutation("boot-1"))])
        self.assertEqual(state.suspected_s, {})

    def test_a_dead_engine_is_reported_to_all_entries(self):
        sent, _, state = self.report_suspect(is_alive=False)
        notice = DeathNotice("boot-1")
        self.assertEqual(sent, [(REPORTER, notice), (OTHER, notice)])
        self.assertIn("boot-1", state.suspected_s)

    def test_many_reports_at_once_share_one_probe(self):
        sent, asked, _ = self.report_suspect(True, times=5, reporters=(REPORTER, OTHER))
        self.assertEqual(len(asked), 1)
        self.assertEqual({address for address, _ in sent}, {REPORTER, OTHER})

    def test_an_engine_that_has_restarted_counts_as_dead(self):
        """The address answers, but the incarnation that held the layers is gone."""
        sent, _, state = self.report_suspect(is_alive=True, started_ms=(100, 200))
        self.assertIn((REPORTER, DeathNotice("boot-1")), sent)
        self.assertIn("boot-1", state.suspected_s)


if __name__ == "__main__":
    unittest.main()
