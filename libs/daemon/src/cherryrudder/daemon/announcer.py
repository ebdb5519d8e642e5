"""Announces a process to two control VMs under a short lease, and changes at once."""

import anyio
from loguru import logger

from cherryrudder.membership.subset import ControlVm, choose, table_addresses
from cherryrudder.model.endpoints import Announcement
from cherryrudder.wire.errors import WireError

from .clock import now_s
from .controlapi import Announce

# A post that takes longer would renew the lease too late.
POST_TIMEOUT_S = 1.0
# Delay before a control VM that did not answer is used again.
RETRY_S = 5.0

log = logger.bind(part="announce")


class Announcer:
    """Renews one announcement until the process ends."""

    def __init__(self, process, announcement: Announcement, interval_s, lease_s):
        self.process = process
        self.announcement = announcement
        self.interval_s = interval_s
        self.lease_s = lease_s
        self._changed = anyio.Event()
        self._failed: dict[str, float] = {}

    def start(self) -> None:
        """Start renewing the announcement."""
        self.process.group.start_soon(self._renew)

    def change(self, **fields) -> None:
        """Change the announcement and send it at once."""
        self.announcement = self.announcement._replace(**fields)
        self._changed.set()

    async def _renew(self):
        addresses = table_addresses(self.process.settings.control.addresses)
        vms = [ControlVm(address, "") for address in addresses]
        while True:
            self._changed = anyio.Event()
            # A higher sequence number wins, so that a delayed renewal cannot revert the
            # announcement that the endpoint is leaving.
            self.announcement = self.announcement._replace(
                sequence=self.announcement.sequence + 1
            )
            failing = [
                a for a, at_s in self._failed.items() if at_s > now_s() - RETRY_S
            ]
            for address in choose(vms, "", self.announcement.endpoint, failing):
                self.process.group.start_soon(self._post, address, self.announcement)
            with anyio.move_on_after(self.interval_s):
                await self._changed.wait()

    async def _post(self, address, announcement):
        url = f"http://{address}/v1/announce"
        value = Announce(announcement, self.lease_s)
        try:
            await self.process.client.call("POST", url, value, timeout_s=POST_TIMEOUT_S)
            self._failed.pop(address, None)
        except WireError as error:
            log.debug("Announcement to {} failed: {}.", address, error)
            self._failed[address] = now_s()
