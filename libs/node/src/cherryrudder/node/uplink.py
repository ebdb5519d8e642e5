"""Send an entry's heartbeats to control VMs; receive configuration and endpoints.

Heartbeats go to all known control VMs, so that one that is cut off, frozen or slow
costs nothing but its answer. The newest confirmed answer counts.
"""

import anyio
from loguru import logger

from cherryrudder.platform import configuration
from cherryrudder.policy import sharedbudget
from cherryrudder.relay import pool
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import (
    backoffs,
    configlog,
    endpoints,
    hangs,
    slowness,
    suspicion,
)
from cherryrudder.routing.endpoints import Announcement
from cherryrudder.routing.routetable import RouteTable
from cherryrudder.wire.frames import FrameCodec
from cherryrudder.wire.links import Links, deliver, listen_frames

from . import (
    brokenruns,
    crashes,
    entrystate,
    gossip,
    ratelimiter,
    roster,
    tablesync,
    unframedruns,
)
from .aggregators import choose_aggregators
from .entrystate import EntryState
from .gossip import (
    ConfigurationUpdate,
    ControlAnswer,
    CrashUpdate,
    DeathConfirmation,
    DeathNotice,
    EndpointUpdate,
    EntryHeartbeat,
    LimitUpdate,
    PaceUpdate,
    PermitGrant,
    PermitRequest,
    Refutation,
    SlownessReport,
    SuspicionReport,
    SyncPosition,
)

HEARTBEAT_S = 0.5
# Interval of heartbeats to other data centres' control VMs, while a local one confirms
# the configuration in force. Three of them fit into the time after which a process
# counts as lost. Heartbeats and answers take some kilobytes between every entry and
# every control VM, and would be most of the traffic between data centres.
REMOTE_HEARTBEAT_S = 1.0
# How long a local confirmation counts as recent: two heartbeats, so that one late
# answer doesn't cause heartbeats to the remote control VMs.
LOCAL_FRESH_S = 1.0
# The interval before the first configuration, when callers may already be waiting.
FIRST_HEARTBEAT_S = 0.1

log = logger.bind(part="uplink")


