"""The leader's care for the layers: it plans ranges and orders engines to hold them.

Only the log's leader gives orders, with its term as the fence, so that the orders of a
leader that was replaced are refused. Each order names the count of orders that the
engine has begun: one that is carried out seconds late, after others, is refused too.
"""

from typing import NamedTuple

import anyio
from loguru import logger

from cherryrudder.layers import planner
from cherryrudder.layers.layout import EngineState, Placement
from cherryrudder.layers.profile import NO_LAYERS, LayerRange, ModelProfile
from cherryrudder.platform import engines
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import endpoints
from cherryrudder.routing.endpoints import Announcement

from . import enginecalls, tablesync
from .controlgossip import ControlGossip
from .controlstate import ControlState
from .errors import EngineCallFailed

REVIEW_S = 0.25
# At the first start the engines announce themselves one after the other; a plan made
# from some of them gives each too many layers. They are planned once nobody new has
# come for longer than one heartbeat (1.2 s).
SETTLE_S = 1.5
# A death that an entry and a control VM found is acted upon after this time: engines
# that were lost together, as those of a rack, are found within it, and one plan covers
# all. Waiting for missed heartbeats instead leaves a hole in the layers for 3 s more.
TOGETHER_S = 0.25
# A process that has just started hears of the engines one by one, within two of their
# heartbeats. What it doesn't know yet would look like holes.
LISTEN_S = 3.0
# A load that takes this many times its nominal time is not waited for any longer.
PATIENCE = 4.0
PATIENCE_MORE_S = 3.0
# Between looks at an engine that loads; a layer takes 0.2 s, and each look is a call.
FOLLOW_S = 0.3
# An engine that has just come is not placed where nothing is missing: in a rolling
# replacement the old one says within one heartbeat that it leaves.
FRESH_S = 2.0
# After a refused or failed order the engine is left alone for one of its heartbeats.
RETRY_S = 1.2

log = logger.bind(part="layers")


class Ordered(NamedTuple):
    """An order whose end was not seen yet."""

    holding: LayerRange
    until_s: float


