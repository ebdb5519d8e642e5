"""The entry's side of credits: reports to each endpoint what it runs and wants."""

import math

import anyio

from cherryrudder.policy.admissionview import queued_by_model

from .fleet import FleetView, queue_name
from .framemessages import CreditReport

# A sidecar forgets an entry that is silent for a second; four reports fit.
REPORT_S = 0.25
# A request that finds no credit asks at once, but a burst of them asks together.
KICK_S = 0.02
# Asked for beyond an even part of what waits, since endpoints have unequal room.
ASK_FACTOR = 1.5


class CreditLine:
    """The reports of one entry."""

    def __init__(self, process, fleet: FleetView, links, door):
        self.process = process
        self.fleet = fleet
        self.links = links
        self.door = door
        self._kick = anyio.Event()

    def start(self) -> None:
        """Start reporting."""
        self.process.group.start_soon(self._run)

    def kick(self) -> None:
        """Report soon: a request has found no credit."""
        self._kick.set()

    async def _run(self):
        while True:
            self._kick = anyio.Event()
            self._report()
            await anyio.sleep(KICK_S)
            with anyio.move_on_after(REPORT_S - KICK_S):
                await self._kick.wait()

    def _report(self):
        waiting = queued_by_model(self.door.admission)
        entry = self.process.settings.listen.frames
        for announcement, running, peers in self.fleet.members():
            queued = waiting[queue_name(announcement)]
            wanted = math.ceil(ASK_FACTOR * queued / max(1, peers))
            # One more than runs: the next request then starts without a round trip.
            report = CreditReport(
                entry, announcement.endpoint, running, wanted + (running > 0)
            )
            self.links.send(announcement.frames_address, report)
