"""The control VM's gossip: answers to entries, beats to other control VMs, news."""

import anyio
from loguru import logger

from cherryrudder.policy.sharedbudget import RetryUsage
from cherryrudder.replica.clock import now_s
from cherryrudder.replica.errors import ReplicaError
from cherryrudder.wire.frames import FrameCodec
from cherryrudder.wire.links import Links, listen_frames

from . import gossip, roster, tablesync
from .controlstate import ControlState
from .gossip import (
    ConfigurationNews,
    ControlAnswer,
    ControlBeat,
    CrashUpdate,
    DeathNotice,
    EndpointNews,
    EntryBeat,
    LimitNews,
    PaceUpdate,
    PermitRequest,
    ProbeRequest,
    ProbeResult,
    SlownessReport,
    SuspicionReport,
    TableMark,
    Usage,
)
from .pacewatch import PaceWatch
from .permitissuer import PermitIssuer
from .verification import Verifier

BEAT_S = 0.5
# The leader answers a confirmation after one round of the log's heartbeats, some
# milliseconds; an election takes a second.
CONFIRM_S = 0.8
# Beats that come within this time share one confirmation. Each takes a message to the
# leader and one to every voter; at once for each beat they were half of this process's
# work.
CONFIRM_EVERY_S = 0.2
# Entries without a configuration serve nobody, so they wait for less. They beat ten
# times a second until they have one.
FIRST_CONFIRM_EVERY_S = 0.03
# Another data centre's control VM sends a configuration only to entries that still
# lack it after this long; their own has sent it at once. It keeps a large configuration
# from crossing between data centres three times.
FAR_WAIT_S = 0.4
# An entry without any configuration serves nobody, so it waits for less: where the
# control VM of its data centre has lost its disk, all entries there served 0.6 s later
# than the others. A near one sends within some milliseconds.
FIRST_FAR_WAIT_S = 0.1

log = logger.bind(part="control")


