"""Looking for oneself at an engine that an entry takes for dead.

Failure: links to one data centre lose packets. An entry waits for an engine there, has
no answer in time and tells everybody that it is dead. Each entry does so for another
engine; within three seconds all chains of a deployment are broken, though every engine
lives. So an entry's word counts for itself only. The control VM nearest to the engine
asks it as well, and everybody hears of the death only when both had no answer; else the
entry is told that the engine lives. Between the two there is no link between data
centres, which is what loses packets and is cut.
"""

from loguru import logger

from cherryrudder.replica.clock import now_s
from cherryrudder.routing import endpoints

from . import enginecalls, roster, stalls
from .controlstate import ControlState
from .errors import EngineCallFailed
from .gossip import Accusation, Acquittal, DeathNotice

# A report takes some milliseconds inside a data centre and 15 from a busy engine; a
# lost packet is sent again after 0.2 s.
REPORT_S = 0.1
SECOND_REPORT_S = 0.3

log = logger.bind(part="verification")


class Verifier:
    """The accusations that a control process is looking into."""

    def __init__(self, state: ControlState, links, group):
        self.state = state
        self.links = links
        self.group = group
        # Who waits for the outcome, by the engine's incarnation.
        self._waiting: dict[str, set[str]] = {}

    def hear(self, accusation: Accusation) -> None:
        """Look into an accusation; one look serves all who accuse at that time."""
        engine_id = accusation.engine_id
        senders = self._waiting.get(engine_id)
        if senders is not None:
            senders.add(accusation.sender)
            return
        self._waiting[engine_id] = {accusation.sender}
        self.group.start_soon(self._look, engine_id)

    async def _look(self, engine_id):
        is_alive = await self._is_alive(engine_id)
        senders = self._waiting.pop(engine_id)
        self.state.sink.write(
            "control",
            "accusation",
            True,
            engine_id=engine_id,
            senders=sorted(senders),
            outcome="lives" if is_alive else "dead",
        )
        if is_alive:
            for address in senders:
                self.links.send(address, Acquittal(engine_id))
            return
        self.condemn(engine_id)
        notice = DeathNotice(engine_id)
        now = now_s()
        for address in (
            *roster.present(self.state.roster, now),
            *roster.present(self.state.entries, now),
        ):
            self.links.send(address, notice)

    def condemn(self, engine_id: str) -> None:
        """Take an engine as dead until it is heard again."""
        self.state.accused[engine_id] = now_s()

    async def _is_alive(self, engine_id):
        known = self.state.endpoints.table.entries.get(engine_id)
        if known is None or known.is_gone:
            return False
        address = known.announcement.address
        for timeout_s in (REPORT_S, SECOND_REPORT_S):
            try:
                report = await enginecalls.get_report(address, timeout_s)
            except EngineCallFailed as error:
                log.info("No report: {}.", error)
            else:
                # Another incarnation at the same address would answer as well.
                is_same = stalls.is_of_incarnation(report, known.announcement)
                return is_same and self._is_newest_there(engine_id, address)
        return False

    def _is_newest_there(self, engine_id, address):
        live = endpoints.live(self.state.endpoints.table, now_s())
        there = [a.engine_id for a in live if a.address == address]
        return there == [engine_id]
