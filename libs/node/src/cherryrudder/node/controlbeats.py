"""The control VM's gossip: answers to entries, beats to other control VMs, news."""

import anyio
from loguru import logger

from cherryrudder.policy.sharedbudget import Spent
from cherryrudder.replica.clock import now_s
from cherryrudder.replica.errors import ReplicaError
from cherryrudder.wire.frames import FrameCodec
from cherryrudder.wire.links import Links, listen_frames

from . import gossip, roster, tablesync
from .controlstate import ControlState
from .gossip import (
    Accusation,
    Complaint,
    ConfigurationUpdate,
    ControlAnswer,
    ControlHeartbeat,
    CrashNews,
    DeathNotice,
    EndpointUpdate,
    EntryHeartbeat,
    Finding,
    LimitUpdate,
    PaceNews,
    PermitRequest,
    Question,
    SyncPosition,
    Usage,
)
from .pacewatch import PaceWatch
from .permitissuer import PermitIssuer
from .verification import Verifier

HEARTBEAT_S = 0.5
# The leader answers a confirmation after one round of the log's heartbeats, some
# milliseconds; an election takes a second.
CONFIRM_TIMEOUT_S = 0.8
# Beats that come within this time share one confirmation. Each takes a message to the
# leader and one to every voter; at once for each beat they were half of this process's
# work.
CONFIRM_INTERVAL_S = 0.2
# Entries without a configuration serve nobody, so they wait for less. They beat ten
# times a second until they have one.
FIRST_CONFIRM_INTERVAL_S = 0.03
# Another data centre's control VM sends a configuration only to entries that still
# lack it after this long; their own has sent it at once. It keeps a large configuration
# from crossing between data centres three times.
REMOTE_SEND_DELAY_S = 0.4
# An entry without any configuration serves nobody, so it waits for less: where the
# control VM of its data centre has lost its disk, all entries there served 0.6 s later
# than the others. A near one sends within some milliseconds.
FIRST_REMOTE_SEND_DELAY_S = 0.1

log = logger.bind(part="control")


