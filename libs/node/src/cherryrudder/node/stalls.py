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
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import suspicion

from . import enginecalls, entrystate
from .entrystate import EntryState
from .errors import EngineCallFailed
from .uplink import Uplink

# What one look found is good for all streams that are silent at the same moment. That
# an engine lives is good for longer: streams that are merely slow ask again and again.
DEAD_AGE_S = 0.1
ALIVE_AGE_S = 0.3
# A report takes 2 ms between data centres, and some 15 from a busy engine. Twice in a
# row over the first figure is taken as death; a busy entry needs longer itself.
REPORT_S = 0.06
SECOND_REPORT_S = 0.15

log = logger.bind(part="stalls")


class Look(NamedTuple):
    """A report, or None when the engine gave none, and when it was asked for."""

    report: Report | None
    asked_s: float


class StallDesk:
    """The newest reports of engines, shared by the streams that are silent."""

    def __init__(self, state: EntryState, uplink: Uplink):
        self.state = state
        self.uplink = uplink
        self._looks: dict[str, Look] = {}
        self._locks: dict[str, anyio.Lock] = {}

    async def look(self, addresses: list[str]) -> dict[str, Look]:
        """Ask engines for their reports, all at the same time."""
        # Kept apart from the shared ones: an address may be forgotten meanwhile.
        found: dict[str, Look] = {}

        async def look(address):
            found[address] = await self._look(address)

        async with anyio.create_task_group() as group:
            for address in addresses:
                group.start_soon(look, address)
        return found

    async def _look(self, address):
        lock = self._locks.setdefault(address, anyio.Lock())
        async with lock:
            known = self._looks.get(address)
            if known is not None and _is_fresh(known, now_s()):
                return known
            asked_s = now_s()
            report = await self._report(address, REPORT_S)
            if report is None:
                report = await self._report(address, SECOND_REPORT_S)
            fresh = self._looks[address] = Look(report, asked_s)
            return fresh

    async def _report(self, address, timeout_s):
        try:
            return await enginecalls.get_report(address, timeout_s, self.state.pool)
        except EngineCallFailed as error:
            log.info("No report: {}.", error)
            return None

    def forget(self, known: set[str]) -> None:
        """Drop what was found about addresses that are no longer known."""
        for address in set(self._looks) - known:
            del self._looks[address]
            self._locks.pop(address, None)

    def accuse(self, address: str, why: str) -> None:
        """Take an engine as dead, and tell the others."""
        state, now = self.state, now_s()
        engine_id = entrystate.engine_at(state, address, now)
        if not engine_id or entrystate.is_suspect(state, engine_id, now):
            return
        suspicion.died(state.suspicions, engine_id, now)
        self.uplink.accuse(engine_id)
        state.metrics.beliefs.labels("engine-dead").inc()
        state.sink.write(
            "stalls", "engine-dead", True, address=address, engine_id=engine_id, why=why
        )


def _is_fresh(look, now):
    limit_s = DEAD_AGE_S if look.report is None else ALIVE_AGE_S
    return now - look.asked_s < limit_s
