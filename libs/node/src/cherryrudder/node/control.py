"""The control process: heartbeats, the configuration's log, and the layers."""

import anyio

from cherryrudder.platform.settings import NodeSettings

from . import adminapi, httpserver, seatkeeper
from .adminapi import AdminContext
from .controlapi import ControlApi
from .controlgossip import ControlGossip
from .controlstate import ControlState
from .httpserver import HttpServer
from .layerkeeper import LayerKeeper
from .linesink import LineSink
from .metrics import Metrics

# How long a process that is to stop waits for its leadership to be taken over and for
# the calls that it has begun; the platform gives eight seconds.
HAND_OVER_S = 0.3
LAST_CALLS_S = 2.0


async def run(
    settings: NodeSettings, sink: LineSink, metrics: Metrics, leaving: anyio.Event
) -> None:
    """Serve as a control VM until `leaving` is set."""
    state = ControlState(settings, sink, metrics)
    async with anyio.create_task_group() as group:
        beats = ControlGossip(state, group)
        beats.start()
        group.start_soon(
            adminapi.serve,
            f"{settings.ip}:{adminapi.PORTS['control']}",
            AdminContext(
                metrics, state.crashes, beats.publish_crashes, beats.rates.told
            ),
        )
        group.start_soon(seatkeeper.run, state, beats.on_applied)
        group.start_soon(LayerKeeper(state, beats, group).run)
        server = HttpServer(ControlApi(state, beats).handle)
        group.start_soon(httpserver.serve, server, settings.control_address)
        await leaving.wait()
        await _stop(state, server)
        group.cancel_scope.cancel()


async def _stop(state, server):
    server.is_closing = True
    seatkeeper.hand_over(state)
    await anyio.sleep(HAND_OVER_S)
    with anyio.move_on_after(LAST_CALLS_S):
        while server.busy():
            await anyio.sleep(0.02)
    state.stopping.set()
