"""A control VM's gossip: answers to entries, heartbeats to its peers, and updates."""

from collections import deque
from functools import partial
from typing import NamedTuple

import anyio
from loguru import logger

from cherryrudder.policy import retryledger
from cherryrudder.replica.clock import now_s
from cherryrudder.replica.errors import ReplicaError
from cherryrudder.wire.frames import FrameCodec
from cherryrudder.wire.links import Links, deliver, listen_frames

from . import entrysums, gossip, roster, tablesync
from .controlstate import ControlState
from .gossip import (
    ControlAnswer,
    ControlHeartbeat,
    CrashUpdate,
    DeathNotice,
    EndpointUpdate,
    EntryHeartbeat,
    LimitUpdate,
    PaceUpdate,
    PermitRequest,
    ProbeRequest,
    ProbeResult,
    SlownessReport,
    SuspicionReport,
    SyncPosition,
)
from .pacewatch import PaceWatch
from .permitissuer import PermitIssuer
from .verification import Verifier

HEARTBEAT_S = 0.5
# A leader confirms after one round of the log's heartbeats, within some milliseconds;
# an election takes a second.
CONFIRM_TIMEOUT_S = 0.8
# Heartbeats that arrive within this time share one confirmation. A confirmation takes a
# message to the leader and one to every voter; one for each heartbeat took half of this
# process's CPU time.
CONFIRM_INTERVAL_S = 0.2
# The interval while an entry without a configuration waits: it can't serve anybody, and
# sends ten heartbeats a second until it has one.
FIRST_CONFIRM_INTERVAL_S = 0.03
# Entries get a new configuration from the control VM of their own data centre at once.
# Control VMs elsewhere send it only to entries that still lack it after this time, so
# that a large configuration doesn't cross between data centres three times.
REMOTE_SEND_DELAY_S = 0.4
# The same for entries without any configuration. With the delay above, entries whose
# local control VM had lost its disk began to serve 0.6 s later than the others. A local
# control VM sends within some milliseconds.
FIRST_REMOTE_SEND_DELAY_S = 0.1

log = logger.bind(part="control")


class AppliedVersion(NamedTuple):
    """A version of the configuration, and when this VM's voter applied it."""

    version: int
    applied_s: float


