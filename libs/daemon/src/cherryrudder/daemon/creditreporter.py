"""The entry's side of credits: reports running and wanted requests to endpoints."""

import math

import anyio

from cherryrudder.policy.admissionview import queued_by_model

from .fleet import FleetView, queue_name
from .framemessages import CreditReport

# A sidecar drops an entry after a second without a report; four reports fit into it.
REPORT_INTERVAL_S = 0.25
# A request without a credit triggers a report at once; a burst shares one report.
MIN_REPORT_INTERVAL_S = 0.02
# Above 1, since endpoints have unequal room: each is asked for more than an equal part
# of the queued requests.
WANTED_FACTOR = 1.5


class CreditReporter:
    """Sends the credit reports of one entry."""

    def __init__(self, process, fleet: FleetView, links, door):
        self.process = process
        self.fleet = fleet
        self.links = links
        self.requests = door
        self._wake = anyio.Event()

    def start(self) -> None:
        """Start reporting."""
        self.process.group.start_soon(self._run)

    def report_soon(self) -> None:
        """Send the next report early, because a request has found no credit."""
        self._wake.set()

    async def _run(self):
        while True:
            self._wake = anyio.Event()
            self._report()
            await anyio.sleep(MIN_REPORT_INTERVAL_S)
            with anyio.move_on_after(REPORT_INTERVAL_S - MIN_REPORT_INTERVAL_S):
                await self._wake.wait()

    def _report(self):
        waiting = queued_by_model(self.requests.admission)
        entry = self.process.settings.listen.frames
        for announcement, running, peers in self.fleet.members():
            queued = waiting[queue_name(announcement)]
            wanted = math.ceil(WANTED_FACTOR * queued / max(1, peers))
            # One credit more than running requests lets the next one start without a
            # round trip.
            report = CreditReport(
                entry, announcement.endpoint, running, wanted + (running > 0)
            )
            self.links.send(announcement.frames_address, report)