class ControlBeats:
    """The frame links of one control process."""

    def __init__(self, state: ControlState, group):
        self.state = state
        self.group = group
        codec = FrameCodec(gossip.KINDS)
        self.links = Links(group, codec, gossip.KEY, state.address, self._on_down)
        self.verifier = Verifier(state, self.links, group)
        self.pace = PaceWatch(state, self.links, group)
        self.rates = PermitIssuer(state, self.links)
        self._codec = codec
        # Entries' beats that wait for the next confirmation.
        self._waiting: dict[str, EntryHeartbeat] = {}
        self._wake = anyio.Event()
        # Set when one of them has no configuration yet.
        self._urgent = anyio.Event()
        self._changed_s = 0.0
        self._positions: dict[str, SyncPosition] = {}

    def start(self) -> None:
        """Start listening, beating and answering."""
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
        """Send a configuration that was accepted to the entries nearby, at once."""
        version = self.state.version
        if not version:
            return
        self._changed_s = now_s()
        news = ConfigurationUpdate(version, self.state.voter.state.packed)
        for beat in roster.beats(self.state.entries, now_s()):
            if beat.vm_zone == self.state.settings.vm_zone and beat.version < version:
                self.links.send(beat.address, news)

    def spread(self, engine_ids) -> None:
        """Tell everybody of endpoints that changed just now."""
        told = tablesync.report_endpoints(self.state.endpoints, engine_ids, now_s())
        news = EndpointUpdate(told)
        if not news.endpoints:
            return
        for address in self._live_peers():
            self.links.send(address, news)

    def tell_crashes(self, news: CrashNews) -> None:
        """Tell everybody of requests that end engines, or do so no more."""
        for address in self._live_peers():
            self.links.send(address, news)

    def _live_peers(self):
        state, now = self.state, now_s()
        return [
            *roster.present(state.roster, now),
            *roster.present(state.entries, now),
        ]

    def _on_down(self, address):
        """Leave it to the beats, which tell what was lost and who was."""

    def _on_frames(self, peer, messages):
        gossip.deliver(peer, messages, self._handle)

    def _handle(self, message):
        match message:
            case EntryHeartbeat():
                self._on_entry_heartbeat(message)
            case ControlHeartbeat():
                self._on_control_heartbeat(message)
            case EndpointUpdate():
                self._merge_endpoints(message.endpoints)
            case Accusation():
                self.verifier.hear(message)
            case Question():
                self.verifier.hear_question(message)
            case Finding():
                self.verifier.hear_finding(message)
            case CrashNews():
                self._forward_crashes(
                    self.state.crashes.merge_records(message.records, now_s())
                )
            case Complaint():
                self.pace.hear(message)
            case PaceNews():
                self.pace.hear_seen(message)
            case DeathNotice():
                self.verifier.condemn(message.engine_id)
            case LimitUpdate():
                self.rates.record_limits(message.limits, now_s())
            case PermitRequest():
                self.rates.handle_request(message, now_s())

    def _on_entry_heartbeat(self, beat):
        state, now = self.state, now_s()
        if roster.hear(state.entries, beat.address, beat, now):
            state.sink.write(
                "control", "entry-found", peer=beat.vm, address=beat.address
            )
        if beat.crashes is not None:
            self._forward_crashes(
                state.crashes.merge_sync(beat.address, beat.crashes, now)
            )
        self.rates.record_limits(beat.limits, now)
        self._waiting[beat.address] = beat
        self._wake.set()
        if not beat.version:
            self._urgent.set()

    def _on_control_heartbeat(self, beat):
        state, now = self.state, now_s()
        if roster.hear(state.roster, beat.address, beat, now):
            state.sink.write(
                "control", "control-found", True, peer=beat.vm, address=beat.address
            )
        roster.add_reported(state.roster, beat.controls, now)
        self._positions[beat.address] = SyncPosition(beat.boot, beat.table_version)
        # No news of it to others: they hear the same beats or news themselves.
        tablesync.merge(state.endpoints, beat.endpoints, now)
        tablesync.merge_liveness(state.endpoints, beat.alive, now)
        if beat.crashes is not None:
            self._forward_crashes(
                state.crashes.merge_sync(beat.address, beat.crashes, now)
            )
        self.rates.record_limits(beat.limits, now)

    def _forward_crashes(self, fingerprints):
        """Tell the entries nearby at once of what may change how they decide."""
        state, now = self.state, now_s()
        records = state.crashes.book.records
        urgent = [one for one in fingerprints if len(records[one].crashes) > 1]
        if not urgent:
            return
        news = state.crashes.make_update(urgent, now)
        for beat in roster.beats(state.entries, now):
            if beat.vm_zone == state.settings.vm_zone:
                self.links.send(beat.address, news)

    def _merge_endpoints(self, endpoints):
        now = now_s()
        news = tablesync.merge(self.state.endpoints, endpoints, now)
        # An entry that the sender doesn't reach hears it from here.
        for address in roster.present(self.state.entries, now) if news else ():
            told = tablesync.report_endpoints(self.state.endpoints, news, now)
            self.links.send(address, EndpointUpdate(told))

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
        known = state.roster.peers.get(address)
        seen = known.message.acked if known else SyncPosition("", 0)
        return ControlHeartbeat(
            boot=state.boot,
            vm=state.settings.vm,
            address=state.address,
            log_address=state.log_address,
            disk_id=state.disk_id,
            has_disk=bool(state.settings.data_folder),
            vm_zone=state.settings.vm_zone,
            is_founding=state.settings.is_founding,
            controls=tuple(roster.present(state.roster, now)),
            acked=self._positions.get(address, SyncPosition("", 0)),
            table_version=state.endpoints.table.version,
            endpoints=tablesync.changes_since(state.endpoints, seen, now),
            alive=tablesync.recent_liveness(state.endpoints, now),
            crashes=state.crashes.make_sync(address, now),
            limits=self.rates.report_limits(now),
        )

    async def _confirm(self):
        """Answer the beats that came before each confirmation, all together."""
        while True:
            await self._wake.wait()
            self._wake, self._urgent = anyio.Event(), anyio.Event()
            waiting, self._waiting = self._waiting, {}
            asked_s = now_s()
            version = await self._confirmed_version()
            if version >= 0:
                self.state.confirmed_s = asked_s
            for beat in waiting.values():
                self._answer(beat, version)
            await anyio.sleep(FIRST_CONFIRM_INTERVAL_S)
            with anyio.move_on_after(CONFIRM_INTERVAL_S - FIRST_CONFIRM_INTERVAL_S):
                await self._urgent.wait()

    async def _confirmed_version(self):
        voter = self.state.voter
        if voter is None:
            return -1
        try:
            await voter.confirm(CONFIRM_TIMEOUT_S)
        except ReplicaError as error:
            log.debug("No confirmation: {}.", error)
            return -1
        return self.state.version

    def _answer(self, beat, version):
        state, now = self.state, now_s()
        # The voter may have lost its disk since it confirmed.
        voter = state.voter
        if voter is not None and beat.version < version:
            is_near = beat.vm_zone == state.settings.vm_zone
            wait_s = REMOTE_SEND_DELAY_S if beat.version else FIRST_REMOTE_SEND_DELAY_S
            if is_near or now - self._changed_s > wait_s:
                news = ConfigurationUpdate(voter.state.version, voter.state.packed)
                self.links.send(beat.address, news)
        others = self._other_heartbeats(beat, now)
        answer = ControlAnswer(
            boot=state.boot,
            address=state.address,
            sent_s=beat.sent_s,
            version=version,
            controls=(state.address, *roster.present(state.roster, now)),
            table_version=state.endpoints.table.version,
            endpoints=tablesync.changes_since(state.endpoints, beat.acked, now),
            alive=tablesync.recent_liveness(state.endpoints, now)
            if beat.requests_all
            else (),
            vm_zone=state.settings.vm_zone,
            usage=None if others is None else _sum_usage(others),
            spent=None if others is None else _sum_spent(others),
            spent_age_s=roster.mean_age_s(state.entries, beat.address, now),
            entries=len(roster.present(state.entries, now)),
            crashes=(
                state.crashes.make_sync(beat.address, now)
                if beat.crashes is not None
                else None
            ),
            limits=self.rates.report_limits(now),
        )
        self.links.send(beat.address, answer)

    def _other_heartbeats(self, beat, now):
        """Return the beats of the other entries, None when they weren't asked for."""
        if not beat.requests_all:
            return None
        beats = roster.beats(self.state.entries, now)
        return [other for other in beats if other.address != beat.address]


def _sum_usage(beats):
    """Sum up what entries have running, by engine."""
    sums: dict[str, Usage] = {}
    for one in (one for message in beats for one in message.usage):
        known = sums.get(one.address, Usage(one.address, 0, 0, 0))
        sums[one.address] = Usage(
            one.address,
            known.running + one.running,
            known.tokens + one.tokens,
            known.firsts + one.firsts,
        )
    return tuple(sums.values())


def _sum_spent(beats):
    """Sum up what entries have spent, by service."""
    sums: dict[str, Spent] = {}
    for one in (one for message in beats for one in message.spent):
        known = sums.get(one.service, Spent(one.service, 0, 0))
        requests, retries = known.requests + one.requests, known.retries + one.retries
        sums[one.service] = Spent(one.service, requests, retries)
    return tuple(sums.values())
