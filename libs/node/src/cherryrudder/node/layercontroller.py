"""Plan which engine holds which layers, and order engines to load them.

Only the log's leader sends orders. They carry its term as a fencing token, so that
orders of a replaced leader are refused. Each order also names the number of orders that
the engine has begun, so that an order that arrives late, after others, is refused too.
"""

from typing import NamedTuple

import anyio
import anyio.lowlevel
from loguru import logger

from cherryrudder.layers import planner, profile
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

REVIEW_INTERVAL_S = 0.25
# At the first start the engines announce themselves one after the other, and a plan
# made from some of them would give each too many layers. The first plan is made once no
# new engine has announced itself for longer than one heartbeat (1.2 s).
FIRST_PLAN_QUIET_S = 1.5
# Delay between an engine's death and the new plan. Engines that are lost together, as
# those of a rack, are detected within it, so that one plan covers all. Waiting for
# missed heartbeats instead would leave layers without an engine for 3 s more.
DEATH_BATCH_S = 0.25
# A process that has just started receives the engines' heartbeats one by one, within
# two of their intervals. Until then, layers of unknown engines would seem missing.
STARTUP_WAIT_S = 3.0
# A load times out after this many times its nominal duration, plus the extra below.
LOAD_TIMEOUT_FACTOR = 4.0
LOAD_TIMEOUT_EXTRA_S = 3.0
# Poll interval while an engine loads layers. A layer takes 0.2 s, each poll is a call.
LOAD_POLL_S = 0.3
# How long an engine counts as new. It gets no layers then unless some are missing: in a
# rolling replacement, the old engine announces within one heartbeat that it is leaving.
NEW_ENGINE_S = 2.0
# After a refused or failed order, an engine gets no other for one of its heartbeats.
RETRY_DELAY_S = 1.2

log = logger.bind(part="layers")


class PendingOrder(NamedTuple):
    """An order whose end has not been observed yet."""

    holding: LayerRange
    until_s: float