class Uplink:
    """The frame links of one entry process."""

    def __init__(self, state: EntryState, group):
        self.state = state
        self.group = group
        self._codec = FrameCodec(gossip.KINDS)
        self.links = Links(group, self._codec, gossip.KEY, state.address, self._on_down)
        self._positions: dict[str, SyncPosition] = {}
        # When each control VM was last sent a heartbeat, and when a local one last
        # confirmed the configuration in force.
        self._sent_s: dict[str, float] = {}
        self._local_confirmed_s = float("-inf")
        state.rates.send_request = self._send_permit_request
        state.rates.publish = self._send_to_aggregators
        state.publish_endpoints = self._publish_endpoints

    def start(self) -> None:
        """Start to listen and to send heartbeats."""
        self._codec.on_left_out = self.state.metrics.count_left_out
        self.group.start_soon(
            listen_frames,
            self.state.address,
            self._codec,
            gossip.KEY,
            self._on_frames,
            self.state.stopping,
        )
        self.group.start_soon(self._send_heartbeats)

    def report_suspect(self, engine_id: str, vm_zone: str) -> None:
        """Ask the control VMs of an engine's data centre to probe it.

        All control VMs are asked if none of those has sent anything recently.
        """
        report = SuspicionReport(engine_id, self.state.address)
        answers = roster.live_messages(self.state.controls, now_s())
        local = [answer for answer in answers if answer.vm_zone == vm_zone]
        for answer in local or answers:
            self.links.send(answer.address, report)

    def report_slowness(self, engines: list[Announcement]) -> None:
        """Ask a control VM near each engine of a slow chain to check its pace."""
        by_aggregator: dict[str, list[str]] = {}
        for engine in engines:
            address = self._aggregator_near(engine)
            by_aggregator.setdefault(address, []).append(engine.engine_id)
        for address, engine_ids in by_aggregator.items():
            if address:
                self.links.send(address, SlownessReport(tuple(engine_ids)))

    def report_pace(self, engine: Announcement, seen: float) -> None:
        """Record the pace that an engine reported, and forward it if it is slow."""
        update = PaceUpdate(engine.engine_id, seen)
        if self._on_pace(update) and seen >= slowness.MIN_SLOWNESS:
            address = self._aggregator_near(engine)
            if address:
                self.links.send(address, update)

    def publish_crashes(self, update: CrashUpdate | None) -> None:
        """Send changed crash records to one control VM of each data centre."""
        if update is not None and update.records:
            self._send_to_aggregators(update)

    def _send_permit_request(self, request: PermitRequest):
        """Send a request to the control VM that issues an engine's permits."""
        known = self.state.endpoints.table.entries.get(request.limit.engine_id)
        address = known and self._aggregator_near(known.announcement)
        if address:
            self.links.send(address, request)

    def _publish_endpoints(self, engine_ids):
        """Send endpoints that changed at this entry to the control VMs."""
        reported = tablesync.report_endpoints(self.state.endpoints, engine_ids, now_s())
        self._send_to_aggregators(EndpointUpdate(reported))

    def _send_to_aggregators(self, message):
        """Send a message to one control VM of each data centre."""
        for address in choose_aggregators(
            roster.live_messages(self.state.controls, now_s())
        ).values():
            self.links.send(address, message)

    def _aggregator_near(self, engine):
        aggregators = choose_aggregators(
            roster.live_messages(self.state.controls, now_s())
        )
        return aggregators.get(engine.vm_zone) or min(aggregators.values(), default="")

    def _on_down(self, address):
        """Do nothing: heartbeats resend what was lost and detect lost peers."""

    async def _send_heartbeats(self):
        state = self.state
        while True:
            now = now_s()
            aggregators = choose_aggregators(roster.live_messages(state.controls, now))
            entrystate.record_report_sent(state)
            for address in roster.heartbeat_targets(state.controls, now):
                if self._is_due(address, now):
                    self._sent_s[address] = now
                    self.links.send(
                        address, self._make_heartbeat(address, aggregators, now)
                    )
            for address in roster.sweep(state.controls, now):
                self._sent_s.pop(address, None)
                state.sink.write("uplink", "control-lost", True, address=address)
            for engine_id in tablesync.sweep(state.endpoints, now):
                state.sink.write("uplink", "endpoint-lost", True, engine_id=engine_id)
            slowness.sweep(state.slowness, now)
            known = set(state.endpoints.table.entries)
            suspicion.prune(state.suspicions, known)
            hangs.prune(state.hangs, known)
            ratelimiter.sweep(state.rates, known, now)
            backoffs.prune(state.backoffs, known)
            for engine_id in set(state.leaving_since_s) - known:
                del state.leaving_since_s[engine_id]
            brokenruns.sweep(state.broken, now)
            for update in unframedruns.record_confirmed(state, now):
                self.publish_crashes(update)
            state.crashes.sweep(set(roster.heartbeat_targets(state.controls, now)), now)
            await anyio.sleep(HEARTBEAT_S if state.table else FIRST_HEARTBEAT_S)

    def _is_due(self, address, now):
        """Return whether a heartbeat to a control VM is due."""
        known = self.state.controls.peers.get(address)
        if known is None or known.message.vm_zone == self.state.settings.vm_zone:
            return True
        if now - self._local_confirmed_s > LOCAL_FRESH_S:
            return True
        return (
            now - self._sent_s.get(address, 0.0) > REMOTE_HEARTBEAT_S - HEARTBEAT_S / 2
        )

    def _make_heartbeat(self, address, aggregators, now):
        state = self.state
        is_aggregator = address in aggregators.values()
        requests_all = address == self._own_aggregator(aggregators)
        # Until the first records arrive, they are requested from all control VMs.
        requests_crashes = requests_all or not state.crashes.has_synced()
        return EntryHeartbeat(
            vm=state.settings.vm,
            vm_zone=state.settings.vm_zone,
            address=state.address,
            sent_s=now,
            version=gossip.write_version(state.version),
            acked=self._positions.get(address, SyncPosition("", 0)),
            usage=entrystate.usage(state) if is_aggregator else (),
            spent=(
                sharedbudget.count_usage(state.retry_budget, now)
                if is_aggregator
                else None
            ),
            requests_all=requests_all,
            crashes=state.crashes.make_sync(address, now) if requests_crashes else None,
            limits=ratelimiter.report_limits(state.rates.book, now),
            boot=state.boot,
        )

    def _own_aggregator(self, aggregators):
        own = aggregators.get(self.state.settings.vm_zone)
        return own or min(aggregators.values(), default="")

    def _on_frames(self, peer, messages):
        deliver(peer, messages, self._handle)

    def _handle(self, message):
        match message:
            case ControlAnswer():
                self._on_answer(gossip.with_number(message))
            case ConfigurationUpdate():
                self._on_configuration(gossip.with_number(message))
            case EndpointUpdate():
                self._merge_endpoints(message.endpoints)
            case CrashUpdate():
                self.state.crashes.merge_records(message.records, now_s())
            case DeathNotice():
                self._on_death(message)
            case DeathConfirmation():
                self._on_death_confirmation(message)
            case Refutation():
                self._on_refutation(message)
            case PaceUpdate():
                self._on_pace(message)
            case LimitUpdate():
                ratelimiter.record_limits(self.state, message.limits, now_s())
            case PermitGrant():
                ratelimiter.record_grant(self.state, message, now_s())

    def _on_answer(self, answer):
        state, now = self.state, now_s()
        if roster.record(state.controls, answer.address, answer, now):
            state.sink.write("uplink", "control-found", True, address=answer.address)
        roster.add_reported(state.controls, answer.controls, now)
        self._merge_endpoints(answer.endpoints)
        tablesync.merge_liveness(state.endpoints, answer.alive, now)
        # An answer to the process before leaves out what that had acknowledged.
        if answer.sent_s >= state.started_s:
            self._positions[answer.address] = SyncPosition(
                answer.boot, answer.table_version
            )
        state.entries = answer.entries
        if answer.usage is not None:
            data_centres = len(
                choose_aggregators(roster.live_messages(state.controls, now))
            )
            entrystate.update_peer_load(state, answer.usage, data_centres, now)
        if answer.spent is not None and answer.version >= 0:
            # A control VM without a majority may be cut off with a part of the entries.
            sharedbudget.update_share(
                state.retry_budget,
                answer.spent,
                answer.entries,
                now,
                answer.spent_age_s,
            )
        if answer.crashes is not None:
            state.crashes.merge_sync(answer.address, answer.crashes, now)
        ratelimiter.record_limits(state, answer.limits, now)
        entrystate.record_version(state, answer.version, now)
        # A newer version than this entry's confirms nothing until it arrives.
        if 0 < answer.version <= state.version:
            # Another process's time, such as that before a reboot, may lie ahead.
            if state.started_s <= answer.sent_s <= now:
                self._confirm(answer.sent_s, now)
                if answer.vm_zone == state.settings.vm_zone:
                    self._local_confirmed_s = now

    def _confirm(self, sent_s, now):
        state = self.state
        old_age_s = now - state.confirmed_s
        state.confirmed_s = max(state.confirmed_s, sent_s)
        if old_age_s > state.settings.bounds.revoke_s:
            state.sink.write("uplink", "confirmed", True, version=state.version)

    def _on_configuration(self, update):
        state = self.state
        if update.version <= state.version:
            # Late messages never take the process back to an older version.
            return
        text = configlog.unpack(update.packed)
        result = configuration.read_configuration(text.encode())
        if result.is_error():
            log.error("An accepted configuration is unreadable: {}.", result.error)
            return
        old = state.version
        entrystate.set_table(state, RouteTable(result.ok))
        state.sink.write(
            "uplink", "configuration", True, old_version=old, version=update.version
        )

    def _merge_endpoints(self, reported):
        state, now = self.state, now_s()
        for engine_id in tablesync.merge(state.endpoints, reported, now):
            entry = state.endpoints.table.entries.get(engine_id)
            if entry is not None:
                self._log_endpoint(entry)
            if entry is not None and not entry.is_gone:
                self._record_incarnation(entry.announcement)
            if entry is not None and endpoints.has_leaving_notice(entry.announcement):
                state.leaving_since_s.setdefault(engine_id, now)

    def _record_incarnation(self, announcement):
        """Close the connections to an address whose engine was replaced.

        Otherwise the first request to an engine that restarted would be sent on an old
        connection, which is reset.
        """
        state, address = self.state, announcement.address
        before = state.incarnations.get(address, announcement.engine_id)
        state.incarnations[address] = announcement.engine_id
        if before != announcement.engine_id:
            pool.close_idle(state.pool, address)
            self.publish_crashes(crashes.record_engine_end(state, before, now_s()))

    def _log_endpoint(self, entry: endpoints.TableEntry):
        announcement = entry.announcement
        self.state.sink.write(
            "uplink",
            "endpoint",
            True,
            engine_id=announcement.engine_id,
            address=announcement.address,
            is_leaving=endpoints.has_leaving_notice(announcement),
            is_gone=entry.is_gone,
            layers=list(announcement.holding),
        )

    def _on_death(self, notice):
        engine_id = notice.engine_id
        if suspicion.record_report(self.state.suspicions, engine_id, now_s()):
            self.state.sink.write("uplink", "engine-accused", True, engine_id=engine_id)
            self.state.engine_died.set()
        self.publish_crashes(crashes.record_engine_end(self.state, engine_id, now_s()))

    def _on_death_confirmation(self, notice):
        state, engine_id = self.state, notice.engine_id
        is_new = not entrystate.is_confirmed_dead(state, engine_id)
        suspicion.record_confirmed_death(state.suspicions, engine_id, now_s())
        if is_new:
            state.sink.write("uplink", "engine-ended", True, engine_id=engine_id)
        self.publish_crashes(crashes.record_engine_end(state, engine_id, now_s()))

    def _on_refutation(self, refutation):
        engine_id = refutation.engine_id
        brokenruns.record_alive(self.state.broken, engine_id)
        if suspicion.reinstate(self.state.suspicions, engine_id):
            self.state.sink.write(
                "uplink", "engine-acquitted", True, engine_id=engine_id
            )

    def _on_pace(self, update):
        book = self.state.slowness
        is_new = slowness.record_slowness(
            book, update.engine_id, update.slowness, now_s()
        )
        if is_new:
            self.state.metrics.beliefs.labels("engine-pace").inc()
            self.state.sink.write(
                "uplink",
                "engine-pace",
                True,
                engine_id=update.engine_id,
                slowness=round(update.slowness, 2),
            )
        return is_new
