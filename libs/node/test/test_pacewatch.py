import unittest
from types import SimpleNamespace

import anyio
from builders import an_announcement

from cherryrudder.node import enginecalls, pacewatch, roster
from cherryrudder.node.errors import EngineCallFailed
from cherryrudder.node.gossip import PaceUpdate, SlownessReport
from cherryrudder.node.pacewatch import PaceWatch
from cherryrudder.node.roster import Roster
from cherryrudder.node.tablesync import SharedTable
from cherryrudder.platform.engines import Report
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import endpoints

ENTRY = "entry-1:1"


class WatchTest(unittest.TestCase):
    """Guards against slow engines that entries are not informed of.

    Entries report whole chains as slow. All entries must receive which engines are slow
    and when they are healthy again, without a request to the engine for each of these.
    """

    def run_scenario(self, paces, scenario):
        """Return the messages sent and the addresses asked for a report.

        `paces` are the engine's next answers, None for no answer.
        """
        table = SharedTable("boot")
        endpoints.record_heartbeat(table.table, an_announcement("boot-1"), now_s())
        entries = Roster()
        roster.record(entries, ENTRY, None, now_s())
        sink = SimpleNamespace(write=lambda *args, **fields: None)
        state = SimpleNamespace(endpoints=table, entries=entries, sink=sink)
        sent, asked = [], []

        async def get_report(address, timeout_s):
            asked.append(address)
            pace = paces.pop(0) if paces else 1.0
            if pace is None:
                raise EngineCallFailed(address)
            return Report(0, False, 0, 0, 0.0, 0.0, pace, (0, 8), ())

        async def run():
            async with anyio.create_task_group() as group:
                links = SimpleNamespace(send=lambda _, message: sent.append(message))
                await scenario(PaceWatch(state, links, group))

        kept = enginecalls.get_report, pacewatch.POLL_INTERVAL_S
        enginecalls.get_report, pacewatch.POLL_INTERVAL_S = get_report, 0.01
        try:
            anyio.run(run)
        finally:
            enginecalls.get_report, pacewatch.POLL_INTERVAL_S = kept
        return sent, asked

    async def report_slow_chain(self, watch):
        watch.handle_slowness_report(SlownessReport(("boot-1", "unknown")))

    def test_a_slow_pace_is_sent_until_the_engine_is_healthy(self):
        sent, _ = self.run_scenario([5.0, 5.0, 1.0], self.report_slow_chain)
        self.assertEqual(sent, [PaceUpdate("boot-1", p) for p in (5.0, 5.0, 1.0)])

    def test_a_healthy_engine_is_not_reported_and_checked_once(self):
        async def scenario(watch):
            for _ in range(5):
                watch.handle_slowness_report(SlownessReport(("boot-1",)))
                await anyio.sleep(0.01)

        sent, asked = self.run_scenario([], scenario)
        self.assertEqual((sent, len(asked)), ([], 1))

    def test_an_engine_without_a_report_does_not_count_as_slow(self):
        sent, _ = self.run_scenario([None], self.report_slow_chain)
        self.assertEqual(sent, [])

    def test_a_slow_pace_found_by_an_entry_is_sent_at_once(self):
        """The engine was found healthy just before, so its checks are paused."""

        async def scenario(watch):
            watch.handle_slowness_report(SlownessReport(("boot-1",)))
            await anyio.sleep(0.02)
            watch.handle_pace_update(PaceUpdate("boot-1", 7.0))

        sent, _ = self.run_scenario([1.0, 7.0, 1.0], scenario)
        self.assertEqual([update.slowness for update in sent], [7.0, 7.0, 1.0])


if __name__ == "__main__":
    unittest.main()
