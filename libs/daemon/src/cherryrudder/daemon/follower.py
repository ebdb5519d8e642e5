"""Follows the configuration and the endpoints by long polls of several control VMs."""

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

# Three missed answers mark a control VM as unreachable (see membership.reader).
TABLE_POLL_S = 1.0
# Without the table an answer is needed only on a change.
CONFIG_POLL_S = 10.0
# A poll that is this much overdue counts as lost.
POLL_GRACE_S = 2.0
RETRY_S = 0.2
# Used without the table. One control VM may be frozen while another one restarts.
CONFIG_SOURCES = 3

log = logger.bind(part="follow")


class WatchAnswer(NamedTuple):
    """The answer of a control VM to a watch."""

    config: ConfigDelta
    table: TableDelta | None = None


class Follower:
    """Holds the newest configuration and endpoints that this process has received."""

    def __init__(self, process, on_change: Callable[[], None], with_table=True):
        self.process = process
        self.config = followed.Config()
        self.reader = endpoints.Reader()
        self.on_change = on_change
        self.with_table = with_table
        self.ready = anyio.Event()

    def start(self) -> None:
        """Start one polling task for each followed control VM."""
        addresses = self.process.settings.control.addresses
        if self.with_table:
            sources = table_addresses(addresses)
        else:
            # Each VM ranks the control VMs differently, which spreads the load.
            vm = self.process.settings.process.vm
            sources = rank(list(addresses), vm)[:CONFIG_SOURCES]
        for address in sources:
            self.process.group.start_soon(self._follow, address)

    def is_ready(self) -> bool:
        """Return whether a fresh configuration has been read since the start."""
        return self.ready.is_set()

    def endpoints(self):
        """Return the announcements of the endpoints that are considered live now."""
        return endpoints.endpoints(self.reader, now_s())

    def record_link_seen(self, endpoint: str, incarnation: str) -> None:
        """Record a message that an endpoint sent directly to this process."""
        endpoints.record_link_seen(self.reader, endpoint, incarnation, now_s())

    def record_link_lost(self, endpoint: str) -> None:
        """Record that the link to an endpoint broke; only its lease counts now."""
        endpoints.record_link_lost(self.reader, endpoint)

    async def _follow(self, address):
        # The first answer must be confirmed by a majority after the request was sent.
        # Otherwise a process that restarts 500 changes behind could become ready with
        # an old configuration of an isolated control VM.
        fresh = True
        while True:
            try:
                answer = await self._ask(address, fresh)
            except WireError as error:
                log.debug("Poll of {} failed: {}.", address, error)
                await anyio.sleep(RETRY_S)
                continue
            self._apply(address, answer, fresh)
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
        timeout_s = poll_s + POLL_GRACE_S
        return await self.process.client.call(
            "GET", url, None, WatchAnswer, timeout_s=timeout_s
        )

    def _apply(self, address, answer, fresh):
        changed = followed.apply_delta(self.config, answer.config) == ApplyResult.TAKEN
        if answer.table is not None:
            endpoints.merge(self.reader, address, answer.table, now_s())
            changed = True
        confirmed_revision = answer.config.revision if fresh else None
        if followed.is_ready(self.config, confirmed_revision):
            self.ready.set()
        if changed:
            self.on_change()
