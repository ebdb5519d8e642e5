"""Find the engines that hang, and ask for reports where there is no other evidence."""

import functools
from typing import TYPE_CHECKING

from anyio.abc import TaskGroup

from cherryrudder.replica.clock import now_s
from cherryrudder.routing import hangs

from . import enginecalls, entrystate
from .errors import EngineCallFailed

if TYPE_CHECKING:
    from .entrystate import EntryState

# Time limit and number of the reports that are asked for at once, of engines that may
# hang and of those without requests.
ASK_TIMEOUT_S = 0.12
MAX_ASKED = 3


class HungEngines:
    """The engines that hang as one entry sees them."""

    def __init__(self, state: "EntryState"):
        self.state = state
        # Runs the calls to engines.
        self.group: TaskGroup | None = None
        # Engines that are being asked for a report.
        self._asked: set[str] = set()

    def find(self, now: float) -> set[str]:
        """Return the engines that hang, and log the newly found ones."""
        state = self.state
        alternatives = functools.partial(self._find_alternatives, now, {})
        has_answered = functools.partial(self._has_answered_since, now)
        found = hangs.find_hanging(state.hangs, now, alternatives, has_answered)
        for engine_id in found:
            state.metrics.beliefs.labels("engine-hung").inc()
            state.sink.write(
                "streams",
                "engine-hung",
                True,
                engine_id=engine_id,
                is_witnessed=state.hangs.ejections[engine_id].trial_until_s <= now,
                silent=sorted(state.hangs.waiting),
            )
        return {e for e in state.hangs.waiting if hangs.is_ejected(state.hangs, e, now)}

    def record_answer(self, engine_id: str, asked_s: float) -> None:
        """Record that an engine has answered a report that was asked at a time."""
        hangs.record_report(self.state.hangs, engine_id, asked_s, now_s())

    def _find_alternatives(self, now, found, engine_id):
        """Return the other first engines of a service; `found` keeps them."""
        entry = self.state.endpoints.table.entries.get(engine_id)
        if entry is None:
            return set()
        service = entry.announcement.service
        if service not in found:
            firsts = entrystate.first_engines(self.state, service, now)
            found[service] = {one.engine_id for one in firsts}
        return found[service] - {engine_id}

    def _has_answered_since(self, now, engine_ids, since_s):
        """Return whether an engine has answered a report asked since; else ask them."""
        for engine_id in engine_ids:
            if hangs.has_answered_since(self.state.hangs, engine_id, since_s, now):
                return True
        for engine_id in sorted(engine_ids - self._asked):
            if self.group is not None and len(self._asked) < MAX_ASKED:
                self._asked.add(engine_id)
                self.group.start_soon(self._ask, engine_id)
        return False

    async def _ask(self, engine_id):
        entry, asked_s = self.state.endpoints.table.entries.get(engine_id), now_s()
        try:
            if entry is not None:
                address, pool = entry.announcement.address, self.state.pool
                await enginecalls.get_report(address, ASK_TIMEOUT_S, pool)
                self.record_answer(engine_id, asked_s)
        except EngineCallFailed:
            # Its silence is no evidence by itself.
            pass
        finally:
            self._asked.discard(engine_id)
