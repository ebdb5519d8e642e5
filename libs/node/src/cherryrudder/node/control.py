"""The control process: heartbeats, the configuration's log, and the layers."""

import anyio

from cherryrudder.platform.settings import NodeSettings

from . import httpserver, surface, voterrunner
from .controlapi import ControlApi
from .controlbeats import ControlBeats
from .controlstate import ControlState
from .httpserver import HttpServer
from .layercontroller import LayerController
from .linesink import LineSink
from .metrics import Metrics
from .surface import Shown

# How long a process that is to stop waits for its leadership to be taken over and for
# the calls that it has begun; the platform gives eight seconds.
HANDOVER_WAIT_S = 0.3
DRAIN_TIMEOUT_S = 2.0


async def run(
    settings: NodeSettings, sink: LineSink, metrics: Metrics, leaving: anyio.Event
) -> None:
    """Serve as a control VM until `leaving` is set."""
    state = ControlState(settings, sink, metrics)
    async with anyio.create_task_group() as group:
        beats = ControlBeats(state, group)
        beats.start()
        group.start_soon(
            surface.serve,
            f"{settings.ip}:{surface.PORTS['control']}",
            Shown(
                metrics, state.crashes, beats.tell_crashes, beats.rates.report_limits
            ),
        )
        group.start_soon(voterrunner.run, state, beats.on_applied)
        group.start_soon(LayerController(state, beats, group).run)
        server = HttpServer(ControlApi(state, beats).handle)
        group.start_soon(httpserver.serve, server, settings.control_address)
        await leaving.wait()
        await _stop(state, server)
        group.cancel_scope.cancel()


async def _stop(state, server):
    server.is_closing = True
    voterrunner.transfer_leadership(state)
    await anyio.sleep(HANDOVER_WAIT_S)
    with anyio.move_on_after(DRAIN_TIMEOUT_S):
        while server.busy():
            await anyio.sleep(0.02)
    state.stopping.set()
