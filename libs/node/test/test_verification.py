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
ACCUSER, OTHER = "entry-1:1", "entry-2:1"


class AccusationTest(unittest.TestCase):
    """A link between data centres loses packets, and an entry misses an answer.

    It accuses the engine; were all entries to drop it, each lost packet would take an
    engine from everybody, and soon no chain is left although all engines live. The
    control VM beside the engine asks it as well before anybody else is told.
    """

    def accuse(self, is_alive, times=1, accusers=(ACCUSER,), started_ms=(0, 0)):
        """Return what a control VM sends after accusations, and its reports."""
        piped = PipedSink()
        self.addCleanup(piped.close)
        state = ControlState(read_settings(SETTINGS).ok, piped.sink, Metrics())
        engine = an_announcement("boot-1", layers=(0, 8), started_ms=started_ms[0])
        endpoints.record_heartbeat(state.endpoints.table, engine, now_s())
        for address in (ACCUSER, OTHER):
            roster.record(state.entries, address, None, now_s())
        sent, asked = [], []

        async def get_report(address, timeout_s=0.0, kept=None):
            asked.append(address)
            await anyio.sleep(0)
            if not is_alive:
                raise EngineCallFailed(address)
            return Report(0, False, 0, 0, 0.0, 0.0, 1.0, (0, 8), (), started_ms[1])

        async def play():
            async with anyio.create_task_group() as group:
                beats = ControlGossip(state, group)
                beats.links.send = lambda address, message: sent.append(
                    (address, message)
                )
                for _ in range(times):
                    for accuser in accusers:
                        beats._on_frames("", [SuspicionReport("boot-1", accuser)])

        kept = enginecalls.get_report
        enginecalls.get_report = get_report
        try:
            anyio.run(play)
        finally:
            enginecalls.get_report = kept
        return sent, asked, state

    def test_one_that_lives_is_cleared_and_nobody_else_hears_of_it(self):
        sent, _, state = self.accuse(is_alive=True)
        self.assertEqual(sent, [(ACCUSER, Refutation("boot-1"))])
        self.assertEqual(state.suspected_s, {})

    def test_one_that_is_dead_is_told_to_everybody(self):
        sent, _, state = self.accuse(is_alive=False)
        notice = DeathNotice("boot-1")
        self.assertEqual(sent, [(ACCUSER, notice), (OTHER, notice)])
        self.assertIn("boot-1", state.suspected_s)

    def test_many_accusers_at_once_cost_one_look(self):
        sent, asked, _ = self.accuse(True, times=5, accusers=(ACCUSER, OTHER))
        self.assertEqual(len(asked), 1)
        self.assertEqual({address for address, _ in sent}, {ACCUSER, OTHER})

    def test_one_that_has_started_again_since_is_dead(self):
        """The address answers, but the boot that held the layers is gone."""
        sent, _, state = self.accuse(is_alive=True, started_ms=(100, 200))
        self.assertIn((ACCUSER, DeathNotice("boot-1")), sent)
        self.assertIn("boot-1", state.suspected_s)


if __name__ == "__main__":
    unittest.main()
