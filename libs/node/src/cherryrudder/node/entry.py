"""The entry process: serve clients' connections and the platform's readiness checks."""

from functools import partial

import anyio

from cherryrudder.platform import calls
from cherryrudder.platform.settings import NodeSettings
from cherryrudder.relay import pool
from cherryrudder.relay.server import Exchange, Limits
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import authorization, endpoints
from cherryrudder.routing.configuration import DEFAULT_LIMITS

from . import (
    adminapi,
    clientlimits,
    clientlog,
    httpserver,
    overload,
    ratelimiter,
)
from .adminapi import AdminContext
from .clientlog import ClientLog
from .entrystate import EntryState
from .httpserver import HttpServer
from .linesink import LineSink
from .metrics import Metrics
from .request_handler import RequestHandler
from .uplink import Uplink

# The platform checks readiness once a second and stops sending clients after two failed
# checks. Until then new connections still arrive and are served.
OUT_OF_ROTATION_S = 2.6
# Part of the platform's grace period kept for closing connections that have not ended.
CLOSE_MARGIN_S = 0.4
SWEEP_INTERVAL_S = 1.0
OVERLOAD_LOG_INTERVAL_S = 1.0


async def run(
    settings: NodeSettings, sink: LineSink, metrics: Metrics, leaving: anyio.Event
) -> None:
    """Serve clients until `leaving` is set and their requests have ended."""
    state = EntryState(settings, sink, metrics)
    clients = ClientLog(state)
    async with anyio.create_task_group() as group:
        uplink = Uplink(state, group)
        uplink.start()
        handler = RequestHandler(state, uplink)
        group.start_soon(handler.supervisor.run)
        server = HttpServer(handler.handle, clientlimits.for_clients(settings))
        server.limits = partial(_limits, state)
        server.on_refused = clients.record_refused
        server.refuses = _make_overload_check(state, server, group)
        group.start_soon(httpserver.serve, server, settings.client_address)
        group.start_soon(_answer_readiness, state, leaving)
        group.start_soon(
            adminapi.serve,
            f"{settings.ip}:{adminapi.PORTS['entry']}",
            clientlimits.for_probes(settings),
            AdminContext(
                metrics,
                state.crashes,
                uplink.publish_crashes,
                partial(ratelimiter.dump, state.rates),
                clientlog.watch(clients, server.shares),
            ),
        )
        group.start_soon(_sweep, state, handler)
        await leaving.wait()
        await _stop(handler, server, settings.bounds.grace_s)
        group.cancel_scope.cancel()


def _limits(state):
    """Return the limits of the configuration; others may be in force if it is old."""
    if state.table is None:
        return Limits(*DEFAULT_LIMITS, authorization.FIRST_CONFIGURATION_S)
    age_s = now_s() - state.confirmed_s
    is_certain = authorization.is_certain(age_s, state.settings.bounds.revoke_s)
    retry_after_s = None if is_certain else authorization.RECONNECT_S
    return Limits(*state.table.configuration.limits, retry_after_s)


def _make_overload_check(state, server, group):
    """Return the check whether to close a new connection; it watches the event loop."""
    lateness, most = overload.LoopLateness(), server.shares.max_connections
    logged_s = float("-inf")
    group.start_soon(overload.watch, lateness)

    def refuses():
        nonlocal logged_s
        count = len(server.shares.holdings)
        # Others are dropped for a new connection only if there is time to serve it.
        if not overload.is_overloaded(lateness, 0, most) and server.has_place():
            return False
        state.metrics.unread.inc()
        if now_s() - logged_s > OVERLOAD_LOG_INTERVAL_S:
            logged_s = now_s()
            late_checks = lateness.late_checks
            state.sink.write(
                "clients", "unread", True, connections=count, late_checks=late_checks
            )
        return True

    return refuses


async def _answer_readiness(state, leaving):
    async def answer(exchange: Exchange):
        path = exchange.request.target.decode("latin-1").partition("?")[0]
        if path != calls.READINESS_PATH:
            await exchange.answer(404, [])
            return
        is_ready = _is_ready(state) and not leaving.is_set()
        await exchange.answer(200 if is_ready else 503, [])

    shares = clientlimits.for_probes(state.settings)
    server = HttpServer(answer, shares, httpserver.PROBE_LIMITS)
    await httpserver.serve(server, state.settings.readiness_address)


def _is_ready(state):
    """Return whether the configuration is confirmed recently enough for new clients."""
    if state.table is None:
        return False
    age_s = now_s() - state.confirmed_s
    return age_s < authorization.READY_SHARE * state.settings.bounds.revoke_s


async def _sweep(state, handler):
    """Close old pooled connections, periodically."""
    while True:
        await anyio.sleep(SWEEP_INTERVAL_S)
        now = now_s()
        live = endpoints.live(state.endpoints.table, now)
        known = {announcement.address for announcement in live}
        pool.close_expired(state.pool, known, now)
        handler.supervisor.stalls.drop_unknown(known)


async def _stop(handler, server, grace_s):
    """Serve until the platform sends no more clients, then until all requests end."""
    server.is_closing = True
    deadline_s = handler.process_ends_s = now_s() + grace_s - CLOSE_MARGIN_S
    await anyio.sleep(min(OUT_OF_ROTATION_S, grace_s / 2))
    handler.is_closed = True
    server.close_idle()
    while server.busy() and now_s() < deadline_s:
        await anyio.sleep(0.02)
