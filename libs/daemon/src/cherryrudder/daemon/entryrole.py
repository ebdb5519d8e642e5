"""The entry role: callers' connections, admission, placement and streams."""

from functools import partial

import anyio
from loguru import logger

from cherryrudder.model.endpoints import Announcement, Kind
from cherryrudder.model.outcomes import Refusal
from cherryrudder.policy import dispatch

from . import gauges
from .announcer import Announcer
from .callers import by_key, with_outcome
from .clock import now_s
from .completions import Completions
from .controlcalls import Controls
from .creditline import CreditLine
from .dataplane import DataPlane
from .fleet import FleetView
from .follower import Follower
from .frontdoor import FrontDoor
from .process import Process, dump_routes, probe_routes
from .services import Services
from .sharing import Sharing

# How often endpoints whose lease ran out at a silent control VM are looked for.
REFRESH_S = 0.5
DRAIN_CHECK_S = 0.05
# A caller that is refused by an entry which is leaving reaches another one at once.
CLOSED_RETRY_S = 1.0

log = logger.bind(part="entry")


class Entry:
    """One entry VM's process."""

    def __init__(self, process: Process):
        self.process = process
        self.contracts = {}
        self.is_closed = True
        self.fleet = FleetView(process)
        self.controls = Controls(process)
        self.door = FrontDoor(process, self.fleet, self.ask_credits, self.lose_stage)
        self.plane = DataPlane(process, self.take_grant, self.lose_link)
        self.credits = CreditLine(process, self.fleet, self.plane.links, self.door)
        self.follower = Follower(process, self.on_change)
        self.completions = Completions(self)
        self.services = Services(self)
        announcement = first_announcement(process)
        self.sharing = Sharing(self, announcement.endpoint)
        self.announcer = Announcer(
            process,
            announcement,
            process.settings.sidecar.announce_s,
            process.settings.sidecar.lease_s,
        )

    def on_change(self) -> None:
        """Put what the follower has seen in force."""
        contracts = [c.contract for c in self.follower.config.contracts.values()]
        self.contracts = by_key(contracts)
        self.sharing.see_contracts(contracts)
        self.refresh()

    def refresh(self) -> None:
        """Take the endpoints that are live now."""
        stops = [held.stop for held in self.follower.config.stops.values()]
        announcements = self.follower.endpoints()
        self.fleet.update(announcements, stops)
        entries = [a for a in announcements if a.kind == Kind.ENTRY]
        self.sharing.see_entries(entries, now_s())
        self.sharing.put_in_force(now_s())
        self.door.advance()

    def ask_credits(self) -> None:
        """Ask for more credits: a request waits for some."""
        self.credits.kick()

    def lose_link(self, frames_address: str) -> None:
        """Send nothing to an endpoint whose link broke until it is heard again."""
        for announcement, _, _ in self.fleet.members():
            if announcement.frames_address == frames_address:
                self.follower.lost_link(announcement.endpoint)
                self.fleet.cut_off(announcement.endpoint)

    def lose_stage(self, request_id: str, endpoint: str) -> None:
        """Go on elsewhere with a request that an endpoint is silent on."""
        self.plane.lose(request_id, endpoint)

    def take_grant(self, grant) -> None:
        """Take in an endpoint's credits, and start what they make room for."""
        self.fleet.take_grant(grant)
        # Sidecars cut off from the control VMs but not from here go on serving.
        self.follower.saw_link(grant.endpoint, grant.incarnation)
        self.door.advance()

    def is_ready(self) -> bool:
        """Tell whether the balancer may send callers here."""
        return not self.is_closed and not self.process.leaving.is_set()

    def in_flight(self) -> int:
        """Return the number of requests that have not ended."""
        return self.completions.in_flight + self.services.in_flight

    def closed_refusal(self) -> Refusal:
        """Return the answer of an entry that takes no requests."""
        message = "this entry takes no requests now; another one does"
        return Refusal(503, "entry-closed", message, CLOSED_RETRY_S)


def first_announcement(process: Process) -> Announcement:
    """Return the announcement by which entries know of one another."""
    return Announcement(
        endpoint=f"entry/{process.settings.listen.internal}",
        kind=Kind.ENTRY,
        incarnation=process.incarnation,
        sequence=0,
        place=process.settings.place,
        address=process.settings.listen.internal,
        frames_address=process.settings.listen.frames,
    )


async def run(process: Process) -> None:
    """Serve callers until a graceful shutdown."""
    entry = Entry(process)
    listen = process.settings.listen
    count = partial(gauges.counted, process.metrics)
    routes = {
        ("POST", "/v1/completions"): count(with_outcome(entry.completions.handle)),
        ("*", "/services/"): count(with_outcome(entry.services.handle)),
    }
    max_body_bytes = process.settings.entry.max_body_bytes
    process.listen(
        listen.caller,
        routes | probe_routes(entry.is_ready),
        max_body_bytes=max_body_bytes,
    )
    internal = entry.sharing.routes()
    internal |= dump_routes(process, lambda: dump(entry)) | probe_routes(entry.is_ready)
    process.listen(listen.internal, internal, process.internal_key)
    gauges.start(process, lambda: gauges.entry_gauges(entry))
    entry.plane.start()
    entry.door.start()
    entry.credits.start()
    entry.follower.start()
    process.group.start_soon(refresh_often, entry)
    await entry.follower.ready.wait()
    entry.announcer.start()
    entry.sharing.start()
    # Other entries may still use what this one's earlier run has lent them.
    while not entry.sharing.is_ready(now_s()):
        await anyio.sleep(DRAIN_CHECK_S)
    entry.is_closed = False
    log.info("Ready at revision {}.", entry.follower.config.revision)
    await process.leaving.wait()
    await leave(entry)
    process.stop()


async def refresh_often(entry: Entry) -> None:
    """Look for endpoints that left without a message."""
    while True:
        await anyio.sleep(REFRESH_S)
        entry.refresh()
        for endpoint in entry.fleet.leaving():
            entry.plane.relieve(endpoint)


async def leave(entry: Entry) -> None:
    """Let the balancer turn away, then finish what is in flight."""
    entry.announcer.change(leaving=True)
    settings = entry.process.settings
    # The balancer sends here until its next probe fails; these callers are served.
    await anyio.sleep(settings.entry.drain_s)
    entry.is_closed = True
    with anyio.move_on_after(settings.process.stop_wait_s) as scope:
        while entry.in_flight():
            await anyio.sleep(DRAIN_CHECK_S)
    if scope.cancelled_caught:
        log.error("Stopped with {} in flight.", entry.in_flight())


def dump(entry: Entry) -> dict:
    """Return what the entry knows."""
    return {
        "ready": entry.is_ready(),
        "revision": entry.follower.config.revision,
        "contracts": sorted(entry.follower.config.contracts),
        "in_flight": entry.in_flight(),
        "pipelines": entry.plane.dump(),
        "sharing": entry.sharing.dump(),
        **dispatch.dump(entry.door.dispatcher, now_s()),
    }
