"""Looking at the engines of streams that go slower than they should.

Failure: engines turn several times slower and answer all questions at once. The streams
of every entry crawl, and each new one goes to them as well. An entry sees that a stream
is slow but not by whose fault; engines tell their pace in their reports, and each look
costs the operators. So entries complain of whole chains, and one control VM beside each
engine looks once for all of them, goes on looking while the engine is slow, and tells
everybody. Looks at an engine that turns out to be sound come ever more rarely: under
a burst all streams are slow.
"""

import anyio
from loguru import logger

from cherryrudder.replica.clock import now_s
from cherryrudder.routing.slowness import MIN_SLOWNESS

from . import enginecalls, roster
from .controlstate import ControlState
from .errors import EngineCallFailed
from .gossip import PaceUpdate, SlownessReport

# Between looks at a slow engine; its report is some 0.2 s old by itself.
AGAIN_S = 0.5
# After a look that found an engine sound, it is left alone for so long, twice as long
# after each further one. The first one is short, as a report is some 0.2 s old: a look
# at the moment at which an engine turns slow finds nothing.
FIRST_REST_S = 0.4
MOST_REST_S = 4.0
# A report takes some milliseconds inside a data centre, and 15 from a busy engine; a
# lost packet is sent again after 0.2 s.
REPORT_S = 0.3

log = logger.bind(part="pace")


class PaceWatch:
    """The engines that one control process looks at for their pace."""

    def __init__(self, state: ControlState, links, group):
        self.state = state
        self.links = links
        self.group = group
        # By the engine's boot: those that are looked at now, and until when the others
        # rest, with the length of that rest.
        self._watched: set[str] = set()
        self._rests: dict[str, tuple[float, float]] = {}

    def handle_slowness_report(self, complaint: SlownessReport) -> None:
        """Look at the engines of a slow chain that were not looked at lately."""
        now = now_s()
        for engine_id in complaint.engine_ids:
            until_s, _ = self._rests.get(engine_id, (0.0, 0.0))
            if engine_id in self._watched or now < until_s:
                continue
            if engine_id in self.state.endpoints.table.entries:
                self._watched.add(engine_id)
                self.group.start_soon(self._watch, engine_id)

    def handle_pace_update(self, news: PaceUpdate) -> None:
        """Take over from an entry that has seen in a report that an engine is slow."""
        engine_id = news.engine_id
        is_known = engine_id in self.state.endpoints.table.entries
        if is_known and engine_id not in self._watched:
            self._watched.add(engine_id)
            self._tell(engine_id, news.slowness, is_news=True)
            self.group.start_soon(self._watch, engine_id)

    async def _watch(self, engine_id):
        was_slow = False
        try:
            while (slowness := await self._slowness(engine_id)) >= MIN_SLOWNESS:
                self._tell(engine_id, slowness, is_news=not was_slow)
                was_slow = True
                await anyio.sleep(AGAIN_S)
            if was_slow:
                self._tell(engine_id, slowness, is_news=True)
        finally:
            self._watched.discard(engine_id)
            self._rest(engine_id, was_slow)

    async def _slowness(self, engine_id):
        """Return an engine's pace, 1 when it gives none: it may be dead instead."""
        known = self.state.endpoints.table.entries.get(engine_id)
        if known is None or known.is_gone:
            return 1.0
        address = known.announcement.address
        try:
            return (await enginecalls.get_report(address, REPORT_S)).slowness
        except EngineCallFailed as error:
            log.info("No report: {}.", error)
            return 1.0

    def _tell(self, engine_id, slowness, is_news):
        news = PaceUpdate(engine_id, slowness)
        for address in roster.live_addresses(self.state.entries, now_s()):
            self.links.send(address, news)
        if is_news:
            self.state.sink.write(
                "pace", "pace", True, engine_id=engine_id, slowness=round(slowness, 2)
            )

    def _rest(self, engine_id, was_slow):
        known = set(self.state.endpoints.table.entries)
        self._rests = {name: r for name, r in self._rests.items() if name in known}
        _, last_s = self._rests.get(engine_id, (0.0, 0.0))
        rest_s = FIRST_REST_S if was_slow else min(MOST_REST_S, 2 * last_s)
        rest_s = max(FIRST_REST_S, rest_s)
        self._rests[engine_id] = (now_s() + rest_s, rest_s)
