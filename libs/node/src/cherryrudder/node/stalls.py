"""Finding out why a stream is silent, once for all streams behind one engine."""

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

# A report tells what was some 200 ms ago; asking again sooner brings nothing, and each
# costs the engine work.
REPORT_AGE_S = 0.1
REPORT_S = 0.4

log = logger.bind(part="stalls")


class Look(NamedTuple):
    """A report, or None when the engine gave none, and when it was asked for."""

    report: Report | None
    asked_s: float


class StallDesk:
    """The newest reports of first engines, shared by the streams that asked."""

    def __init__(self, state: EntryState, uplink: Uplink):
        self.state = state
        self.uplink = uplink
        self._looks: dict[str, Look] = {}
        self._locks: dict[str, anyio.Lock] = {}

    async def look(self, address: str) -> Report | None:
        """Return an engine's report, None when it doesn't answer."""
        lock = self._locks.setdefault(address, anyio.Lock())
        async with lock:
            known = self._looks.get(address)
            if known is not None and now_s() - known.asked_s < REPORT_AGE_S:
                return known.report
            asked_s = now_s()
            try:
                report = await enginecalls.get_report(address, REPORT_S)
            except EngineCallFailed as error:
                log.info("No report: {}.", error)
                report = None
            self._looks[address] = Look(report, asked_s)
            return report

    def accuse(self, address: str, why: str) -> None:
        """Take an engine as dead, and tell the other entries."""
        now = now_s()
        engine_id = entrystate.engine_at(self.state, address, now)
        if not engine_id or suspicion.is_resting(self.state.suspicions, engine_id, now):
            return
        suspicion.died(self.state.suspicions, engine_id, now)
        self.uplink.accuse(engine_id)
        self.state.metrics.beliefs.labels("engine-dead").inc()
        self.state.sink.write(
            "stalls", "engine-dead", True, address=address, engine_id=engine_id, why=why
        )
