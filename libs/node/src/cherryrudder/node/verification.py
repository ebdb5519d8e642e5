"""Verify an entry's suspicion that an engine is dead.

Problem: links to one data centre lose packets. An entry gets no answer from an engine
there in time and reports it to everybody as dead. Each entry does so for another
engine, and within three seconds all chains of a deployment are broken although every
engine is alive. So an entry's suspicion counts for that entry only. The control VMs
nearest to the engine probe it as well, and send out its death only if they got no
answer either. Otherwise they inform the entry that the engine is alive.

Problem: a control VM behind a full link gets no answer in time, while another one of
its data centre does. If one missing answer were enough, the engine would count as dead
everywhere, and the streams that run there would each be sent to one engine more than
their route allows. So one answer outweighs any number of missing ones.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

import anyio
from loguru import logger

from cherryrudder.replica.clock import now_s
from cherryrudder.routing import endpoints
from cherryrudder.wire import timeouts

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

# A report takes some milliseconds inside a data centre and 15 ms from a busy engine; a
# lost packet is retransmitted after 0.2 s.
REPORT_TIMEOUT_S = 0.1
SECOND_REPORT_TIMEOUT_S = 0.3
# Other control VMs that are asked to probe an engine.
MAX_PEERS_ASKED = 2
# Time for both of the other control VM's probes and the round trip.
PEER_ANSWER_TIMEOUT_S = 0.6
# Heartbeats that an engine must miss before its end is confirmed. One from a living
# engine has arrived by then, even if some processes do not receive it.
MISSED_HEARTBEATS = 2
# How often entries are sent the notice that an engine has ended: a notice may be lost.
END_NOTICES = 3

log = logger.bind(part="verification")


class Observation(StrEnum):
    """The result of one probe of an engine."""

    LIVES = "lives"
    # Another incarnation answers at its address.
    ENDED = "ended"
    SILENT = "silent"
    # This process has no announcement of it.
    UNKNOWN = "unknown"


class Verdict(StrEnum):
    """A control VM's conclusion from its own probe and those of others."""

    LIVES = "lives"
    DEAD = "dead"
    UNCLEAR = "unclear"


def decide_verdict(
    own: Observation, others: Iterable[Observation], asked: int
) -> Verdict:
    """Return the verdict from the own probe and the answers of the VMs asked.

    A silent engine counts as dead if another control VM found it silent too, or if
    there was none to ask. Without any answer from the others, this VM itself may be cut
    off.
    """
    seen = {own, *others}
    if Observation.ENDED in seen:
        return Verdict.DEAD
    if Observation.LIVES in seen:
        return Verdict.LIVES
    is_shared = Observation.SILENT in set(others) or not asked
    return Verdict.DEAD if own is Observation.SILENT and is_shared else Verdict.UNCLEAR


class _Probe:
    """A probe in flight, shared by all who request one meanwhile."""

    def __init__(self):
        self.observation = Observation.UNKNOWN
        self.is_over = anyio.Event()


class _PeerProbes(NamedTuple):
    """The control VMs asked to probe an engine, and their answers so far."""

    asked: tuple[str, ...]
    answers: dict[str, Observation]
    is_over: anyio.Event


