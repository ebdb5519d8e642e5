"""The entry role: client connections, admission, placement and streams."""

from functools import partial

import anyio
from loguru import logger

from cherryrudder.model.endpoints import Announcement, Kind
from cherryrudder.model.outcomes import Refusal
from cherryrudder.policy import dispatch

from . import gauges
from .announcer import Announcer
from .callers import contracts_by_key, with_outcome
from .clock import now_s
from .completions import Completions
from .controlclient import ControlClient
from .creditreporter import CreditReporter
from .dataplane import DataPlane
from .fleet import FleetView
from .follower import Follower
from .process import Process, dump_routes, probe_routes
from .requestdispatch import RequestDispatch
from .services import Services
from .sharing import Sharing

# Interval of the check for endpoints whose lease ran out at an unreachable control VM.
REFRESH_INTERVAL_S = 0.5
DRAIN_POLL_S = 0.05
# The balancer routes a caller that a leaving entry refused to another entry at once.
CLOSED_RETRY_S = 1.0

log = logger.bind(part="entry")


class Entry:
    """The process of one entry VM."""

    def __init__(self, process: Process):
        self.process = process
        self.contracts = {}
        self.is_closed = True
        self.fleet = FleetView(process)
        self.controls = ControlClient(process)
        self.requests = RequestDispatch(
            process, self.fleet, self.request_credits, self.handle_stage_stall
        )
        self.plane = DataPlane(process, self.handle_grant, self.handle_link_loss)
        self.credits = CreditReporter(
            process, self.fleet, self.plane.links, self.requests
        )
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
        """Apply the configuration and endpoints that the follower has read."""
        contracts = [c.contract for c in self.follower.config.contracts.values()]
        self.contracts = contracts_by_key(contracts)
        self.sharing.set_contracts(contracts)
        self.refresh()

    def refresh(self) -> None:
        """Update the fleet and the shares from the endpoints that are live now."""
        stops = [held.stop for held in self.follower.config.stops.values()]
        announcements = self.follower.endpoints()
        self.fleet.update(announcements, stops)
        entries = [a for a in announcements if a.kind == Kind.ENTRY]
        self.sharing.set_entries(entries, now_s())
        self.sharing.apply_shares(now_s())
        self.requests.advance()

    def request_credits(self) -> None:
        """Request more credits, because a request waits for one."""
        self.credits.report_soon()

    def handle_link_loss(self, frames_address: str) -> None:
        """Stop sending to an endpoint whose link broke until it sends a message."""
        for announcement, _, _ in self.fleet.members():
            if announcement.frames_address == frames_address:
                self.follower.record_link_lost(announcement.endpoint)
                self.fleet.revoke_credits(announcement.endpoint)

    def handle_stage_stall(self, request_id: str, endpoint: str) -> None:
        """Move a request away from an endpoint that makes no progress on it."""
        self.plane.record_stage_loss(request_id, endpoint)

    def handle_grant(self, grant) -> None:
        """Record an endpoint's credits and start the requests that they allow."""
        self.fleet.record_grant(grant)
        # A sidecar that has lost the control VMs but not this entry stays in use.
        self.follower.record_link_seen(grant.endpoint, grant.incarnation)
        self.requests.advance()

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers to this entry."""
        return not self.is_closed and not self.process.leaving.is_set()

    def in_flight(self) -> int:
        """Return the number of requests that have not ended."""
        return self.completions.in_flight + self.services.in_flight

    def closed_refusal(self) -> Refusal:
        """Return the refusal that a closed entry gives to every request."""
        message = "this entry takes no requests now; another one does"
        return Refusal(503, "entry-closed", message, CLOSED_RETRY_S)


def first_announcement(process: Process) -> Announcement:
    """Return the announcement by which entries discover one another."""
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
    entry_settings = process.settings.entry
    process.listen(
        listen.caller,
        routes | probe_routes(entry.is_ready),
        max_body_bytes=entry_settings.max_body_bytes,
        max_held_bytes=entry_settings.max_held_bytes,
    )
    internal = entry.sharing.routes()
    internal |= dump_routes(process, lambda: dump(entry)) | probe_routes(entry.is_ready)
    process.listen(listen.internal, internal, process.internal_key)
    gauges.start(process, lambda: gauges.entry_gauges(entry))
    entry.plane.start()
    entry.requests.start()
    entry.credits.start()
    entry.follower.start()
    process.group.start_soon(refresh_periodically, entry)
    await entry.follower.ready.wait()
    entry.announcer.start()
    entry.sharing.start()
    # Other entries may still use shares that this entry's previous run granted them.
    while not entry.sharing.is_ready(now_s()):
        await anyio.sleep(DRAIN_POLL_S)
    entry.is_closed = False
    log.info("Ready at revision {}.", entry.follower.config.revision)
    await process.leaving.wait()
    await leave(entry)
    process.stop()


async def refresh_periodically(entry: Entry) -> None:
    """Refresh at an interval, since an expired lease sends no message."""
    while True:
        await anyio.sleep(REFRESH_INTERVAL_S)
        entry.refresh()
        for endpoint in entry.fleet.leaving():
            entry.plane.hand_over(endpoint)


async def leave(entry: Entry) -> None:
    """Wait until the balancer stops sending, then drain what is in flight."""
    entry.announcer.change(leaving=True)
    settings = entry.process.settings
    # The balancer sends requests until its next probe fails; they are still served.
    await anyio.sleep(settings.entry.drain_s)
    entry.is_closed = True
    with anyio.move_on_after(settings.process.stop_wait_s) as scope:
        while entry.in_flight():
            await anyio.sleep(DRAIN_POLL_S)
    if scope.cancelled_caught:
        log.error("Stopped with {} in flight.", entry.in_flight())


def dump(entry: Entry) -> dict:
    """Return the entry's state for the dump."""
    return {
        "ready": entry.is_ready(),
        "revision": entry.follower.config.revision,
        "contracts": sorted(entry.follower.config.contracts),
        "in_flight": entry.in_flight(),
        "pipelines": entry.plane.dump(),
        "sharing": entry.sharing.dump(),
        **dispatch.dump(entry.requests.dispatcher, now_s()),
    }
