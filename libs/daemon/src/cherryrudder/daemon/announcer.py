"""Keeps a process announced: to two control VMs, with a short lease, at once on news."""

import anyio
from loguru import logger

from cherryrudder.membership.subset import choose_controls
from cherryrudder.model.endpoints import Announcement
from cherryrudder.wire.errors import WireError

from .controlapi import Announce

# A post that takes longer has failed as far as the lease is concerned.
POST_S = 1.0

log = logger.bind(part="announce")


class Announcer:
    """Renews one announcement until the process ends."""

    def __init__(self, process, announcement: Announcement, every_s, lease_s):
        self.process = process
        self.announcement = announcement
        self.every_s = every_s
        self.lease_s = lease_s
        self._news = anyio.Event()

    def start(self) -> None:
        """Start one task per control VM that is announced to."""
        controls = choose_controls(
            self.process.settings.control.addresses, self.announcement.endpoint
        )
        for address in controls:
            self.process.group.start_soon(self._renew, address)

    def change(self, **fields) -> None:
        """Change the announcement and send it at once."""
        self.announcement = self.announcement._replace(**fields)
        self._news.set()
        self._news = anyio.Event()

    def leave(self) -> None:
        """Announce that the endpoint takes no new work."""
        self.change(leaving=True)

    async def _renew(self, address):
        url = f"http://{address}/v1/announce"
        while True:
            news = self._news
            # A later sequence wins, so that a renewal which was delayed on its way
            # cannot undo the announcement that the endpoint is leaving.
            self.announcement = self.announcement._replace(
                sequence=self.announcement.sequence + 1
            )
            value = Announce(self.announcement, self.lease_s)
            try:
                await self.process.client.call("POST", url, value, timeout_s=POST_S)
            except WireError as error:
                log.debug("No announcement to {}: {}.", address, error)
            with anyio.move_on_after(self.every_s):
                await news.wait()