class Verifier:
    """Verifies suspicions against engines in a control process."""

    def __init__(self, state: ControlState, links, group):
        self.state = state
        self.links = links
        self.group = group
        # Addresses that wait for the outcome, by the engine's incarnation.
        self._waiting: dict[str, set[str]] = {}
        self._probes: dict[str, _Probe] = {}
        self._peer_probes: dict[str, _PeerProbes] = {}
        # How often entries were sent the notice that an engine has ended.
        self._notices_sent: dict[str, int] = {}

    def handle_suspicion(self, report: SuspicionReport) -> None:
        """Verify a suspicion; reports of the same engine share a verification."""
        engine_id = report.engine_id
        senders = self._waiting.get(engine_id)
        if senders is not None:
            senders.add(report.sender)
            return
        self._waiting[engine_id] = {report.sender}
        self.group.start_soon(self._investigate, engine_id)

    def handle_probe_request(self, request: ProbeRequest) -> None:
        """Probe an engine for another control VM, which decides the verdict."""
        self.group.start_soon(self._answer, request)

    def handle_probe_result(self, result: ProbeResult) -> None:
        """Record another control VM's answer."""
        peers = self._peer_probes.get(result.engine_id)
        if peers is None or result.sender not in peers.asked:
            return
        peers.answers[result.sender] = Observation(result.observation)
        is_clear = result.observation in (Observation.LIVES, Observation.ENDED)
        if is_clear or len(peers.answers) == len(peers.asked):
            peers.is_over.set()

    async def _answer(self, request):
        seen = await self._probe(request.engine_id)
        result = ProbeResult(request.engine_id, self.state.address, seen)
        self.links.send(request.sender, result)

    async def _investigate(self, engine_id):
        own = await self._probe(engine_id)
        peers = self._ask(engine_id) if own is Observation.SILENT else None
        if peers is not None and peers.asked:
            with timeouts.move_on_after(PEER_ANSWER_TIMEOUT_S):
                await peers.is_over.wait()
        self._peer_probes.pop(engine_id, None)
        senders = self._waiting.pop(engine_id)
        answers = peers.answers if peers else {}
        asked = len(peers.asked) if peers else 0
        verdict = decide_verdict(own, answers.values(), asked)
        self._log(engine_id, senders, own, answers, verdict)
        if verdict is Verdict.LIVES:
            for address in senders:
                self.links.send(address, Refutation(engine_id))
        elif verdict is Verdict.DEAD:
            self.mark_dead(engine_id)
            self._send_all(
                DeathNotice(engine_id), self.state.roster, self.state.entries
            )

    def _log(self, engine_id, senders, own, answers, verdict):
        self.state.sink.write(
            "control",
            "accusation",
            True,
            engine_id=engine_id,
            senders=sorted(senders),
            seen=own,
            others=answers,
            outcome=verdict,
        )

    def _send_all(self, notice, *rosters):
        now = now_s()
        for recipients in rosters:
            for address in roster.live_addresses(recipients, now):
                self.links.send(address, notice)

    def mark_dead(self, engine_id: str) -> None:
        """Record an engine as dead until its next heartbeat."""
        self.state.suspected_s[engine_id] = now_s()

    def review(self, now: float) -> None:
        """Drop refuted suspicions, and send entries notices of engines that ended.

        Failed probes alone don't confirm an engine's end: it must miss its heartbeats
        as well. Only the log's leader sends notices, since a VM that is cut off from
        the others can't be leader.
        """
        max_silence_s = MISSED_HEARTBEATS * self.state.settings.heartbeat_s
        for engine_id, since_s in list(self.state.suspected_s.items()):
            known = self.state.endpoints.table.entries.get(engine_id)
            if known is None or known.is_gone or known.last_seen_s > since_s:
                del self.state.suspected_s[engine_id]
                self._notices_sent.pop(engine_id, None)
            elif now - known.last_seen_s > max_silence_s and self.state.is_leader():
                sent = self._notices_sent.get(engine_id, 0)
                if sent < END_NOTICES:
                    self._notices_sent[engine_id] = sent + 1
                    self.group.start_soon(self._confirm_end, engine_id)

    async def _confirm_end(self, engine_id):
        seen = await self._probe(engine_id)
        if seen is Observation.LIVES:
            self.state.suspected_s.pop(engine_id, None)
            self._send_all(Refutation(engine_id), self.state.entries)
        else:
            self._send_all(DeathConfirmation(engine_id), self.state.entries)
        self.state.sink.write(
            "control", "engine-unheard", True, engine_id=engine_id, seen=seen
        )

    def _ask(self, engine_id):
        """Ask other control VMs to probe an engine, those in its data centre first."""
        known = self._peer_probes.get(engine_id)
        if known is not None:
            return known
        present = roster.live_messages(self.state.roster, now_s())
        entry = self.state.endpoints.table.entries.get(engine_id)
        vm_zone = entry.announcement.vm_zone if entry else ""
        present.sort(key=lambda peer: (peer.vm_zone != vm_zone, peer.address))
        asked = tuple(peer.address for peer in present[:MAX_PEERS_ASKED])
        peers = _PeerProbes(asked, {}, anyio.Event())
        self._peer_probes[engine_id] = peers
        for address in asked:
            self.links.send(address, ProbeRequest(engine_id, self.state.address))
        return peers

    async def _probe(self, engine_id):
        """Probe an engine; requests during a probe share its result."""
        probe = self._probes.get(engine_id)
        if probe is not None:
            await probe.is_over.wait()
            return probe.observation
        probe = self._probes[engine_id] = _Probe()
        try:
            probe.observation = await self._probe_once(engine_id)
        finally:
            del self._probes[engine_id]
            probe.is_over.set()
        return probe.observation

    async def _probe_once(self, engine_id):
        known = self.state.endpoints.table.entries.get(engine_id)
        if known is None or not known.announcement.address:
            return Observation.UNKNOWN
        if known.is_gone:
            return Observation.ENDED
        address = known.announcement.address
        for timeout_s in (REPORT_TIMEOUT_S, SECOND_REPORT_TIMEOUT_S):
            report = await self._report(address, timeout_s)
            if report is not None:
                # Another incarnation at the same address would answer as well.
                is_same = stalls.is_of_incarnation(report, known.announcement)
                is_there = is_same and self._is_newest_there(engine_id, address)
                return Observation.LIVES if is_there else Observation.ENDED
            if engine_id in self._waiting:
                # The others probe while this one tries a second time.
                self._ask(engine_id)
        return Observation.SILENT

    async def _report(self, address, timeout_s):
        """Return an engine's report, or None; ask again if this process stalled."""
        began_s = now_s()
        for _ in range(stalls.MAX_STALL_RETRIES):
            asked_s = now_s()
            try:
                return await enginecalls.get_report(address, timeout_s)
            except EngineCallFailed as error:
                log.info("No report: {}.", error)
                now = now_s()
                if not stalls.may_ask_again(
                    error, timeout_s, now - asked_s, now - began_s
                ):
                    return None
        return None

    def _is_newest_there(self, engine_id, address):
        live = endpoints.live(self.state.endpoints.table, now_s())
        there = [a.engine_id for a in live if a.address == address]
        return there == [engine_id]
