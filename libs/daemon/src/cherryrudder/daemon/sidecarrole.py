"""The sidecar role: an endpoint's announcement, stage, gate, fence and shutdown."""

import anyio
from loguru import logger

from cherryrudder.model.endpoints import Announcement, Kind, stops_endpoint

from . import enginehost, gauges, servicehost
from .announcer import Announcer
from .clock import now_s
from .follower import Follower
from .process import Process, dump_routes, probe_routes

DRAIN_POLL_S = 0.05

log = logger.bind(part="sidecar")


class Sidecar:
    """The process beside one endpoint."""

    def __init__(self, process: Process):
        self.process = process
        own = process.settings.sidecar
        announcement = first_announcement(process)
        self.announcer = Announcer(process, announcement, own.announce_s, own.lease_s)
        self.follower = Follower(process, self.on_change, with_table=False)
        is_engine = own.kind == Kind.ENGINE
        make_host = enginehost.EngineHost if is_engine else servicehost.ServiceHost
        self.host = make_host(process)

    def on_change(self) -> None:
        """Start or stop leaving, according to planned stops and signals."""
        announcement = self.announcer.announcement
        leaving = self.process.leaving.is_set() or any(
            stops_endpoint(held.stop, announcement)
            for held in self.follower.config.stops.values()
        )
        if leaving != announcement.leaving:
            log.info("{} accepts new work: {}.", announcement.endpoint, not leaving)
            self.host.set_leaving(leaving)
            self.announcer.change(leaving=leaving)


def first_announcement(process: Process) -> Announcement:
    """Return the announcement built from the settings."""
    own = process.settings.sidecar
    return Announcement(
        endpoint=own.endpoint,
        kind=Kind(own.kind),
        incarnation=process.incarnation,
        sequence=0,
        place=process.settings.place,
        address=process.settings.listen.internal,
        frames_address=process.settings.listen.frames,
        service=own.service,
        model=own.model,
        version=own.version,
        accelerator=own.accelerator,
        first_layer=own.first_layer,
        end_layer=own.end_layer,
        model_layers=own.model_layers,
        slots=own.slots,
        tokens_per_s=own.tokens_per_s,
        idempotent_methods=own.idempotent_methods,
        checks_fence=own.checks_fence,
    )


async def run(process: Process) -> None:
    """Serve beside an endpoint until a graceful shutdown."""
    sidecar = Sidecar(process)
    routes = (
        sidecar.host.routes()
        | dump_routes(process, lambda: dump(sidecar))
        | probe_routes(sidecar.follower.is_ready)
    )
    process.listen(process.settings.listen.internal, routes, process.internal_key)
    gauges.start(process, lambda: gauges.sidecar_gauges(sidecar))
    sidecar.host.start()
    sidecar.follower.start()
    # Announce only after the planned stops are known: an endpoint with a planned stop
    # must not return to the table because its process restarted.
    await sidecar.follower.ready.wait()
    sidecar.announcer.start()
    await process.leaving.wait()
    sidecar.on_change()
    await drain(sidecar)
    process.stop()


async def drain(sidecar: Sidecar) -> None:
    """Wait until nothing is in flight, for as long as the settings allow."""
    settings = sidecar.process.settings
    with anyio.move_on_after(settings.process.stop_wait_s) as scope:
        # Entries without the new announcement may still send for one lease time.
        lease_end_s = now_s() + settings.sidecar.lease_s
        while now_s() < lease_end_s or sidecar.host.in_flight():
            await anyio.sleep(DRAIN_POLL_S)
    if scope.cancelled_caught:
        log.error("Stopped with {} in flight.", sidecar.host.in_flight())


def dump(sidecar: Sidecar) -> dict:
    """Return the sidecar's state for the dump."""
    return {
        "announcement": sidecar.announcer.announcement,
        "revision": sidecar.follower.config.revision,
        "in_flight": sidecar.host.in_flight(),
        "host": sidecar.host.dump(),
    }
