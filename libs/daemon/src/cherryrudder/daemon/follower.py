"""Follows the configuration and the endpoints by long polls on several control VMs."""

from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import urlencode

import anyio
from loguru import logger

from cherryrudder.membership import config as followed, reader as endpoints
from cherryrudder.membership.config import ApplyResult
from cherryrudder.membership.rendezvous import rank
from cherryrudder.membership.subset import table_addresses
from cherryrudder.membership.table import TableDelta
from cherryrudder.model.revisions import ConfigDelta
from cherryrudder.wire.errors import WireError

from .clock import now_s

# An entry tells a silent control VM by three missed answers (see membership.reader).
TABLE_POLL_S = 1.0
# Without the table an answer is only needed on a change.
CONFIG_POLL_S = 10.0
# A poll that has not come back this long after its due time is taken for lost.
GRACE_S = 2.0
RETRY_S = 0.2
# Without the table: one control VM may be frozen and another restarting at once.
CONFIG_SOURCES = 3

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
        addresses = self.process.settings.control.addresses
        if self.with_table:
            sources = table_addresses(addresses)
        else:
            # Each follower has its own order, or three control VMs would carry all.
            vm = self.process.settings.process.vm
            sources = rank(list(addresses), vm)[:CONFIG_SOURCES]
        for address in sources:
            self.process.group.start_soon(self._follow, address)

    def is_ready(self) -> bool:
        """Tell whether a fresh configuration has been read since the start."""
        return self.ready.is_set()

    def endpoints(self):
        """Return the announcements of the endpoints that count as live now."""
        return endpoints.endpoints(self.reader, now_s())

    def saw_link(self, endpoint: str, incarnation: str) -> None:
        """Note that an endpoint was heard directly, whatever the control VMs say."""
        endpoints.record_link_seen(self.reader, endpoint, incarnation, now_s())

    def lost_link(self, endpoint: str) -> None:
        """Note that the link to an endpoint broke; its lease alone counts now."""
        endpoints.record_link_lost(self.reader, endpoint)

    async def _follow(self, address):
        # The first answer must be confirmed by a majority after it was asked for:
        # otherwise a process that restarts 500 changes behind could be ready with an
        # old configuration that an isolated control VM still holds.
        fresh = True
        while True:
            try:
                answer = await self._ask(address, fresh)
            except WireError as error:
                log.debug("No news from {}: {}.", address, error)
                await anyio.sleep(RETRY_S)
                continue
            self._take(address, answer, fresh)
            fresh = False

    async def _ask(self, address, fresh):
        poll_s = TABLE_POLL_S if self.with_table else CONFIG_POLL_S
        epoch, version = endpoints.position(self.reader, address)
        query = {
            "revision": self.config.revision,
            "epoch": epoch,
            "version": version,
            "wait_s": poll_s,
            "fresh": int(fresh),
            "table": int(self.with_table),
        }
        url = f"http://{address}/v1/watch?{urlencode(query)}"
        timeout_s = poll_s + GRACE_S
        return await self.process.client.call(
            "GET", url, None, WatchAnswer, timeout_s=timeout_s
        )

    def _take(self, address, answer, fresh):
        changed = followed.apply_delta(self.config, answer.config) == ApplyResult.TAKEN
        if answer.table is not None:
            endpoints.merge(self.reader, address, answer.table, now_s())
            changed = True
        confirmed_revision = answer.config.revision if fresh else None
        if followed.is_ready(self.config, confirmed_revision):
            self.ready.set()
        if changed:
            self.on_change()
