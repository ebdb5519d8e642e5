"""The control process: gossip, the replicated configuration log, and the layers."""

import anyio

from cherryrudder.platform.settings import NodeSettings

from . import adminapi, clientlimits, httpserver, voterrunner
from .adminapi import AdminContext
from .controlapi import ControlApi
from .controlgossip import ControlGossip
from .controlstate import ControlState
from .httpserver import HttpServer
from .layercontroller import LayerController
from .linesink import LineSink
from .metrics import Metrics

# How long a stopping process waits for its leadership to be transferred, and for calls
# in flight to end. The platform allows eight seconds.
TRANSFER_WAIT_S = 0.3
DRAIN_TIMEOUT_S = 2.0


async def run(
    settings: NodeSettings, sink: LineSink, metrics: Metrics, leaving: anyio.Event
) -> None:
    """Serve as a control VM until `leaving` is set."""
    state = ControlState(settings, sink, metrics)
    async with anyio.create_task_group() as group:
        control_gossip = ControlGossip(state, group)
        control_gossip.start()
        group.start_soon(
            adminapi.serve,
            f"{settings.ip}:{adminapi.PORTS['control']}",
            clientlimits.for_probes(settings),
            AdminContext(
                metrics,
                state.crashes,
                control_gossip.publish_crashes,
                control_gossip.rates.report_limits,
            ),
        )
        group.start_soon(voterrunner.run, state, control_gossip.on_applied)
        group.start_soon(LayerController(state, control_gossip, group).run)
        server = HttpServer(
            ControlApi(state, control_gossip).handle, clientlimits.for_calls(settings)
        )
        group.start_soon(httpserver.serve, server, settings.control_address)
        await leaving.wait()
        await _stop(state, server)
        group.cancel_scope.cancel()


async def _stop(state, server):
    server.is_closing = True
    voterrunner.transfer_leadership(state)
    await anyio.sleep(TRANSFER_WAIT_S)
    with anyio.move_on_after(DRAIN_TIMEOUT_S):
        while server.busy():
            await anyio.sleep(0.02)
    state.stopping.set()
