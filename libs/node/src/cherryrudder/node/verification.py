"""Looking for oneself at an engine that an entry takes for dead.

Failure: links to one data centre lose packets. An entry waits for an engine there, has
no answer in time and tells everybody that it is dead. Each entry does so for another
engine; within three seconds all chains of a deployment are broken, though every engine
lives. So an entry's word counts for itself only. The control VMs nearest to the engine
ask it as well, and everybody hears of the death only when they had no answer; else the
entry is told that the engine lives.

Failure: a control VM behind a full link has no answer in time either, and another one
of its data centre has. Were one word enough, the engine would be dead for all, and the
streams that run there would each be sent to one engine more than their route allows.
So "not reached from here" is an opinion, and an answer outweighs any number of them.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

import anyio
from loguru import logger

from cherryrudder.replica.clock import now_s
from cherryrudder.routing import endpoints

from . import enginecalls, roster, stalls
from .controlstate import ControlState
from .errors import EngineCallFailed
from .gossip import (
    DeathConfirmation,
    DeathNotice,
    ProbeRequest,
    ProbeResult,
    Refutation,
    SuspicionReport,
)

# A report takes some milliseconds inside a data centre and 15 from a busy engine; a
# lost packet is sent again after 0.2 s.
REPORT_S = 0.1
SECOND_REPORT_S = 0.3
# A report whose time limit was noticed late says that this process stood still. It is
# asked for again, but not for ever.
MOST_STANDSTILLS = 3
# Other control VMs that are asked what they see.
MAX_PEERS_ASKED = 2
# Both of a witness's reports, and the way there and back.
PEER_ANSWER_TIMEOUT_S = 0.6
# Heartbeats that an engine misses at the end. One that lives was heard by then, whoever
# else misses it.
MISSED_HEARTBEATS = 2
# How often entries are told that an engine has ended: each notice may be lost.
END_NOTICES = 3

log = logger.bind(part="verification")


class Observation(StrEnum):
    """What one look at an engine shows."""

    LIVES = "lives"
    # Another incarnation is at its address.
    ENDED = "ended"
    SILENT = "silent"
    # This process has never heard of it.
    UNKNOWN = "unknown"


class Verdict(StrEnum):
    """What a control VM makes of its own look and of what others saw."""

    LIVES = "lives"
    DEAD = "dead"
    UNCLEAR = "unclear"


def decide_verdict(
    own: Observation, others: Iterable[Observation], asked: int
) -> Verdict:
    """Return what follows from an own look and from the answers of those asked.

    Silence is believed when another one met it too, or when there is nobody to ask. A
    VM that nobody answers may be the one that is cut off.
    """
    seen = {own, *others}
    if Observation.ENDED in seen:
        return Verdict.DEAD
    if Observation.LIVES in seen:
        return Verdict.LIVES
    is_shared = Observation.SILENT in set(others) or not asked
    return Verdict.DEAD if own is Observation.SILENT and is_shared else Verdict.UNCLEAR


class _Look:
    """A look under way, for all who ask meanwhile."""

    def __init__(self):
        self.seen = Observation.UNKNOWN
        self.is_over = anyio.Event()


class _Opinions(NamedTuple):
    """The control VMs that were asked about an engine, and what they have answered."""

    asked: tuple[str, ...]
    heard: dict[str, Observation]
    is_over: anyio.Event


class Verifier:
    """The accusations that a control process is looking into."""

    def __init__(self, state: ControlState, links, group):
        self.state = state
        self.links = links
        self.group = group
        # Who waits for the outcome, by the engine's incarnation.
        self._waiting: dict[str, set[str]] = {}
        self._looks: dict[str, _Look] = {}
        self._opinions: dict[str, _Opinions] = {}
        # How often entries were told that an engine has ended.
        self._told: dict[str, int] = {}

    def handle_suspicion(self, accusation: SuspicionReport) -> None:
        """Look into an accusation; one look serves all who accuse at that time."""
        engine_id = accusation.engine_id
        senders = self._waiting.get(engine_id)
        if senders is not None:
            senders.add(accusation.sender)
            return
        self._waiting[engine_id] = {accusation.sender}
        self.group.start_soon(self._investigate, engine_id)

    def handle_probe_request(self, question: ProbeRequest) -> None:
        """Look at an engine for another control VM; the verdict is that one's."""
        self.group.start_soon(self._answer, question)

    def handle_probe_result(self, finding: ProbeResult) -> None:
        """Take what another control VM saw."""
        opinions = self._opinions.get(finding.engine_id)
        if opinions is None or finding.sender not in opinions.asked:
            return
        opinions.heard[finding.sender] = Observation(finding.observation)
        is_clear = finding.observation in (Observation.LIVES, Observation.ENDED)
        if is_clear or len(opinions.heard) == len(opinions.asked):
            opinions.is_over.set()

    async def _answer(self, question):
        seen = await self._see(question.engine_id)
        finding = ProbeResult(question.engine_id, self.state.address, seen)
        self.links.send(question.sender, finding)

    async def _investigate(self, engine_id):
        own = await self._see(engine_id)
        opinions = self._ask(engine_id) if own is Observation.SILENT else None
        if opinions is not None and opinions.asked:
            with anyio.move_on_after(PEER_ANSWER_TIMEOUT_S):
                await opinions.is_over.wait()
        self._opinions.pop(engine_id, None)
        senders = self._waiting.pop(engine_id)
        heard = opinions.heard if opinions else {}
        asked = len(opinions.asked) if opinions else 0
        verdict = decide_verdict(own, heard.values(), asked)
        self._log(engine_id, senders, own, heard, verdict)
        if verdict is Verdict.LIVES:
            for address in senders:
                self.links.send(address, Refutation(engine_id))
        elif verdict is Verdict.DEAD:
            self.mark_dead(engine_id)
            self._tell(DeathNotice(engine_id), self.state.roster, self.state.entries)

    def _log(self, engine_id, senders, own, heard, verdict):
        self.state.sink.write(
            "control",
            "accusation",
            True,
            engine_id=engine_id,
            senders=sorted(senders),
            observation=own,
            others=heard,
            outcome=verdict,
        )

    def _tell(self, notice, *rosters):
        now = now_s()
        for listeners in rosters:
            for address in roster.live_addresses(listeners, now):
                self.links.send(address, notice)

    def mark_dead(self, engine_id: str) -> None:
        """Take an engine as dead until it is heard again."""
        self.state.suspected_s[engine_id] = now_s()

    def review(self, now: float) -> None:
        """Drop accusations that were refuted; tell entries of engines that ended.

        Nobody's silence alone ends the runs at an engine: it has to miss its heartbeats
        as well. Only the log's leader tells, as one that others don't hear can't lead.
        """
        unheard_s = MISSED_HEARTBEATS * self.state.settings.heartbeat_s
        for engine_id, accused_s in list(self.state.suspected_s.items()):
            known = self.state.endpoints.table.entries.get(engine_id)
            if known is None or known.is_gone or known.last_seen_s > accused_s:
                del self.state.suspected_s[engine_id]
                self._told.pop(engine_id, None)
            elif now - known.last_seen_s > unheard_s and self.state.is_leader():
                told = self._told.get(engine_id, 0)
                if told < END_NOTICES:
                    self._told[engine_id] = told + 1
                    self.group.start_soon(self._confirm_end, engine_id)

    async def _confirm_end(self, engine_id):
        seen = await self._see(engine_id)
        if seen is Observation.LIVES:
            self.state.suspected_s.pop(engine_id, None)
            self._tell(Refutation(engine_id), self.state.entries)
        else:
            self._tell(DeathConfirmation(engine_id), self.state.entries)
        self.state.sink.write(
            "control", "engine-unheard", True, engine_id=engine_id, seen=seen
        )

    def _ask(self, engine_id):
        """Ask other control VMs what they see, those near the engine before others."""
        known = self._opinions.get(engine_id)
        if known is not None:
            return known
        present = roster.live_messages(self.state.roster, now_s())
        entry = self.state.endpoints.table.entries.get(engine_id)
        vm_zone = entry.announcement.vm_zone if entry else ""
        present.sort(key=lambda beat: (beat.vm_zone != vm_zone, beat.address))
        asked = tuple(beat.address for beat in present[:MAX_PEERS_ASKED])
        opinions = _Opinions(asked, {}, anyio.Event())
        self._opinions[engine_id] = opinions
        for address in asked:
            self.links.send(address, ProbeRequest(engine_id, self.state.address))
        return opinions

    async def _see(self, engine_id):
        """Return what a look shows; who asks during one gets the same answer."""
        look = self._looks.get(engine_id)
        if look is not None:
            await look.is_over.wait()
            return look.seen
        look = self._looks[engine_id] = _Look()
        try:
            look.seen = await self._look(engine_id)
        finally:
            del self._looks[engine_id]
            look.is_over.set()
        return look.seen

    async def _look(self, engine_id):
        known = self.state.endpoints.table.entries.get(engine_id)
        if known is None or not known.announcement.address:
            return Observation.UNKNOWN
        if known.is_gone:
            return Observation.ENDED
        address = known.announcement.address
        for timeout_s in (REPORT_S, SECOND_REPORT_S):
            report = await self._report(address, timeout_s)
            if report is not None:
                # Another incarnation at the same address would answer as well.
                is_same = stalls.is_of_incarnation(report, known.announcement)
                is_there = is_same and self._is_newest_there(engine_id, address)
                return Observation.LIVES if is_there else Observation.ENDED
            if engine_id in self._waiting:
                # The others look while this one tries once more.
                self._ask(engine_id)
        return Observation.SILENT

    async def _report(self, address, timeout_s):
        """Return an engine's report, or None; asks again after an own standstill."""
        for _ in range(MOST_STANDSTILLS):
            asked_s = now_s()
            try:
                return await enginecalls.get_report(address, timeout_s)
            except EngineCallFailed as error:
                log.info("No report: {}.", error)
            if now_s() - asked_s < timeout_s + stalls.PROCESS_STALL_S:
                return None
        return None

    def _is_newest_there(self, engine_id, address):
        live = endpoints.live(self.state.endpoints.table, now_s())
        there = [a.engine_id for a in live if a.address == address]
        return there == [engine_id]