class LayerController:
    """Plans layers and sends orders while this control process leads."""

    def __init__(self, state: ControlState, gossip: ControlGossip, group):
        self.state = state
        self.gossip = gossip
        self.group = group
        self._pending: dict[str, PendingOrder] = {}
        self._models: dict[str, ModelProfile] = {}
        self._not_before_s: dict[str, float] = {}
        # Since when each engine is known, by service.
        self._first_seen_s: dict[str, dict[str, float]] = {}
        # When a service's newest engine was first seen.
        self._changed_s: dict[str, float] = {}
        # The error of the last step, by service or engine; logged when it changes.
        self._errors: dict[str, str] = {}
        self._started_s = now_s()

    async def run(self) -> None:
        """Review the plan periodically until cancelled."""
        while True:
            await anyio.sleep(REVIEW_INTERVAL_S)
            if not self.state.is_leader():
                # The results of another leader's orders arrive with the heartbeats.
                self._pending.clear()
                continue
            for service in self.state.services():
                if service.model is not None and profile.is_servable(service.model):
                    await self._try(service.name, self._review, service)
                    # A configuration may hold any number of services.
                    await anyio.lowlevel.checkpoint()

    async def _try(self, name, step, *arguments):
        """Run one step for a service or an engine; an error costs this step alone."""
        try:
            await step(*arguments)
        except Exception as error:
            self.state.metrics.failed_steps.labels("plan").inc()
            if self._errors.get(name) != repr(error):
                log.opt(exception=error).error("Planning {!r} failed.", name)
            self._errors[name] = repr(error)
        else:
            self._errors.pop(name, None)

    async def _review(self, service):
        now = now_s()
        live = [
            a
            for a in endpoints.live(self.state.endpoints.table, now)
            if a.service == service.name and not self._is_dead(a.engine_id, now)
        ]
        self._drop_outdated(service, live)
        self._update_known(service.name, live, now)
        if not self._is_settled(service.name, live, now):
            return
        states = [self._engine_state(a, now) for a in live]
        placements = planner.plan(service.model, states)
        async with anyio.create_task_group() as group:
            for placement in placements:
                not_before_s = self._not_before_s.get(placement.state.engine_id, 0.0)
                if now >= not_before_s:
                    group.start_soon(self._order, service.model, placement)

    def _is_dead(self, engine_id, now):
        """Return whether entries found an engine dead, with no sign of life since."""
        suspected_s = self.state.suspected_s.get(engine_id)
        if suspected_s is None:
            return False
        if self.state.endpoints.table.entries[engine_id].last_seen_s > suspected_s:
            del self.state.suspected_s[engine_id]
            return False
        return now - suspected_s > DEATH_BATCH_S

    def _drop_outdated(self, service, live):
        """Drop orders whose time limit follows from a model that isn't in force."""
        if self._models.get(service.name, service.model) != service.model:
            for announcement in live:
                self._pending.pop(announcement.engine_id, None)
        self._models[service.name] = service.model

    def _update_known(self, name, live, now):
        """Record new engines, and drop orders that heartbeats show as finished."""
        before = self._first_seen_s.get(name, {})
        seen_s = {a.engine_id: before.get(a.engine_id, now) for a in live}
        if seen_s.keys() - before.keys():
            self._changed_s[name] = now
        self._first_seen_s[name] = seen_s
        for announcement in live:
            ordered = self._pending.get(announcement.engine_id)
            if ordered is None:
                continue
            if announcement.holding == ordered.holding or now > ordered.until_s:
                del self._pending[announcement.engine_id]

    def _is_settled(self, name, live, now):
        is_first = all(a.holding == NO_LAYERS for a in live) and not self._pending
        if is_first:
            return bool(live) and now - self._changed_s[name] > FIRST_PLAN_QUIET_S
        return now - self._started_s > STARTUP_WAIT_S

    def _engine_state(self, announcement: Announcement, now):
        ordered = self._pending.get(announcement.engine_id)
        holding = ordered.holding if ordered else announcement.holding
        first_seen_s = self._first_seen_s[announcement.service][announcement.engine_id]
        return EngineState(
            address=announcement.address,
            engine_id=announcement.engine_id,
            vm_zone=announcement.vm_zone,
            kind=announcement.kind,
            holding=holding,
            is_busy=ordered is not None,
            is_leaving=endpoints.has_leaving_notice(announcement),
            is_fresh=now - first_seen_s < NEW_ENGINE_S,
        )

    async def _order(self, profile: ModelProfile, placement: Placement):
        engine, holding = placement
        self._not_before_s[engine.engine_id] = now_s() + RETRY_DELAY_S
        if not self.state.is_leader():
            return
        fence = self.state.voter.node.term
        try:
            outcome = await _send_order(placement, fence)
        except EngineCallFailed as error:
            outcome = f"failed: {error}"
        self.state.metrics.orders.labels(outcome.partition(":")[0]).inc()
        self.state.sink.write(
            "layers",
            "order",
            True,
            engine_id=engine.engine_id,
            address=engine.address,
            kind=engine.kind,
            had=list(engine.holding),
            layers=list(holding),
            fence=fence,
            outcome=outcome,
        )
        if outcome in ("begun", "held"):
            share = (holding.end - holding.first) / profile.layers
            timeout_s = (
                LOAD_TIMEOUT_FACTOR * profile.load_s * share + LOAD_TIMEOUT_EXTRA_S
            )
            ordered = PendingOrder(holding, now_s() + timeout_s)
            self._pending[engine.engine_id] = ordered
            self.group.start_soon(
                self._try, engine.engine_id, self._watch_load, engine, ordered
            )

    async def _watch_load(self, engine: EngineState, ordered: PendingOrder):
        """Publish an engine's layers as soon as a load has changed them.

        The engine itself reports them with its next heartbeat, up to 1.2 s later. Until
        then entries would send requests to layers that it dropped, and none to its new
        ones.
        """
        self._record_holding(
            engine.engine_id, _served_while_loading(engine.holding, ordered.holding)
        )
        while now_s() < ordered.until_s:
            try:
                report = await enginecalls.get_report(engine.address)
            except EngineCallFailed as error:
                log.info("Can't poll an engine that loads layers: {}.", error)
                return
            # Any other report may be older than the engine's last heartbeat.
            if report.holding == ordered.holding:
                self._record_holding(engine.engine_id, report.holding)
                return
            await anyio.sleep(LOAD_POLL_S)

    def _record_holding(self, engine_id, holding):
        if tablesync.record_holding(self.state.endpoints, engine_id, holding, now_s()):
            self.state.sink.write(
                "layers", "seen", True, engine_id=engine_id, layers=list(holding)
            )
            self.gossip.publish_endpoints([engine_id])


def _served_while_loading(old: LayerRange, new: LayerRange) -> LayerRange:
    """Return the layers that an engine keeps serving while it loads others."""
    first, end = max(old.first, new.first), min(old.end, new.end)
    return LayerRange(first, end) if first < end else NO_LAYERS


async def _send_order(placement: Placement, fence: int) -> str:
    """Send the order for one placement and return its outcome.

    Raises EngineCallFailed.
    """
    engine, holding = placement
    report = await enginecalls.get_report(engine.address)
    if report.is_loading:
        return "busy"
    if report.holding != engine.holding:
        return "changed"
    order = engines.Order(holding, fence, report.orders_begun)
    status = await enginecalls.send_order(engine.address, order)
    return {202: "begun", 200: "held", 409: "refused", 412: "old fence"}.get(
        status, f"refused: status {status}"
    )
