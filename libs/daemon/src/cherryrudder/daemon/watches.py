"""Long polls by which entries and sidecars follow the configuration and the table.

An isolated control VM must not serve what others have since changed: an answer is
given only while a majority has lately confirmed that this VM's log is up to date.
"""

import anyio
from loguru import logger

from cherryrudder.membership import table as soft
from cherryrudder.state import machine

from .clock import now_s
from .errors import NoQuorum

CONFIRM_EVERY_S = 0.5
# Two missed rounds and the time of one: an isolated VM stops answering within this.
CONFIRMED_FOR_S = 1.5
FRESH_S = 2.0

log = logger.bind(part="watch")


class Watches:
    """The watchers' side of a control VM."""

    def __init__(self, process, voter, table):
        self.process = process
        self.voter = voter
        self.table = table
        self.count = 0
        self._changed = anyio.Event()
        self._round = anyio.Event()
        self._confirmed_s = -1e9

    def start(self) -> None:
        """Start the rounds of confirmation."""
        self.process.group.start_soon(self._confirm)
        self.process.group.start_soon(self._follow)
        self.process.group.start_soon(self._leave)

    def confirmed_age_s(self, at_s: float) -> float:
        """Return how long ago a majority confirmed this VM's log."""
        return min(at_s - self._confirmed_s, 1e9)

    def is_fresh(self) -> bool:
        """Tell whether a majority confirmed this VM's log lately."""
        return self.confirmed_age_s(now_s()) <= CONFIRMED_FOR_S

    def wake(self) -> None:
        """Let every watcher look for news."""
        self._changed.set()
        self._changed = anyio.Event()

    async def watch(self, query: dict, wait_s: float, fresh: bool) -> dict:
        """Return what is newer than the watcher has; raises NoQuorum when stale."""
        revision = int(query.get("revision", 0))
        epoch = query.get("epoch", "")
        version = int(query.get("version", 0))
        with_table = query.get("table", "1") == "1"
        if fresh:
            # A process that starts waits for this answer: it comes without news too.
            await self.voter.wait_for_read_index(FRESH_S)
        else:
            await self._wait_news(revision, epoch, version, with_table, wait_s)
        if self.process.leaving.is_set():
            raise NoQuorum("this control VM is leaving")
        if not fresh and not self.is_fresh():
            raise NoQuorum("this control VM cannot confirm its log")
        answer = {"config": machine.delta(self.voter.state, revision), "table": None}
        if with_table:
            answer["table"] = soft.delta_since(self.table, epoch, version)
        return answer

    async def _wait_news(self, revision, epoch, version, with_table, wait_s):
        self.count += 1
        try:
            with anyio.move_on_after(wait_s):
                while not self._is_over(revision, epoch, version, with_table):
                    await self._changed.wait()
        finally:
            self.count -= 1

    def _is_over(self, revision, epoch, version, with_table):
        if self.process.leaving.is_set() or self.voter.state.revision > revision:
            return True
        if not with_table:
            return False
        return epoch != self.table.epoch or version < self.table.version

    async def _leave(self):
        # Watchers turn to other control VMs now and not when their polls time out.
        await self.process.leaving.wait()
        self.wake()

    async def _confirm(self):
        while True:
            started_s = now_s()
            try:
                await self.voter.wait_for_read_index(CONFIRM_EVERY_S * 2)
            except NoQuorum:
                pass
            else:
                self._confirmed_s = started_s
            await anyio.sleep(CONFIRM_EVERY_S)

    async def _follow(self):
        revision = self.voter.state.revision
        while True:
            applied = self.voter.applied_event
            if self.voter.state.revision != revision:
                revision = self.voter.state.revision
                self.wake()
            await applied.wait()
