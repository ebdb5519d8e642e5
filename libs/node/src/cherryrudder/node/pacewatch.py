"""Check the pace of engines whose streams are slower than expected.

Problem: engines become several times slower but still answer every call at once. The
streams of all entries slow down, and new streams are sent to these engines as well. An
entry detects that a stream is slow but not which engine causes it. Engines state their
pace in their reports, but each request for a report costs the operators. So entries
send slowness reports about whole chains. One control VM near each engine requests a
report for all of them, repeats it while the engine is slow, and sends the result to all
entries. Checks of an engine that proves healthy become ever rarer, since all streams
are slow during a burst.
"""

import anyio
from loguru import logger

from cherryrudder.replica.clock import now_s
from cherryrudder.routing.slowness import MIN_SLOWNESS

from . import enginecalls, roster
from .controlstate import ControlState
from .errors import EngineCallFailed
from .gossip import PaceUpdate, SlownessReport

# Interval between reports from a slow engine; a report itself is some 0.2 s old.
POLL_INTERVAL_S = 0.5
# Pause after a report that showed a healthy engine, doubled after each further one. The
# first pause is short because a report is some 0.2 s old: one that is requested just
# when an engine becomes slow doesn't show it.
MIN_REST_S = 0.4
MAX_REST_S = 4.0
# A report takes some milliseconds inside a data centre, and 15 ms from a busy engine; a
# lost packet is retransmitted after 0.2 s.
REPORT_TIMEOUT_S = 0.3

log = logger.bind(part="pace")


class PaceWatch:
    """Checks the pace of engines for one control process."""

    def __init__(self, state: ControlState, links, group):
        self.state = state
        self.links = links
        self.group = group
        # By engine id: the engines that are checked now, and the end and the length of
        # the pause of others.
        self._watched: set[str] = set()
        self._rests: dict[str, tuple[float, float]] = {}

    def handle_slowness_report(self, report: SlownessReport) -> None:
        """Check the engines of a slow chain that are not in their pause."""
        now = now_s()
        for engine_id in report.engine_ids:
            until_s, _ = self._rests.get(engine_id, (0.0, 0.0))
            if engine_id in self._watched or now < until_s:
                continue
            if engine_id in self.state.endpoints.table.entries:
                self._watched.add(engine_id)
                self.group.start_soon(self._watch, engine_id)

    def handle_pace_update(self, update: PaceUpdate) -> None:
        """Send out a slow pace that an entry found in a report, and keep checking."""
        engine_id = update.engine_id
        is_known = engine_id in self.state.endpoints.table.entries
        if is_known and engine_id not in self._watched:
            self._watched.add(engine_id)
            self._send_pace(engine_id, update.slowness, is_change=True)
            self.group.start_soon(self._watch, engine_id)

    async def _watch(self, engine_id):
        was_slow = False
        try:
            while (slowness := await self._slowness(engine_id)) >= MIN_SLOWNESS:
                self._send_pace(engine_id, slowness, is_change=not was_slow)
                was_slow = True
                await anyio.sleep(POLL_INTERVAL_S)
            if was_slow:
                self._send_pace(engine_id, slowness, is_change=True)
        finally:
            self._watched.discard(engine_id)
            self._rest(engine_id, was_slow)

    async def _slowness(self, engine_id):
        """Return an engine's slowness, 1 if it gives no report, as it may be dead."""
        known = self.state.endpoints.table.entries.get(engine_id)
        if known is None or known.is_gone:
            return 1.0
        address = known.announcement.address
        try:
            return (await enginecalls.get_report(address, REPORT_TIMEOUT_S)).slowness
        except EngineCallFailed as error:
            log.info("No report: {}.", error)
            return 1.0

    def _send_pace(self, engine_id, slowness, is_change):
        update = PaceUpdate(engine_id, slowness)
        for address in roster.live_addresses(self.state.entries, now_s()):
            self.links.send(address, update)
        if is_change:
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