class ControlGossip:
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
        self._waiting: dict[str, EntryBeat] = {}
        self._wake = anyio.Event()
        # Set when one of them has no configuration yet.
        self._hurry = anyio.Event()
        self._changed_s = 0.0
        self._seen: dict[str, TableMark] = {}

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
        self.group.start_soon(self._beat)
        self.group.start_soon(self._confirm)

    def on_applied(self) -> None:
        """Send a configuration that was accepted to the entries nearby, at once."""
        version = self.state.version
        if not version:
            return
        self._changed_s = now_s()
        news = ConfigurationNews(version, self.state.voter.state.packed)
        for beat in roster.live_messages(self.state.entries, now_s()):
            if beat.vm_zone == self.state.settings.vm_zone and beat.version < version:
                self.links.send(beat.address, news)

    def publish_endpoints(self, engine_ids) -> None:
        """Tell everybody of endpoints that changed just now."""
        told = tablesync.news_of(self.state.endpoints, engine_ids, now_s())
        news = EndpointNews(told)
        if not news.endpoints:
            return
        for address in self._everybody():
            self.links.send(address, news)

    def publish_crashes(self, news: CrashUpdate) -> None:
        """Tell everybody of requests that end engines, or do so no more."""
        for address in self._everybody():
            self.links.send(address, news)

    def _everybody(self):
        state, now = self.state, now_s()
        return [
            *roster.live_addresses(state.roster, now),
            *roster.live_addresses(state.entries, now),
        ]

    def _on_down(self, address):
        """Leave it to the beats, which tell what was lost and who was."""

    def _on_frames(self, peer, messages):
        gossip.deliver(peer, messages, self._take)

    def _take(self, message):
        match message:
            case EntryBeat():
                self._on_entry(message)
            case ControlBeat():
                self._on_control(message)
            case EndpointNews():
                self._take_endpoints(message.endpoints)
            case SuspicionReport():
                self.verifier.handle_suspicion(message)
            case ProbeRequest():
                self.verifier.handle_probe_request(message)
            case ProbeResult():
                self.verifier.handle_probe_result(message)
            case CrashUpdate():
                self._pass_on(self.state.crashes.take_records(message.records, now_s()))
            case SlownessReport():
                self.pace.handle_slowness_report(message)
            case PaceUpdate():
                self.pace.handle_pace_update(message)
            case DeathNotice():
                self.verifier.mark_dead(message.engine_id)
            case LimitNews():
                self.rates.hear(message.limits, now_s())
            case PermitRequest():
                self.rates.answer(message, now_s())

    def _on_entry(self, beat):
        state, now = self.state, now_s()
        if roster.record(state.entries, beat.address, beat, now):
            state.sink.write(
                "control", "entry-found", peer=beat.vm, address=beat.address
            )
        if beat.crashes is not None:
            self._pass_on(state.crashes.take(beat.address, beat.crashes, now))
        self.rates.hear(beat.limits, now)
        self._waiting[beat.address] = beat
        self._wake.set()
        if not beat.version:
            self._hurry.set()

    def _on_control(self, beat):
        state, now = self.state, now_s()
        if roster.record(state.roster, beat.address, beat, now):
            state.sink.write(
                "control", "control-found", True, peer=beat.vm, address=beat.address
            )
        roster.tell(state.roster, beat.controls, now)
        self._seen[beat.address] = TableMark(beat.boot, beat.table_version)
        # No news of it to others: they hear the same beats or news themselves.
        tablesync.take(state.endpoints, beat.endpoints, now)
        tablesync.take_alive(state.endpoints, beat.alive, now)
        if beat.crashes is not None:
            self._pass_on(state.crashes.take(beat.address, beat.crashes, now))
        self.rates.hear(beat.limits, now)

    def _pass_on(self, fingerprints):
        """Tell the entries nearby at once of what may change how they decide."""
        state, now = self.state, now_s()
        records = state.crashes.book.records
        urgent = [one for one in fingerprints if len(records[one].crashes) > 1]
        if not urgent:
            return
        news = state.crashes.news_of(urgent, now)
        for beat in roster.live_messages(state.entries, now):
            if beat.vm_zone == state.settings.vm_zone:
                self.links.send(beat.address, news)

    def _take_endpoints(self, endpoints):
        now = now_s()
        news = tablesync.take(self.state.endpoints, endpoints, now)
        # An entry that the sender doesn't reach hears it from here.
        for address in roster.live_addresses(self.state.entries, now) if news else ():
            told = tablesync.news_of(self.state.endpoints, news, now)
            self.links.send(address, EndpointNews(told))

    async def _beat(self):
        state = self.state
        while not state.stopping.is_set():
            now = now_s()
            for address in roster.targets(state.roster, now):
                self.links.send(address, self._own_beat(address, now))
            for address in roster.sweep(state.roster, now):
                state.sink.write("control", "control-lost", True, address=address)
            for address in roster.sweep(state.entries, now):
                state.sink.write("control", "entry-lost", True, address=address)
            tablesync.sweep(state.endpoints, now)
            self.verifier.review(now)
            self.rates.sweep(now)
            present = {*roster.targets(state.roster, now), *state.entries.peers}
            state.crashes.review(present, now)
            await anyio.sleep(BEAT_S)

    def _own_beat(self, address, now):
        state = self.state
        known = state.roster.peers.get(address)
        seen = known.beat.seen if known else TableMark("", 0)
        return ControlBeat(
            boot=state.boot,
            vm=state.settings.vm,
            address=state.address,
            log_address=state.log_address,
            disk_id=state.disk_id,
            has_disk=bool(state.settings.data_folder),
            vm_zone=state.settings.vm_zone,
            is_founding=state.settings.is_founding,
            controls=tuple(roster.live_addresses(state.roster, now)),
            seen=self._seen.get(address, TableMark("", 0)),
            table_version=state.endpoints.table.version,
            endpoints=tablesync.news_since(state.endpoints, seen, now),
            alive=tablesync.signs(state.endpoints, now),
            crashes=state.crashes.message(address, now),
            limits=self.rates.told(now),
        )

    async def _confirm(self):
        """Answer the beats that came before each confirmation, all together."""
        while True:
            await self._wake.wait()
            self._wake, self._hurry = anyio.Event(), anyio.Event()
            waiting, self._waiting = self._waiting, {}
            asked_s = now_s()
            version = await self._confirmed_version()
            if version >= 0:
                self.state.confirmed_s = asked_s
            for beat in waiting.values():
                self._answer(beat, version)
            await anyio.sleep(FIRST_CONFIRM_EVERY_S)
            with anyio.move_on_after(CONFIRM_EVERY_S - FIRST_CONFIRM_EVERY_S):
                await self._hurry.wait()

    async def _confirmed_version(self):
        voter = self.state.voter
        if voter is None:
            return -1
        try:
            await voter.wait_for_read_index(CONFIRM_S)
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
            wait_s = FAR_WAIT_S if beat.version else FIRST_FAR_WAIT_S
            if is_near or now - self._changed_s > wait_s:
                news = ConfigurationNews(voter.state.version, voter.state.packed)
                self.links.send(beat.address, news)
        others = self._others(beat, now)
        answer = ControlAnswer(
            boot=state.boot,
            address=state.address,
            sent_s=beat.sent_s,
            version=version,
            controls=(state.address, *roster.live_addresses(state.roster, now)),
            table_version=state.endpoints.table.version,
            endpoints=tablesync.news_since(state.endpoints, beat.seen, now),
            alive=tablesync.signs(state.endpoints, now) if beat.wants_all else (),
            vm_zone=state.settings.vm_zone,
            usage=None if others is None else _sum_usage(others),
            spent=None if others is None else _sum_spent(others),
            spent_age_s=roster.mean_age_s(state.entries, beat.address, now),
            entries=len(roster.live_addresses(state.entries, now)),
            crashes=(
                state.crashes.message(beat.address, now)
                if beat.crashes is not None
                else None
            ),
            limits=self.rates.told(now),
        )
        self.links.send(beat.address, answer)

    def _others(self, beat, now):
        """Return the beats of the other entries, None when they weren't asked for."""
        if not beat.wants_all:
            return None
        beats = roster.live_messages(self.state.entries, now)
        return [other for other in beats if other.address != beat.address]


def _sum_usage(beats):
    """Sum up what entries have running, by engine."""
    sums: dict[str, Usage] = {}
    for one in (one for beat in beats for one in beat.usage):
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
    sums: dict[str, RetryUsage] = {}
    for one in (one for beat in beats for one in beat.spent):
        known = sums.get(one.service, RetryUsage(one.service, 0, 0))
        requests, retries = known.requests + one.requests, known.retries + one.retries
        sums[one.service] = RetryUsage(one.service, requests, retries)
    return tuple(sums.values())