class LayerKeeper:
    """The orders of one control process while it leads."""

    def __init__(self, state: ControlState, beats: ControlGossip, group):
        self.state = state
        self.beats = beats
        self.group = group
        self._ordered: dict[str, Ordered] = {}
        self._not_before_s: dict[str, float] = {}
        self._known: frozenset[str] = frozenset()
        self._came_s: dict[str, float] = {}
        self._changed_s = 0.0
        self._started_s = now_s()

    async def run(self) -> None:
        """Review the plan as long as this process runs."""
        while True:
            await anyio.sleep(REVIEW_S)
            if not self.state.is_leader():
                # What another leader orders meanwhile is seen in the heartbeats.
                self._ordered.clear()
                continue
            for service in self.state.services():
                if service.model is not None and service.model.layers:
                    await self._review(service)

    async def _review(self, service):
        now = now_s()
        live = [
            a
            for a in endpoints.live(self.state.endpoints.table, now)
            if a.service == service.name and not self._is_dead(a.engine_id, now)
        ]
        self._settle(live, now)
        if not self._is_settled(live, now):
            return
        holders = [self._holder(a, now) for a in live]
        placements = planner.plan(service.model, holders)
        async with anyio.create_task_group() as group:
            for placement in placements:
                not_before_s = self._not_before_s.get(placement.state.engine_id, 0.0)
                if now >= not_before_s:
                    group.start_soon(self._order, service.model, placement)

    def _is_dead(self, engine_id, now):
        """Tell whether an engine that entries found dead has not been heard since."""
        accused_s = self.state.suspected_s.get(engine_id)
        if accused_s is None:
            return False
        if self.state.endpoints.table.entries[engine_id].last_seen_s > accused_s:
            del self.state.suspected_s[engine_id]
            return False
        return now - accused_s > TOGETHER_S

    def _settle(self, live, now):
        """Take note of who came, and of orders whose end the heartbeats show."""
        known = frozenset(a.engine_id for a in live)
        if known - self._known:
            self._changed_s = now
        self._known = known
        self._came_s = {name: self._came_s.get(name, now) for name in known}
        for announcement in live:
            ordered = self._ordered.get(announcement.engine_id)
            if ordered is None:
                continue
            if announcement.holding == ordered.holding or now > ordered.until_s:
                del self._ordered[announcement.engine_id]

    def _is_settled(self, live, now):
        is_first = all(a.holding == NO_LAYERS for a in live) and not self._ordered
        if is_first:
            return bool(live) and now - self._changed_s > SETTLE_S
        return now - self._started_s > LISTEN_S

    def _holder(self, announcement: Announcement, now):
        ordered = self._ordered.get(announcement.engine_id)
        holding = ordered.holding if ordered else announcement.holding
        return EngineState(
            address=announcement.address,
            engine_id=announcement.engine_id,
            vm_zone=announcement.vm_zone,
            kind=announcement.kind,
            holding=holding,
            is_busy=ordered is not None,
            is_leaving=endpoints.has_leaving_notice(announcement),
            is_fresh=now - self._came_s[announcement.engine_id] < FRESH_S,
        )

    async def _order(self, profile: ModelProfile, placement: Placement):
        holder, holding = placement
        self._not_before_s[holder.engine_id] = now_s() + RETRY_S
        if not self.state.is_leader():
            return
        fence = self.state.voter.node.term
        try:
            outcome = await _place(placement, fence)
        except EngineCallFailed as error:
            outcome = f"failed: {error}"
        self.state.metrics.orders.labels(outcome.partition(":")[0]).inc()
        self.state.sink.write(
            "layers",
            "order",
            True,
            engine_id=holder.engine_id,
            address=holder.address,
            kind=holder.kind,
            had=list(holder.holding),
            layers=list(holding),
            fence=fence,
            outcome=outcome,
        )
        if outcome in ("begun", "held"):
            share = (holding.end - holding.first) / profile.layers
            patience_s = PATIENCE * profile.load_s * share + PATIENCE_MORE_S
            ordered = Ordered(holding, now_s() + patience_s)
            self._ordered[holder.engine_id] = ordered
            self.group.start_soon(self._follow, holder, ordered)

    async def _follow(self, holder: EngineState, ordered: Ordered):
        """Tell everybody what an engine holds as soon as a load has changed it.

        Its own word comes with the next heartbeat, up to 1.2 s later; until then
        entries send requests to layers that it gave up, and none to the new ones.
        """
        self._observe(holder.engine_id, _kept(holder.holding, ordered.holding))
        while now_s() < ordered.until_s:
            try:
                report = await enginecalls.get_report(holder.address)
            except EngineCallFailed as error:
                log.info("The end of a load was not seen: {}.", error)
                return
            # Anything else may be older than the engine's own last word.
            if report.holding == ordered.holding:
                self._observe(holder.engine_id, report.holding)
                return
            await anyio.sleep(FOLLOW_S)

    def _observe(self, engine_id, holding):
        if tablesync.observe(self.state.endpoints, engine_id, holding, now_s()):
            self.state.sink.write(
                "layers", "seen", True, engine_id=engine_id, layers=list(holding)
            )
            self.beats.publish_endpoints([engine_id])


def _kept(old: LayerRange, new: LayerRange) -> LayerRange:
    """Return the layers that an engine goes on serving while it loads others."""
    first, end = max(old.first, new.first), min(old.end, new.end)
    return LayerRange(first, end) if first < end else NO_LAYERS


async def _place(placement: Placement, fence: int) -> str:
    """Order one placement and return its outcome; raises EngineCallFailed."""
    holder, holding = placement
    report = await enginecalls.get_report(holder.address)
    if report.is_loading:
        return "busy"
    if report.holding != holder.holding:
        return "changed"
    order = engines.Order(holding, fence, report.orders_begun)
    status = await enginecalls.send_order(holder.address, order)
    return {202: "begun", 200: "held", 409: "refused", 412: "old fence"}.get(
        status, f"refused: status {status}"
    )
