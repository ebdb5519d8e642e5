"""Finding out which engine a silent stream waits for, once for all streams.

Failure: an engine in the middle of a chain dies; the first one holds the stream and
says nothing for seconds. Its own report names the engine it waits for, but 200 ms late,
and a pause of 200 ms makes the stream late already. So every engine of the chain is
asked for its report at the same moment: within a data centre the living answer in a
few milliseconds, and the one that doesn't is dead.
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

# What one look found is good for all streams that are silent at the same moment. That
# an engine lives is good for longer: streams that are merely slow ask again and again.
# An engine without an answer counts as silent from the end of the look on, which takes
# longer than this by itself.
DEAD_AGE_S = 0.1
ALIVE_AGE_S = 0.3
# Time limits of an answer: at least some turns of the scheduler at either side, at most
# half of a pause that clients notice. A lost packet is sent again after 0.2 s only.
REPORT_BOUNDS = Bounds(min_s=0.015, initial_s=0.03, max_s=0.12)
RESENT_S = 0.2
# Tries at a report, each in usual time limits and in seconds beyond them. An engine
# that answers none is taken as dead; the second try is longer, for one that has just
# become busy.
NEAR_TRIES = ((1.0, 0.0), (1.5, 0.0))
# Links between data centres lose packets at times. Of the reports over one that loses
# 4 in 100, one in seven needs a packet sent again, and each look asks for some ten. The
# last try is left out once others over that link have answered in the same look.
FAR_TRIES = ((1.0, 0.0), (1.5, 0.0), (1.5, RESENT_S))
# A stream that loses its first engine runs once more, over other engines: more than a
# part that is read again, so that an engine which is merely starved isn't left for it.
FIRST_EXTRA_S = (0.045, 0.2, 0.0)
# A time limit that is noticed this late says that this process stood still; what the
# engine answered meanwhile is yet to be read.
PROCESS_STALL_S = 0.03

log = logger.bind(part="stalls")


class Look(NamedTuple):
    """A report, or None when the engine gave none, and when it counts from."""

    report: Report | None
    seen_s: float


class StallDesk:
    """The newest reports of engines, shared by the streams that are silent."""

    def __init__(self, state: EntryState, uplink: Uplink):
        self.state = state
        self.uplink = uplink
        # By address, and whether it is the first engine of the chain that is looked at.
        self._looks: dict[tuple[str, bool], Look] = {}
        self._locks: dict[tuple[str, bool], anyio.Lock] = {}
        # How long reports take, by the engine's data centre.
        self._times: dict[str, AnswerTimes] = {}
        # When an engine of a data centre last gave one.
        self._answered_s: dict[str, float] = {}

    async def look(self, addresses: list[str]) -> dict[str, Look]:
        """Ask a chain's engines for their reports, all at the same time."""
        # Kept apart from the shared ones: an address may be forgotten meanwhile.
        found: dict[str, Look] = {}

        async def look(address):
            found[address] = await self._look(address, address == addresses[0])

        async with anyio.create_task_group() as group:
            for address in addresses:
                group.start_soon(look, address)
        return found

    async def _look(self, address, is_first):
        key = (address, is_first)
        lock = self._locks.setdefault(key, anyio.Lock())
        async with lock:
            known = self._looks.get(key)
            if known is not None and _is_fresh(known, now_s()):
                return known
            asked_s = now_s()
            report = await self._ask(address, is_first)
            seen_s = now_s() if report is None else asked_s
            fresh = self._looks[key] = Look(report, seen_s)
            return fresh

    async def _ask(self, address, is_first):
        """Return an engine's report, or None when it gives none in any try."""
        zone = self._zone_of(address)
        times = self._times.setdefault(zone, AnswerTimes())
        is_near = zone == self.state.settings.vm_zone
        began_s = now_s()
        tries = NEAR_TRIES if is_near else FAR_TRIES
        for (share, resent_s), extra_s in zip(tries, FIRST_EXTRA_S, strict=False):
            if resent_s and self._answered_s.get(zone, 0.0) > began_s:
                break
            # Other engines may have answered meanwhile, and told what is usual.
            limit_s = share * answertimes.timeout_s(times, REPORT_BOUNDS) + resent_s
            limit_s += extra_s if is_first else 0.0
            report = await self._report(address, limit_s)
            if report is not None:
                # Since the first try: an engine that needed another one is busy.
                answertimes.record_time(times, now_s() - began_s)
                self._answered_s[zone] = now_s()
                return report
        return None

    def _zone_of(self, address):
        engine = entrystate.engine_at(self.state, address, now_s())
        return engine.vm_zone if engine else self.state.settings.vm_zone

    async def _report(self, address, timeout_s):
        """Return an engine's report, or None; asks again after an own standstill."""
        while True:
            asked_s = now_s()
            try:
                return await enginecalls.get_report(address, timeout_s, self.state.pool)
            except EngineCallFailed as error:
                log.info("No report: {}.", error)
            if now_s() - asked_s < timeout_s + PROCESS_STALL_S:
                return None

    def forget(self, known: set[str]) -> None:
        """Drop what was found about addresses that are no longer known."""
        for key in [key for key in self._looks if key[0] not in known]:
            del self._looks[key]
            self._locks.pop(key, None)

    def accuse(self, address: str, why: str, is_unreached: bool = False) -> None:
        """Take an engine as dead, and have a control VM look at it, too."""
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
            "stalls", "engine-dead", True, address=address, engine_id=engine_id, why=why
        )


def is_of_incarnation(report: Report, announcement: Announcement) -> bool:
    """Tell whether a report comes from the incarnation that an announcement is of.

    An engine that has started again answers as if nothing had been.
    """
    starts_ms = {report.started_ms, announcement.started_ms} - {0}
    return len(starts_ms) < 2


def _is_fresh(look, now):
    limit_s = DEAD_AGE_S if look.report is None else ALIVE_AGE_S
    return now - look.seen_s < limit_s
