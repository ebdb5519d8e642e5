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
from cherryrudder.routing.slowness import LEAST_SLOWNESS

from . import enginecalls, roster
from .controlstate import ControlState
from .errors import EngineCallFailed
from .gossip import Complaint, PaceNews

# Between looks at a slow engine; its report is some 0.2 s old by itself.
POLL_INTERVAL_S = 0.5
# After a look that found an engine sound, it is left alone for so long, twice as long
# after each further one. The first one is short, as a report is some 0.2 s old: a look
# at the moment at which an engine turns slow finds nothing.
MIN_REST_S = 0.4
MAX_REST_S = 4.0
# A report takes some milliseconds inside a data centre, and 15 from a busy engine; a
# lost packet is sent again after 0.2 s.
REPORT_TIMEOUT_S = 0.3

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

    def hear(self, complaint: Complaint) -> None:
        """Look at the engines of a slow chain that were not looked at lately."""
        now = now_s()
        for engine_id in complaint.engine_ids:
            until_s, _ = self._rests.get(engine_id, (0.0, 0.0))
            if engine_id in self._watched or now < until_s:
                continue
            if engine_id in self.state.endpoints.table.entries:
                self._watched.add(engine_id)
                self.group.start_soon(self._watch, engine_id)

    def hear_seen(self, news: PaceNews) -> None:
        """Take over from an entry that has seen in a report that an engine is slow."""
        engine_id = news.engine_id
        is_known = engine_id in self.state.endpoints.table.entries
        if is_known and engine_id not in self._watched:
            self._watched.add(engine_id)
            self._send_pace(engine_id, news.slowness, is_news=True)
            self.group.start_soon(self._watch, engine_id)

    async def _watch(self, engine_id):
        was_slow = False
        try:
            while (slowness := await self._slowness(engine_id)) >= LEAST_SLOWNESS:
                self._send_pace(engine_id, slowness, is_news=not was_slow)
                was_slow = True
                await anyio.sleep(POLL_INTERVAL_S)
            if was_slow:
                self._send_pace(engine_id, slowness, is_news=True)
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
            return (await enginecalls.get_report(address, REPORT_TIMEOUT_S)).slowness
        except EngineCallFailed as error:
            log.info("No report: {}.", error)
            return 1.0

    def _send_pace(self, engine_id, slowness, is_news):
        news = PaceNews(engine_id, slowness)
        for address in roster.present(self.state.entries, now_s()):
            self.links.send(address, news)
        if is_news:
            self.state.sink.write(
                "pace", "pace", True, engine_id=engine_id, slowness=round(slowness, 2)
            )

    def _rest(self, engine_id, was_slow):
        known = set(self.state.endpoints.table.entries)
        self._rests = {name: r for name, r in self._rests.items() if name in known}
        _, last_s = self._rests.get(engine_id, (0.0, 0.0))
        rest_s = MIN_REST_S if was_slow else min(MAX_REST_S, 2 * last_s)
        rest_s = max(MIN_REST_S, rest_s)
        self._rests[engine_id] = (now_s() + rest_s, rest_s)
