"""Find the engine that a silent stream waits for, sharing reports among streams.

Problem: an engine in the middle of a chain dies, and the first one keeps the stream
silent for seconds. The first engine's report names the engine it waits for, but 200 ms
late, and a pause of 200 ms already makes the stream late. So every engine of the chain
is asked for its report at the same time. Within a data centre living engines answer in
a few milliseconds; an engine that does not is taken as dead.

Problem: a whole host or link pauses for some tenths of a second. Engines that answered
just before seem to prove that only the silent one is dead, and living engines lose
their streams. So another engine of the chain is asked together with a silent one, and
must answer meanwhile.
"""

from typing import NamedTuple

import anyio
from loguru import logger

from cherryrudder.platform.engines import Report
from cherryrudder.relay import pool
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import answertimes, suspicion
from cherryrudder.routing.answertimes import AnswerTimes, Bounds
from cherryrudder.routing.endpoints import Announcement

from . import enginecalls, entrystate
from .entrystate import EntryState
from .errors import EngineCallFailed
from .uplink import Uplink

# How long a result is shared by all streams that are silent at the same time. A report
# is valid for longer, since streams that are merely slow ask repeatedly. A missing
# report counts from the end of the request, as the request itself takes longer than
# this.
SILENT_MAX_AGE_S = 0.1
REPORT_MAX_AGE_S = 0.3
# Time limits for a report: at least a few scheduler turns on either side, at most half
# of a pause that clients notice. A lost packet is retransmitted only after 0.2 s.
REPORT_BOUNDS = Bounds(min_s=0.015, initial_s=0.03, max_s=0.12)
RETRANSMIT_S = 0.2
# Tries at a report: each a factor on the usual time limit and seconds on top. An engine
# that answers none is taken as dead. The second try is longer, in case the engine has
# just become busy.
NEAR_TRIES = ((1.0, 0.0), (1.5, 0.0))
# Links between data centres lose packets at times. On a link that loses 4 in 100, one
# report in seven needs a retransmission, and each check asks for some ten reports. The
# last try is skipped once another engine over that link has answered since the first.
FAR_TRIES = ((1.0, 0.0), (1.5, 0.0), (1.5, RETRANSMIT_S))
# Extra seconds per try for the first engine of a chain. Losing it costs a whole new run
# over other engines, more than reading one part again, so an engine that is only short
# of CPU time should not be given up.
FIRST_EXTRA_S = (0.045, 0.2, 0.0)
# A timeout that is noticed this late means that this process stalled; the engine's
# answer may have yet to be read.
PROCESS_STALL_S = 0.03
# A call that failed in a pause of this process is made again, at most this often and
# within this time.
MAX_STALL_RETRIES = 3
MAX_STALL_S = 1.0

log = logger.bind(part="stalls")


class FailedTry(NamedTuple):
    """A request for a report that got none, and the pauses of this process in it."""

    limit_s: float
    took_s: float
    paused_s: float
    error: str


class SharedReport(NamedTuple):
    """An engine's report, None if it gave none, and the time it counts from."""

    report: Report | None
    valid_from_s: float
    failed_tries: tuple[FailedTry, ...] = ()
    # Another engine that answered while this one was silent. Without one the silence
    # may be that of a whole host or link.
    witness: str = ""

    def is_settled(self) -> bool:
        """Return whether there is a report, or a silence that has a witness."""
        return self.report is not None or bool(self.witness)