class ControlGossip:
    """The frame links of one control process."""

    def __init__(self, state: ControlState, group):
        self.state = state
        self.group = group
        codec = FrameCodec(gossip.KINDS)
        codec.on_left_out = state.metrics.count_left_out
        self.links = Links(group, codec, gossip.KEY, state.address, self._on_down)
        self.verifier = Verifier(state, self.links, group)
        self.pace = PaceWatch(state, self.links, group)
        self.rates = PermitIssuer(state, self.links)
        self._codec = codec
        # Entries' heartbeats that wait for the next confirmation, by address.
        self._waiting: dict[str, EntryHeartbeat] = {}
        self._wake = anyio.Event()
        # Set when a waiting entry has no configuration yet.
        self._urgent = anyio.Event()
        # The latest versions, from the newest one that is older than the longest delay.
        self._applied: deque[AppliedVersion] = deque()
        self._positions: dict[str, SyncPosition] = {}

    def start(self) -> None:
        """Start to listen, to send heartbeats and to answer."""
        state = self.state
        self.group.start_soon(
            listen_frames,
            state.address,
            self._codec,
            gossip.KEY,
            self._on_frames,
            state.stopping,
        )
        self.group.start_soon(self._send_heartbeats)
        self.group.start_soon(self._confirm)

    def on_applied(self) -> None:
        """Send a newly applied configuration to the entries of this data centre."""
        version = self.state.version
        if not version:
            return
        now = now_s()
        self._record_applied(version, now)
        update = gossip.make_update(self.state.voter.state)
        for heartbeat in roster.live_messages(self.state.entries, now):
            if (
                heartbeat.vm_zone == self.state.settings.vm_zone
                and heartbeat.version < version
            ):
                self.links.send(heartbeat.address, update)

    def _record_applied(self, version, now):
        applied = self._applied
        if applied and applied[-1].version == version:
            return
        applied.append(AppliedVersion(version, now))
        while len(applied) > 1 and now - applied[1].applied_s > REMOTE_SEND_DELAY_S:
            applied.popleft()

    def _settled_version(self, delay_s, now):
        """Return the newest version that was applied longer ago than the delay."""
        settled = (
            one.version for one in self._applied if now - one.applied_s > delay_s
        )
        return max(settled, default=0)

    def publish_endpoints(self, engine_ids) -> None:
        """Send changed endpoints to all live control VMs and entries."""
        reported = tablesync.report_endpoints(self.state.endpoints, engine_ids, now_s())
        update = EndpointUpdate(reported)
        if not update.endpoints:
            return
        for address in self._live_peers():
            self.links.send(address, update)

    def publish_crashes(self, update: CrashUpdate) -> None:
        """Send changed crash records to all live control VMs and entries."""
        for address in self._live_peers():
            self.links.send(address, update)

    def _live_peers(self):
        state, now = self.state, now_s()
        return [
            *roster.live_addresses(state.roster, now),
            *roster.live_addresses(state.entries, now),
        ]

    def _on_down(self, address):
        """Do nothing: heartbeats resend what was lost and detect lost peers."""

    def _on_frames(self, peer, messages):
        deliver(peer, messages, self._handle)

    def _handle(self, message):
        match message:
            case EntryHeartbeat():
                self._on_entry_heartbeat(gossip.with_number(message))
            case ControlHeartbeat():
                self._on_control_heartbeat(message)
            case EndpointUpdate():
                self._merge_endpoints(message.endpoints)
            case SuspicionReport():
                self.verifier.handle_suspicion(message)
            case ProbeRequest():
                self.verifier.handle_probe_request(message)
            case ProbeResult():
                self.verifier.handle_probe_result(message)
            case CrashUpdate():
                self._forward_crashes(
                    self.state.crashes.merge_records(message.records, now_s())
                )
            case SlownessReport():
                self.pace.handle_slowness_report(message)
            case PaceUpdate():
                self.pace.handle_pace_update(message)
            case DeathNotice():
                self.verifier.mark_dead(message.engine_id)
            case LimitUpdate():
                self.rates.record_limits(message.limits, now_s())
            case PermitRequest():
                self.rates.handle_request(message, now_s())

    def _on_entry_heartbeat(self, heartbeat):
        state, now = self.state, now_s()
        if roster.record(state.entries, heartbeat.address, heartbeat, now):
            state.sink.write(
                "control", "entry-found", peer=heartbeat.vm, address=heartbeat.address
            )
        retryledger.record_report(
            state.retries, heartbeat.address, heartbeat.boot, heartbeat.spent, now
        )
        if heartbeat.crashes is not None:
            self._forward_crashes(
                state.crashes.merge_sync(heartbeat.address, heartbeat.crashes, now)
            )
        self.rates.record_limits(heartbeat.limits, now)
        self._waiting[heartbeat.address] = heartbeat
        self._wake.set()
        if not heartbeat.version:
            self._urgent.set()

    def _on_control_heartbeat(self, heartbeat):
        state, now = self.state, now_s()
        if roster.record(state.roster, heartbeat.address, heartbeat, now):
            state.sink.write(
                "control",
                "control-found",
                True,
                peer=heartbeat.vm,
                address=heartbeat.address,
            )
        roster.add_reported(state.roster, heartbeat.controls, now)
        # A sender that hasn't received anything since this process started leaves out
        # what the process before had acknowledged.
        is_complete = heartbeat.acked.boot == state.boot
        self._positions[heartbeat.address] = SyncPosition(
            heartbeat.boot, heartbeat.table_version if is_complete else -1
        )
        retryledger.merge_ended(
            state.retries, heartbeat.ended_entries, heartbeat.known_s, now
        )
        # Not forwarded: the others receive the same heartbeats and updates.
        tablesync.merge(state.endpoints, heartbeat.endpoints, now)
        tablesync.merge_liveness(state.endpoints, heartbeat.alive, now)
        if heartbeat.crashes is not None:
            self._forward_crashes(
                state.crashes.merge_sync(heartbeat.address, heartbeat.crashes, now)
            )
        self.rates.record_limits(heartbeat.limits, now)

    def _forward_crashes(self, fingerprints):
        """Send records that may lead to a block to the entries of this data centre."""
        state, now = self.state, now_s()
        records = state.crashes.book.records
        urgent = [one for one in fingerprints if len(records[one].crashes) > 1]
        if not urgent:
            return
        update = state.crashes.make_update(urgent, now)
        for heartbeat in roster.live_messages(state.entries, now):
            if heartbeat.vm_zone == state.settings.vm_zone:
                self.links.send(heartbeat.address, update)

    def _merge_endpoints(self, endpoints):
        now = now_s()
        changed = tablesync.merge(self.state.endpoints, endpoints, now)
        # Forwarded, as the sender may not reach every entry.
        for address in (
            roster.live_addresses(self.state.entries, now) if changed else ()
        ):
            reported = tablesync.report_endpoints(self.state.endpoints, changed, now)
            self.links.send(address, EndpointUpdate(reported))

    async def _send_heartbeats(self):
        state = self.state
        while not state.stopping.is_set():
            now = now_s()
            for address in roster.heartbeat_targets(state.roster, now):
                self.links.send(address, self._make_heartbeat(address, now))
            for address in roster.sweep(state.roster, now):
                state.sink.write("control", "control-lost", True, address=address)
            for address in roster.sweep(state.entries, now):
                state.sink.write("control", "entry-lost", True, address=address)
            retryledger.sweep(state.retries, now)
            tablesync.sweep(state.endpoints, now)
            self.verifier.review(now)
            self.rates.sweep(now)
            present = {
                *roster.heartbeat_targets(state.roster, now),
                *state.entries.peers,
            }
            state.crashes.sweep(present, now)
            await anyio.sleep(HEARTBEAT_S)

    def _make_heartbeat(self, address, now):
        state = self.state
        peer = state.roster.peers.get(address)
        acked = peer.message.acked if peer else SyncPosition("", 0)
        return ControlHeartbeat(
            boot=state.boot,
            vm=state.settings.vm,
            address=state.address,
            log_address=state.log_address,
            disk_id=state.disk_id,
            has_disk=bool(state.settings.data_folder),
            vm_zone=state.settings.vm_zone,
            is_founding=state.settings.is_founding,
            controls=tuple(roster.live_addresses(state.roster, now)),
            acked=self._positions.get(address, SyncPosition("", 0)),
            table_version=state.endpoints.table.version,
            endpoints=tablesync.changes_since(state.endpoints, acked, now),
            alive=tablesync.recent_liveness(state.endpoints, now),
            crashes=state.crashes.make_sync(address, now),
            limits=self.rates.report_limits(now),
            ended_entries=retryledger.report_ended(state.retries, now),
            known_s=retryledger.known_s(state.retries, now),
        )

    async def _confirm(self):
        """Answer all heartbeats that arrived before each confirmation."""
        while True:
            await self._wake.wait()
            self._wake, self._urgent = anyio.Event(), anyio.Event()
            waiting, self._waiting = self._waiting, {}
            asked_s = now_s()
            version = await self._confirmed_version()
            if version >= 0:
                self.state.confirmed_s = asked_s
            answer = partial(self._answer, version=version)
            deliver("entries", waiting.values(), answer)
            await anyio.sleep(FIRST_CONFIRM_INTERVAL_S)
            with anyio.move_on_after(CONFIRM_INTERVAL_S - FIRST_CONFIRM_INTERVAL_S):
                await self._urgent.wait()

    async def _confirmed_version(self):
        voter = self.state.voter
        if voter is None:
            return -1
        try:
            await voter.wait_for_read_index(CONFIRM_TIMEOUT_S)
        except ReplicaError as error:
            log.debug("No confirmation: {}.", error)
            return -1
        # Not that of `state.voter`, which may be another one by now that is behind.
        return voter.state.version

    def _send_newer(self, heartbeat, newest, now):
        """Send an entry the configuration if the one it has is older than a version."""
        if heartbeat.version >= newest:
            return
        is_local = heartbeat.vm_zone == self.state.settings.vm_zone
        delay_s = (
            REMOTE_SEND_DELAY_S if heartbeat.version else FIRST_REMOTE_SEND_DELAY_S
        )
        if is_local or heartbeat.version < self._settled_version(delay_s, now):
            update = gossip.make_update(self.state.voter.state)
            self.links.send(heartbeat.address, update)

    def _answer(self, heartbeat, version):
        state, now = self.state, now_s()
        # The voter may have lost its disk since the confirmation.
        voter = state.voter
        if voter is not None:
            # What is applied is in force, confirmed or not: without a majority it may
            # be newer than all that the entry's own control VM has.
            newest = max(version, voter.state.version if heartbeat.version else -1)
            self._send_newer(heartbeat, newest, now)
        usage = spent = None
        if heartbeat.requests_all:
            others = entrysums.others(state.entries, heartbeat.address, now)
            usage = entrysums.sum_usage(others)
            spent = retryledger.sum_others(state.retries, heartbeat.address, now)
        answer = ControlAnswer(
            boot=state.boot,
            address=state.address,
            sent_s=heartbeat.sent_s,
            version=gossip.write_version(version),
            controls=(state.address, *roster.live_addresses(state.roster, now)),
            table_version=state.endpoints.table.version,
            endpoints=tablesync.changes_since(state.endpoints, heartbeat.acked, now),
            alive=tablesync.recent_liveness(state.endpoints, now)
            if heartbeat.requests_all
            else (),
            vm_zone=state.settings.vm_zone,
            usage=usage,
            spent=spent,
            spent_age_s=roster.mean_age_s(state.entries, heartbeat.address, now),
            entries=len(roster.live_addresses(state.entries, now)),
            crashes=(
                state.crashes.make_sync(heartbeat.address, now)
                if heartbeat.crashes is not None
                else None
            ),
            limits=self.rates.report_limits(now),
        )
        self.links.send(heartbeat.address, answer)
