"""Keeps a process announced to two control VMs, with a short lease, at once on news."""

import anyio
from loguru import logger

from cherryrudder.membership.subset import ControlVm, choose, table_addresses
from cherryrudder.model.endpoints import Announcement
from cherryrudder.wire.errors import WireError

from .clock import now_s
from .controlapi import Announce

# A post that takes longer has failed as far as the lease is concerned.
POST_S = 1.0
# A control VM that did not answer is tried again after this.
RETRY_S = 5.0

log = logger.bind(part="announce")


class Announcer:
    """Renews one announcement until the process ends."""

    def __init__(self, process, announcement: Announcement, every_s, lease_s):
        self.process = process
        self.announcement = announcement
        self.every_s = every_s
        self.lease_s = lease_s
        self._news = anyio.Event()
        self._failed: dict[str, float] = {}

    def start(self) -> None:
        """Start renewing."""
        self.process.group.start_soon(self._renew)

    def change(self, **fields) -> None:
        """Change the announcement and send it at once."""
        self.announcement = self.announcement._replace(**fields)
        self._news.set()

    async def _renew(self):
        addresses = table_addresses(self.process.settings.control.addresses)
        vms = [ControlVm(address, "") for address in addresses]
        while True:
            self._news = anyio.Event()
            # A later sequence wins, so that a renewal which was delayed on its way
            # cannot undo the announcement that the endpoint is leaving.
            self.announcement = self.announcement._replace(
                sequence=self.announcement.sequence + 1
            )
            failing = [
                a for a, at_s in self._failed.items() if at_s > now_s() - RETRY_S
            ]
            for address in choose(vms, "", self.announcement.endpoint, failing):
                self.process.group.start_soon(self._post, address, self.announcement)
            with anyio.move_on_after(self.every_s):
                await self._news.wait()

    async def _post(self, address, announcement):
        url = f"http://{address}/v1/announce"
        value = Announce(announcement, self.lease_s)
        try:
            await self.process.client.call("POST", url, value, timeout_s=POST_S)
            self._failed.pop(address, None)
        except WireError as error:
            log.debug("No announcement to {}: {}.", address, error)
            self._failed[address] = now_s()