class StallDetector:
    """The newest reports of engines, shared by all silent streams."""

    def __init__(self, state: EntryState, uplink: Uplink):
        self.state = state
        self.uplink = uplink
        # By address, and whether the engine is the first of the checked chain.
        self._reports: dict[tuple[str, bool], SharedReport] = {}
        self._locks: dict[tuple[str, bool], anyio.Lock] = {}
        # How long reports take, by data centre of the engine.
        self._answer_times: dict[str, AnswerTimes] = {}
        # When an engine last gave a report, by data centre.
        self._answered_s: dict[str, float] = {}

    async def get_reports(self, addresses: list[str]) -> dict[str, SharedReport]:
        """Ask a chain's engines for reports concurrently; return them by address."""
        # Kept apart from the shared reports: an address may be dropped meanwhile.
        found: dict[str, SharedReport] = {}

        async def fetch(address, get):
            found[address] = await get(address, address == addresses[0], found)

        for get in (self._get_shared, self._get_settled):
            async with anyio.create_task_group() as group:
                for address in addresses:
                    group.start_soon(fetch, address, get)
        return found

    async def _get_shared(self, address, is_first, found):
        key = (address, is_first)
        async with self._locks.setdefault(key, anyio.Lock()):
            known = self._reports.get(key)
            if known is not None and _is_fresh(known, now_s()):
                return known
            fresh = self._reports[key] = await self._ask(address, is_first, found)
            return fresh

    async def _get_settled(self, address, is_first, found):
        """Ask a silent engine once more if its silence has no witness yet."""
        key, known = (address, is_first), found[address]
        if known.is_settled():
            return known
        async with self._locks.setdefault(key, anyio.Lock()):
            newest = self._reports.get(key, known)
            if newest.is_settled() and _is_fresh(newest, now_s()):
                return newest
            witnesses = self._answered(address, found)
            if not witnesses:
                return known
            share, retransmit_s = self._tries(address)[-1]
            limit_s = share * self._usual_s(address) + retransmit_s
            tries = known.failed_tries
            fresh = await self._ask_with(witnesses, address, limit_s, tries)
            self._reports[key] = fresh
            return fresh

    async def _ask(self, address, is_first, found):
        """Return an engine's report, or its silence after several tries."""
        zone, began_s = self._zone_of(address), now_s()
        silent = SharedReport(None, began_s)
        tries = zip(self._tries(address), FIRST_EXTRA_S, strict=False)
        for (share, retransmit_s), extra_s in tries:
            if retransmit_s and self._answered_s.get(zone, 0.0) > began_s:
                break
            # Other engines' answers may have changed the usual time meanwhile.
            limit_s = share * self._usual_s(address) + retransmit_s
            limit_s += extra_s if is_first else 0.0
            failed_tries = silent.failed_tries
            witnesses = self._answered(address, found)[:1] if failed_tries else []
            result = await self._ask_with(witnesses, address, limit_s, failed_tries)
            if result.report is not None:
                # Counted from the first try: an engine that needs a second one is busy.
                times = self._answer_times.setdefault(zone, AnswerTimes())
                answertimes.record_time(times, now_s() - began_s)
                self._answered_s[zone] = now_s()
                return result._replace(valid_from_s=began_s)
            silent = result
        return silent

    async def _ask_with(self, witnesses, address, limit_s, failed_tries):
        """Ask an engine and its possible witnesses at the same time."""
        asked_s, failed, answered = now_s(), list(failed_tries), []

        async def ask_witness(witness):
            usual_s = self._usual_s(witness)
            report = await self._report(witness, max(limit_s, usual_s), [])
            # An answer near the end of the time limit shows that both were slow.
            if report is not None and now_s() - asked_s <= usual_s:
                answered.append(witness)

        async with anyio.create_task_group() as group:
            for witness in witnesses:
                group.start_soon(ask_witness, witness)
            report = await self._report(address, limit_s, failed)
            if report is not None:
                group.cancel_scope.cancel()
        if report is not None:
            return SharedReport(report, asked_s, tuple(failed))
        return SharedReport(None, now_s(), tuple(failed), "".join(answered[:1]))

    def _answered(self, address, found):
        """Return the engines that have answered, those over the same link first."""
        zone = self._zone_of(address)
        answered = [a for a, shared in found.items() if shared.report is not None]
        return sorted(answered, key=lambda other: self._zone_of(other) != zone)

    def _tries(self, address):
        is_near = self._zone_of(address) == self.state.settings.vm_zone
        return NEAR_TRIES if is_near else FAR_TRIES

    def _usual_s(self, address):
        """Return the time within which an engine usually gives its report."""
        times = self._answer_times.setdefault(self._zone_of(address), AnswerTimes())
        return answertimes.timeout_s(times, REPORT_BOUNDS)

    def _zone_of(self, address):
        engine = entrystate.engine_at(self.state, address, now_s())
        return engine.vm_zone if engine else self.state.settings.vm_zone

    async def _report(self, address, timeout_s, failed_tries):
        """Return an engine's report, or None; ask again if this process stalled."""
        began_s = now_s()
        for _ in range(MAX_STALL_RETRIES):
            asked_s = now_s()
            try:
                return await enginecalls.get_report(address, timeout_s, self.state.pool)
            except EngineCallFailed as error:
                log.info("No report: {}.", error)
                took_s = now_s() - asked_s
                failed = FailedTry(timeout_s, took_s, error.paused_s, str(error))
                failed_tries.append(failed)
                if not may_ask_again(error, timeout_s, took_s, now_s() - began_s):
                    return None
        return None

    def drop_unknown(self, known: set[str]) -> None:
        """Drop the reports of addresses that are no longer known."""
        for key in [key for key in self._reports if key[0] not in known]:
            del self._reports[key]
            self._locks.pop(key, None)

    def mark_dead(
        self, address: str, why: str, is_unreached: bool = False, **evidence
    ) -> None:
        """Record an engine as dead for this entry, and ask control VMs to verify it.

        `is_unreached` means that no connection to it could be opened; the evidence
        is written to the log.
        """
        state, now = self.state, now_s()
        engine = entrystate.engine_at(state, address, now)
        if engine is None or entrystate.is_suspect(state, engine.engine_id, now):
            return
        engine_id = engine.engine_id
        suspicion.record_failure(state.suspicions, engine_id, now, is_unreached)
        state.engine_died.set()
        pool.close_idle(state.pool, address)
        self.uplink.report_suspect(engine_id, engine.vm_zone)
        state.metrics.beliefs.labels("engine-dead").inc()
        state.sink.write(
            "stalls",
            "engine-dead",
            True,
            address=address,
            engine_id=engine_id,
            why=why,
            **evidence,
        )


def may_ask_again(
    error: EngineCallFailed, timeout_s: float, took_s: float, asking_s: float
) -> bool:
    """Return whether a call failed in a pause of this process, and may be repeated.

    `asking_s` is the time since the first of the calls.
    """
    is_stalled = took_s - error.paused_s >= timeout_s + PROCESS_STALL_S
    return (error.is_unclear or is_stalled) and asking_s < MAX_STALL_S


def is_of_incarnation(report: Report, announcement: Announcement) -> bool:
    """Return whether a report and an announcement are of the same incarnation.

    A restarted engine answers normally although its streams are lost.
    """
    starts_ms = {report.started_ms, announcement.started_ms} - {0}
    return len(starts_ms) < 2


def describe(reports: dict[str, SharedReport], address: str, now: float) -> dict:
    """Return the failed tries at one engine, and the ages of the others' reports."""
    return {
        "witness": reports[address].witness,
        "tries": [
            [*(round(seconds, 3) for seconds in one[:-1]), one.error]
            for one in reports[address].failed_tries
        ],
        "report_ages_s": {
            other: round(now - shared.valid_from_s, 3)
            for other, shared in reports.items()
            if shared.report is not None
        },
    }


def _is_fresh(shared, now):
    limit_s = SILENT_MAX_AGE_S if shared.report is None else REPORT_MAX_AGE_S
    return now - shared.valid_from_s < limit_s
