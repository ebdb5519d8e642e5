"""Shared parts of all roles: keys, listeners, signals, dump and probes."""

import os
import signal
from collections.abc import Callable
from pathlib import Path

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from cherryrudder.model.settings import Settings
from cherryrudder.wire.asgi import Reply, Routes, json_reply, make_app
from cherryrudder.wire.client import Client
from cherryrudder.wire.metrics import open_metrics
from cherryrudder.wire.server import serve

from .clock import new_incarnation
from .errors import StartError

log = logger.bind(part="process")


class Process:
    """A running daemon: its settings, keys, connections and task group."""

    def __init__(self, settings: Settings, group: TaskGroup):
        self.settings = settings
        self.group = group
        self.incarnation = new_incarnation()
        self.internal_key = read_key(settings.keys.internal_file)
        self.operator_key = read_key(settings.keys.operator_file)
        self.client = Client(self.internal_key)
        self.metrics = open_metrics(settings.statsd, settings.process.role)
        # Set by SIGTERM or SIGINT: accept no new work, finish what is in flight.
        self.leaving = anyio.Event()
        # Set after the drain: the listeners close and the process ends.
        self.stopping = anyio.Event()
        self._listening = 0

    def listen(self, address: str, routes: Routes, key: str = "", **options) -> None:
        """Serve routes at an address until the process stops."""
        app = make_app(routes, key, is_closing=self.leaving.is_set, **options)

        async def run():
            try:
                await serve(app, address, self.stopping)
            except OSError as error:
                raise StartError(f"cannot listen at {address}: {error}") from error
            # The last listener to close ends the process. Ending it earlier would
            # truncate answers that are still being written.
            self._listening -= 1
            if not self._listening:
                self.group.cancel_scope.cancel()

        self._listening += 1
        self.group.start_soon(run)

    def watch_signals(self) -> None:
        """Turn SIGTERM and SIGINT into a graceful shutdown."""
        self.group.start_soon(self._signals)

    async def _signals(self):
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                log.info("Got {}, leaving.", signal.Signals(number).name)
                self.leaving.set()

    def stop(self) -> None:
        """Close the listeners; the process ends when the last one is closed."""
        self.stopping.set()


def read_key(path: str) -> str:
    """Return the key in a file; raises StartError."""
    try:
        key = Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise StartError(f"key file {path}: {error}") from error
    if not key:
        raise StartError(f"key file {path} is empty")
    return key


def probe_routes(is_ready: Callable[[], bool]) -> Routes:
    """Return the routes of the balancer's health probes."""

    async def livez(request):
        return Reply(200, b'{"live": true}')

    async def readyz(request):
        ready = is_ready()
        return json_reply({"ready": ready}, 200 if ready else 503)

    return {("GET", "/livez"): livez, ("GET", "/readyz"): readyz}


def dump_routes(process: Process, dump: Callable[[], dict]) -> Routes:
    """Return the route that shows the current state of the process."""

    async def show(request):
        place = process.settings.place
        head = {
            "role": process.settings.process.role,
            "incarnation": process.incarnation,
            "pid": os.getpid(),
            "place": place._asdict(),
            "leaving": process.leaving.is_set(),
        }
        return json_reply(head | dump())

    return {("GET", "/v1/dump"): show}
