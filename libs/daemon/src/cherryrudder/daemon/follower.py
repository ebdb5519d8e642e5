"""Follows the configuration and the endpoints by long polls on several control VMs."""

from collections.abc import Callable
from typing import NamedTuple

import anyio
from loguru import logger

from cherryrudder.membership import config as followed
from cherryrudder.membership import reader as endpoints
from cherryrudder.membership.table import TableDelta
from cherryrudder.state.deltas import ConfigDelta
from cherryrudder.wire.errors import WireError

from .clock import now_s

POLL_S = 10.0
# A poll that has not come back this long after its due time is taken for lost.
GRACE_S = 2.0
RETRY_S = 0.2
# Three sources: one control VM may be frozen and another restarting at once.
SOURCES = 3

log = logger.bind(part="follow")


class WatchAnswer(NamedTuple):
    """What a control VM answers to a watch."""

    config: ConfigDelta
    table: TableDelta | None = None


class Follower:
    """The newest configuration and endpoints that this process has seen."""

    def __init__(self, process, on_change: Callable[[], None], with_table=True):
        self.process = process
        self.config = followed.Config()
        self.reader = endpoints.Reader()
        self.on_change = on_change
        self.with_table = with_table
        self.ready = anyio.Event()

    def start(self) -> None:
        """Start one task per control VM that is followed."""
        for address in self.process.settings.control.addresses[:SOURCES]:
            self.process.group.start_soon(self._follow, address)

    def is_ready(self) -> bool:
        """Tell whether a fresh configuration has been read since the start."""
        return self.ready.is_set()

    async def _follow(self, address):
        # The first answer must be confirmed by a majority after it was asked for:
        # otherwise a process that restarts 500 changes behind could be ready with an
        # old configuration that an isolated control VM still holds.
        fresh = True
        revision = 0
        epoch, version = "", 0
        while True:
            url = (
                f"http://{address}/v1/watch?revision={revision}&epoch={epoch}"
                f"&version={version}&wait_s={POLL_S}&fresh={int(fresh)}"
                f"&table={int(self.with_table)}"
            )
            try:
                answer = await self.process.client.call(
                    "GET", url, None, WatchAnswer, timeout_s=POLL_S + GRACE_S
                )
            except WireError as error:
                log.debug("No news from {}: {}.", address, error)
                await anyio.sleep(RETRY_S)
                continue
            fresh = False
            revision = answer.config.revision
            if answer.table is not None:
                epoch, version = answer.table.epoch, answer.table.version
            self._take(address, answer)

    def _take(self, address, answer):
        followed.take(self.config, answer.config)
        if answer.table is not None:
            endpoints.merge(self.reader, address, answer.table, now_s())
        self.ready.set()
        self.on_change()
