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
    """Engines turn slow; entries see slow streams and complain of whole chains.

    Everybody has to hear which engines are slow, and when they are sound again, and
    the engines must not be asked again for each stream that complains.
    """

    def play(self, paces, scenario):
        """Return the news that went out, and how often an engine was asked.

        `paces` are an engine's next answers; None for no answer.
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

        kept = enginecalls.get_report, pacewatch.AGAIN_S
        enginecalls.get_report, pacewatch.AGAIN_S = get_report, 0.01
        try:
            anyio.run(run)
        finally:
            enginecalls.get_report, pacewatch.AGAIN_S = kept
        return sent, asked

    async def complain(self, watch):
        watch.handle_slowness_report(SlownessReport(("boot-1", "unknown")))

    def test_a_slow_engine_is_told_until_it_is_sound(self):
        sent, _ = self.play([5.0, 5.0, 1.0], self.complain)
        self.assertEqual(sent, [PaceUpdate("boot-1", p) for p in (5.0, 5.0, 1.0)])

    def test_a_sound_engine_is_no_news_and_rests(self):
        async def scenario(watch):
            for _ in range(5):
                watch.handle_slowness_report(SlownessReport(("boot-1",)))
                await anyio.sleep(0.01)

        sent, asked = self.play([], scenario)
        self.assertEqual((sent, len(asked)), ([], 1))

    def test_an_engine_that_gives_no_report_is_not_called_slow(self):
        sent, _ = self.play([None], self.complain)
        self.assertEqual(sent, [])

    def test_what_an_entry_has_seen_counts_at_once(self):
        """An engine that was found sound rests, and an entry sees it slow then."""

        async def scenario(watch):
            watch.handle_slowness_report(SlownessReport(("boot-1",)))
            await anyio.sleep(0.02)
            watch.handle_pace_update(PaceUpdate("boot-1", 7.0))

        sent, _ = self.play([1.0, 7.0, 1.0], scenario)
        self.assertEqual([news.slowness for news in sent], [7.0, 7.0, 1.0])


if __name__ == "__main__":
    unittest.main()
