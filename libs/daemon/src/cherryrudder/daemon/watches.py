"""Serves the long polls of entries and sidecars on the configuration and the table.

An isolated control VM must not serve stale state, so it answers only while a majority
has recently confirmed that its log is up to date.
"""

import anyio
from loguru import logger

from cherryrudder.membership import table as soft
from cherryrudder.state import machine

from .clock import now_s
from .errors import NoQuorum, ReplicaError

CONFIRM_INTERVAL_S = 0.5
# Two missed rounds and the duration of one. An isolated VM stops answering within this
# time.
MAX_CONFIRMED_AGE_S = 1.5
FRESH_TIMEOUT_S = 2.0

log = logger.bind(part="watch")


class Watches:
    """Answers the watchers of a control VM."""

    def __init__(self, process, voter, table):
        self.process = process
        self.voter = voter
        self.table = table
        self.count = 0
        self._changed = anyio.Event()
        self._round = anyio.Event()
        self._confirmed_s = -1e9

    def start(self) -> None:
        """Start the confirmation rounds and the tasks that wake watchers."""
        self.process.group.start_soon(self._confirm)
        self.process.group.start_soon(self._follow)
        self.process.group.start_soon(self._leave)

    def confirmed_age_s(self, at_s: float) -> float:
        """Return the time since a majority last confirmed this VM's log."""
        return min(at_s - self._confirmed_s, 1e9)

    def is_fresh(self) -> bool:
        """Return whether a majority recently confirmed this VM's log."""
        return self.confirmed_age_s(now_s()) <= MAX_CONFIRMED_AGE_S

    def wake(self) -> None:
        """Make every watcher check for changes."""
        self._changed.set()
        self._changed = anyio.Event()

    async def watch(self, query: dict, wait_s: float, fresh: bool) -> dict:
        """Return the changes since the watcher's state; raises NoQuorum when stale."""
        revision = int(query.get("revision", 0))
        epoch = query.get("epoch", "")
        version = int(query.get("version", 0))
        with_table = query.get("table", "1") == "1"
        if fresh:
            # A starting process needs an answer at once, even without a change.
            await self.voter.wait_for_read_index(FRESH_TIMEOUT_S)
        else:
            await self._wait_for_change(revision, epoch, version, with_table, wait_s)
        if self.process.leaving.is_set():
            raise NoQuorum("this control VM is leaving")
        if not fresh and not self.is_fresh():
            raise NoQuorum("this control VM cannot confirm its log")
        answer = {"config": machine.delta(self.voter.state, revision), "table": None}
        if with_table:
            answer["table"] = soft.delta_since(self.table, epoch, version)
        return answer

    async def _wait_for_change(self, revision, epoch, version, with_table, wait_s):
        self.count += 1
        try:
            with anyio.move_on_after(wait_s):
                while not self._has_changed(revision, epoch, version, with_table):
                    await self._changed.wait()
        finally:
            self.count -= 1

    def _has_changed(self, revision, epoch, version, with_table):
        if self.process.leaving.is_set() or self.voter.state.revision > revision:
            return True
        if not with_table:
            return False
        return epoch != self.table.epoch or version < self.table.version

    async def _leave(self):
        # Make watchers switch to other control VMs now, not when their polls time out.
        await self.process.leaving.wait()
        self.wake()

    async def _confirm(self):
        while True:
            started_s = now_s()
            try:
                await self.voter.wait_for_read_index(CONFIRM_INTERVAL_S * 2)
            except ReplicaError:
                pass
            else:
                self._confirmed_s = started_s
            await anyio.sleep(CONFIRM_INTERVAL_S)

    async def _follow(self):
        revision = self.voter.state.revision
        while True:
            applied = self.voter.applied_event
            if self.voter.state.revision != revision:
                revision = self.voter.state.revision
                self.wake()
            await applied.wait()
