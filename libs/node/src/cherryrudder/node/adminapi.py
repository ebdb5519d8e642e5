"""Serve metrics, blocks and limits to scrapers and operators at the metrics address."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec
from loguru import logger

from cherryrudder.relay.server import Exchange
from cherryrudder.replica.clock import now_s
from cherryrudder.wire.clientshares import ClientShares

from . import httpserver
from .crashtracker import CrashTracker
from .gossip import CrashUpdate
from .httpserver import HttpServer
from .metrics import Metrics

# Port by role, at the machine's address.
PORTS = {"entry": 9464, "control": 9465}
METRICS_PATH = "/metrics"
BLOCKS_PATH = "/blocks"
LIFT_PATH = "/blocks/lift/"
LIMITS_PATH = "/limits"
TEXT = [(b"content-type", b"text/plain; version=0.0.4")]
JSON = [(b"content-type", b"application/json")]
UNKNOWN = {"error": {"code": "unknown", "message": "no such block"}}

log = logger.bind(part="surface")


class AdminContext(NamedTuple):
    """The data that a process serves, and the call that publishes lifted blocks."""

    metrics: Metrics
    crashes: CrashTracker
    publish_crashes: Callable[[CrashUpdate], None]
    # Returns the request rates that engines ask for.
    limits: Callable[[float], list]
    # Updates the metrics that hold a present value.
    update: Callable[[], None] = lambda: None


async def serve(address: str, shares: ClientShares, context: AdminContext) -> None:
    """Serve at an address until cancelled."""

    async def answer(exchange: Exchange):
        method = exchange.request.method.decode()
        path = exchange.request.target.decode("latin-1")
        await exchange.answer(*respond(context, method, path, now_s()))

    server = HttpServer(answer, shares, httpserver.PROBE_LIMITS)
    await httpserver.serve(server, address)


def respond(context: AdminContext, method: str, path: str, now_s: float):
    """Return the status, headers and body for one call."""
    if (method, path) == ("GET", METRICS_PATH):
        context.update()
        return 200, TEXT, context.metrics.render()
    if (method, path) == ("GET", BLOCKS_PATH):
        return 200, JSON, msgspec.json.encode(context.crashes.dump(now_s))
    if (method, path) == ("GET", LIMITS_PATH):
        limits = [one._asdict() for one in context.limits(now_s)]
        return 200, JSON, msgspec.json.encode({"limits": limits})
    if method == "POST" and path.startswith(LIFT_PATH):
        fingerprint = path.removeprefix(LIFT_PATH)
        update = context.crashes.lift(fingerprint, now_s)
        if not update.records:
            return 404, JSON, msgspec.json.encode(UNKNOWN)
        context.publish_crashes(update)
        log.info("An operator lifted the block of {}.", fingerprint)
        return 200, JSON, b"{}"
    return 404, [], b""
