"""An entry's line to the control VMs: beats out, configuration and endpoints in.

Every control VM that is known gets each beat, so that one which is cut off, frozen or
slow costs nothing but its answer. The newest confirmed answer counts.
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
from cherryrudder.wire.links import Links, listen_frames

from . import (
    brokenruns,
    crashes,
    entrystate,
    gossip,
    ratelimiter,
    roster,
    tablesync,
)
from .entrystate import EntryState
from .gossip import (
    ConfigurationNews,
    ControlAnswer,
    CrashUpdate,
    DeathConfirmation,
    DeathNotice,
    EndpointNews,
    EntryBeat,
    LimitNews,
    PaceUpdate,
    PermitGrant,
    PermitRequest,
    Refutation,
    SlownessReport,
    SuspicionReport,
    TableMark,
)

BEAT_S = 0.5
# A control VM of another data centre hears an entry only so often while a near one has
# confirmed what is in force lately: three such beats fit into the time after which a
# process counts as lost. Beats and answers of some kilobytes, of every entry with every
# control VM, are most of what crosses between data centres otherwise.
FAR_BEAT_S = 1.0
# Two beats; a near control VM that is late once is no reason to ask the far ones.
NEAR_FRESH_S = 1.0
# Before the first configuration every moment counts: callers may be waiting already.
FIRST_BEAT_S = 0.1

log = logger.bind(part="uplink")


class Uplink:
    """The frame links of one entry process."""

    def __init__(self, state: EntryState, group):
        self.state = state
        self.group = group
        self._codec = FrameCodec(gossip.KINDS)
        self.links = Links(group, self._codec, gossip.KEY, state.address, self._on_down)
        self._seen: dict[str, TableMark] = {}
        # When each control VM was last sent a beat, and when a near one last confirmed
        # what is in force.
        self._beaten_s: dict[str, float] = {}
        self._near_confirmed_s = float("-inf")
        state.rates.send_ask = self._ask_issuer
        state.rates.spread = self._tell_tellers
        state.spread_endpoints = self._spread_endpoints

    def start(self) -> None:
        """Start listening and beating."""
        self.group.start_soon(
            listen_frames,
            self.state.address,
            self._codec,
            gossip.KEY,
            self._on_frames,
            self.state.stopping,
        )
        self.group.start_soon(self._beat)

    def report_suspect(self, engine_id: str, vm_zone: str) -> None:
        """Have the control VMs of an engine's data centre look for themselves.

        All control VMs are asked when none of those was heard lately.
        """
        accusation = SuspicionReport(engine_id, self.state.address)
        answers = roster.live_messages(self.state.controls, now_s())
        near = [answer for answer in answers if answer.vm_zone == vm_zone]
        for answer in near or answers:
            self.links.send(answer.address, accusation)

    def report_slowness(self, engines: list[Announcement]) -> None:
        """Have a control VM beside each engine of a slow chain look at its pace."""
        by_teller: dict[str, list[str]] = {}
        for engine in engines:
            address = self._teller_beside(engine)
            by_teller.setdefault(address, []).append(engine.engine_id)
        for address, engine_ids in by_teller.items():
            if address:
                self.links.send(address, SlownessReport(tuple(engine_ids)))

    def report_pace(self, engine: Announcement, seen: float) -> None:
        """Take the pace that an engine told this entry, and pass on that it is slow."""
        news = PaceUpdate(engine.engine_id, seen)
        if self._on_pace(news) and seen >= slowness.MIN_SLOWNESS:
            address = self._teller_beside(engine)
            if address:
                self.links.send(address, news)

    def publish_crashes(self, news: CrashUpdate | None) -> None:
        """Tell one control VM of each data centre of requests that end engines."""
        if news is not None and news.records:
            self._tell_tellers(news)

    def _ask_issuer(self, ask: PermitRequest):
        """Send an ask to the control VM that issues an engine's permits."""
        known = self.state.endpoints.table.entries.get(ask.limit.engine_id)
        address = known and self._teller_beside(known.announcement)
        if address:
            self.links.send(address, ask)

    def _spread_endpoints(self, engine_ids):
        """Tell the control VMs of endpoints that this entry has news of."""
        told = tablesync.news_of(self.state.endpoints, engine_ids, now_s())
        self._tell_tellers(EndpointNews(told))

    def _tell_tellers(self, message):
        """Tell one control VM of each data centre."""
        for address in tellers_of(
            roster.live_messages(self.state.controls, now_s())
        ).values():
            self.links.send(address, message)

    def _teller_beside(self, engine):
        tellers = tellers_of(roster.live_messages(self.state.controls, now_s()))
        return tellers.get(engine.vm_zone) or min(tellers.values(), default="")

    def _on_down(self, address):
        """Leave it to the beats, which tell what was lost and who was."""

    async def _beat(self):
        state = self.state
        while True:
            now = now_s()
            tellers = tellers_of(roster.live_messages(state.controls, now))
            entrystate.record_report_sent(state)
            for address in roster.targets(state.controls, now):
                if self._is_due(address, now):
                    self._beaten_s[address] = now
                    self.links.send(address, self._own_beat(address, tellers, now))
            for address in roster.sweep(state.controls, now):
                self._beaten_s.pop(address, None)
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
            state.crashes.review(set(roster.targets(state.controls, now)), now)
            await anyio.sleep(BEAT_S if state.table else FIRST_BEAT_S)

    def _is_due(self, address, now):
        """Tell whether a control VM is to hear this entry now."""
        known = self.state.controls.peers.get(address)
        if known is None or known.beat.vm_zone == self.state.settings.vm_zone:
            return True
        if now - self._near_confirmed_s > NEAR_FRESH_S:
            return True
        return now - self._beaten_s.get(address, 0.0) > FAR_BEAT_S - BEAT_S / 2

    def _own_beat(self, address, tellers, now):
        state = self.state
        is_teller = address in tellers.values()
        wants_all = address == self._own_teller(tellers)
        # Until this entry has a book, any control VM's is welcome.
        wants_crashes = wants_all or not state.crashes.has_heard()
        return EntryBeat(
            vm=state.settings.vm,
            vm_zone=state.settings.vm_zone,
            address=state.address,
            sent_s=now,
            version=state.version,
            seen=self._seen.get(address, TableMark("", 0)),
            usage=entrystate.usage(state) if is_teller else (),
            spent=sharedbudget.count_usage(state.retry_budget, now)
            if is_teller
            else (),
            wants_all=wants_all,
            crashes=state.crashes.message(address, now) if wants_crashes else None,
            limits=ratelimiter.told(state.rates.book, now),
        )

    def _own_teller(self, tellers):
        own = tellers.get(self.state.settings.vm_zone)
        return own or min(tellers.values(), default="")

    def _on_frames(self, peer, messages):
        gossip.deliver(peer, messages, self._take)

    def _take(self, message):
        match message:
            case ControlAnswer():
                self._on_answer(message)
            case ConfigurationNews():
                self._on_configuration(message)
            case EndpointNews():
                self._take_endpoints(message.endpoints)
            case CrashUpdate():
                self.state.crashes.take_records(message.records, now_s())
            case DeathNotice():
                self._on_death(message)
            case DeathConfirmation():
                self._on_end(message)
            case Refutation():
                self._on_acquittal(message)
            case PaceUpdate():
                self._on_pace(message)
            case LimitNews():
                ratelimiter.hear(self.state, message.limits, now_s())
            case PermitGrant():
                ratelimiter.take(self.state, message, now_s())

    def _on_answer(self, answer):
        state, now = self.state, now_s()
        if roster.record(state.controls, answer.address, answer, now):
            state.sink.write("uplink", "control-found", True, address=answer.address)
        roster.tell(state.controls, answer.controls, now)
        self._take_endpoints(answer.endpoints)
        tablesync.take_alive(state.endpoints, answer.alive, now)
        self._seen[answer.address] = TableMark(answer.boot, answer.table_version)
        state.entries = answer.entries
        if answer.usage is not None:
            data_centres = len(tellers_of(roster.live_messages(state.controls, now)))
            entrystate.update_peer_load(state, answer.usage, data_centres, now)
            sharedbudget.update_share(
                state.retry_budget,
                answer.spent,
                answer.entries,
                now,
                answer.spent_age_s,
            )
        if answer.crashes is not None:
            state.crashes.take(answer.address, answer.crashes, now)
        ratelimiter.hear(state, answer.limits, now)
        # A version that is not here yet confirms nothing; the next answer will.
        if 0 < answer.version <= state.version:
            self._confirm(answer.sent_s, now)
            if answer.vm_zone == state.settings.vm_zone:
                self._near_confirmed_s = now

    def _confirm(self, sent_s, now):
        state = self.state
        was_age_s = now - state.confirmed_s
        state.confirmed_s = max(state.confirmed_s, sent_s)
        if was_age_s > state.settings.bounds.revoke_s:
            state.sink.write("uplink", "confirmed", True, version=state.version)

    def _on_configuration(self, news):
        state = self.state
        if news.version <= state.version:
            # Never back within one run of the process, whatever comes late.
            return
        text = configlog.unpack(news.packed)
        result = configuration.read_configuration(text.encode())
        if result.is_error():
            log.error("An accepted configuration is unreadable: {}.", result.error)
            return
        old = state.version
        state.table = RouteTable(result.ok)
        state.sink.write(
            "uplink", "configuration", True, old_version=old, version=news.version
        )

    def _take_endpoints(self, heard):
        state, now = self.state, now_s()
        for engine_id in tablesync.take(state.endpoints, heard, now):
            entry = state.endpoints.table.entries.get(engine_id)
            if entry is not None:
                self._log_endpoint(entry)
            if entry is not None and not entry.is_gone:
                self._note_incarnation(entry.announcement)
            if entry is not None and endpoints.has_leaving_notice(entry.announcement):
                state.leaving_since_s.setdefault(engine_id, now)

    def _note_incarnation(self, announcement):
        """Drop the connections to what was at an address before this incarnation.

        The first request to an engine that has started again would go out on one of
        them, and find it reset.
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

    def _on_end(self, notice):
        state, engine_id = self.state, notice.engine_id
        is_news = not entrystate.is_confirmed_dead(state, engine_id)
        suspicion.record_confirmed_death(state.suspicions, engine_id, now_s())
        if is_news:
            state.sink.write("uplink", "engine-ended", True, engine_id=engine_id)
        self.publish_crashes(crashes.record_engine_end(state, engine_id, now_s()))

    def _on_acquittal(self, acquittal):
        engine_id = acquittal.engine_id
        brokenruns.record_alive(self.state.broken, engine_id)
        if suspicion.reinstate(self.state.suspicions, engine_id):
            self.state.sink.write(
                "uplink", "engine-acquitted", True, engine_id=engine_id
            )

    def _on_pace(self, news):
        book = self.state.slowness
        is_news = slowness.record_slowness(book, news.engine_id, news.slowness, now_s())
        if is_news:
            self.state.metrics.beliefs.labels("engine-pace").inc()
            self.state.sink.write(
                "uplink",
                "engine-pace",
                True,
                engine_id=news.engine_id,
                slowness=round(news.slowness, 2),
            )
        return is_news


def tellers_of(answers) -> dict[str, str]:
    """Return by data centre the control VM that tells its entries of all others.

    What the others have running and which endpoints were heard lately is the largest
    part of all messages; told by each control VM to each entry, it grows with their
    product and crosses between data centres. One that can't confirm what is in
    force may be cut off from the rest, and is asked only for want of another.
    """
    sure = [answer for answer in answers if answer.version >= 0] or answers
    tellers: dict[str, str] = {}
    for answer in sorted(sure, key=lambda answer: answer.address):
        tellers.setdefault(answer.vm_zone, answer.address)
    return tellers
