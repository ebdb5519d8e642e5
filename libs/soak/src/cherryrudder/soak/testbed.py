"""The deployment under test: real processes and stand-in engines behind proxies."""

import random
import shutil
import signal
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from cherryrudder.standin import requests
from cherryrudder.standin.deployment import CLIENT_PORT, Deployment, Node
from cherryrudder.standin.engine import Engine

from . import crowding
from .callers import Caller
from .guarantees import Answer
from .proxy import Proxy
from .retrybudget import RetryBound

MODEL_ENGINES = 6
PLAIN_ENGINES = 2
CALLERS_PER_ENTRY = 3
EVENTS = 20
# Little enough for some seconds of failing engines to use it up.
RETRY_BOUND = RetryBound(ratio=0.2, slack=30.0, window_s=10.0)
# Share of the runs in which engines crash anywhere in an answer, not at its start.
DRAWN_PLACES_SHARE = 0.5
# Last part of the first loopback address of the entries' proxies; engines use lower
# ones.
FIRST_PROXY_HOST = 230


class Testbed:
    """The processes, engines, proxies and callers that faults are injected into."""

    def __init__(self, folder: str, seed: int, group: TaskGroup):
        self.rng = random.Random(f"field-{seed}")
        self.group = group
        bounds = {
            "retry_budget_ratio": RETRY_BOUND.ratio,
            "retry_budget_slack": RETRY_BOUND.slack,
            "budget_window_s": RETRY_BOUND.window_s,
        }
        self.deployment = Deployment(
            folder, requests.LAYERS, bounds=bounds, limits=crowding.LIMITS
        )
        self.deployment.group = group
        places = random.Random(f"places-{seed}")
        if places.random() < DRAWN_PLACES_SHARE:
            self.deployment.fleet.draw_place = lambda: places.randrange(EVENTS)
        self.engines: list[Engine] = []
        self.engine_proxies: dict[str, Proxy] = {}
        self.caller_proxies: dict[str, Proxy] = {}
        self.callers: list[Caller] = []
        # Answers outside the running callers: to probes and to crashing requests.
        self.extra_answers: list[Answer] = []
        # Answers to each request that crashes engines, by its body.
        self.crashing: dict[bytes, list[Answer]] = {}
        # Answers to the requests with each part that crashes engines.
        self.crashing_parts: dict[str, list[Answer]] = {}
        # Requests of clients that don't behave.
        self.crowd_ids: set[str] = set()
        self._engine_count = 0

    async def start(self) -> None:
        """Start all processes, engines, proxies and callers."""
        for node in self.deployment.nodes:
            self.deployment.start(node, "control", True)
            self.deployment.start(node, "entry", True)
        for _ in range(MODEL_ENGINES):
            await self.add_engine("llm", "l4")
        for _ in range(PLAIN_ENGINES):
            await self.add_engine("desk", "")
        for number, node in enumerate(self.deployment.nodes):
            address = f"{self.deployment.net}.{FIRST_PROXY_HOST + number}:{CLIENT_PORT}"
            proxy = Proxy(address, node.at(CLIENT_PORT))
            await proxy.serve(self.group)
            self.caller_proxies[node.name] = proxy
            self.callers += [
                Caller(node.name, address, EVENTS, random.Random(self.rng.random()))
                for _ in range(CALLERS_PER_ENTRY)
            ]

    def new_callers(self) -> list[Caller]:
        """Return one more caller for each entry, beside those that run all the time."""
        return [
            Caller(name, proxy.listen_address, EVENTS, random.Random(self.rng.random()))
            for name, proxy in self.caller_proxies.items()
        ]

    async def add_engine(self, service: str, kind: str) -> Engine:
        """Start one more engine behind a proxy."""
        self._engine_count += 1
        name = f"{service}-{self._engine_count}"
        engine = self.deployment.add_engine(name, service, kind, is_proxied=True)
        proxy = Proxy(engine.address, engine.listen_address)
        await proxy.serve(self.group)
        self.engine_proxies[engine.engine_id] = proxy
        await self.deployment.run_engine(engine)
        self.engines.append(engine)
        return engine

    async def remove_engine(self, engine: Engine) -> None:
        """End an engine without signing it off, unless another fault has done so."""
        if engine not in self.engines:
            return
        self.engines.remove(engine)
        engine.is_removed = True
        engine.die()
        await self.engine_proxies[engine.engine_id].reset()

    async def restart_engine(self, engine: Engine) -> None:
        """End an engine without signing it off, and restart it under its name."""
        engine.die()
        await self.engine_proxies[engine.engine_id].reset()
        await self.deployment.restart_engine(engine)

    def restart(self, node: Node, role: str) -> None:
        """Restart a process that has ended."""
        self.deployment.start(node, role, False)

    def signal(self, node: Node, role: str, number: int) -> None:
        """Send a signal to a process if it is running."""
        process = node.processes.get(role)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    async def end(self, node: Node, role: str, number: int) -> None:
        """Send a process a signal and wait for its end; kill it after 10 s."""
        process = node.processes.pop(role, None)
        if process is None:
            return
        process.send_signal(number)
        with anyio.move_on_after(10.0):
            while process.poll() is None:
                await anyio.sleep(0.02)
        if process.poll() is None:
            process.kill()

    def disk(self, node: Node) -> Path:
        """Return the data folder of a node."""
        return self.deployment.folder / f"{node.name}-disk"

    def wipe(self, node: Node) -> None:
        """Remove a node's data folder."""
        shutil.rmtree(self.disk(node), ignore_errors=True)

    def append_torn_record(self, node: Node) -> None:
        """Append a partial record to the newest log file, as a torn write leaves it."""
        files = [path for path in self.disk(node).rglob("*") if path.is_file()]
        logs = [path for path in files if "log" in path.name]
        if logs:
            newest = max(logs, key=lambda path: path.stat().st_mtime_ns)
            with newest.open("ab") as file:
                file.write(b"\xc3CRQ\x00\x01")

    def unexpected_exits(self) -> list[str]:
        """Return the processes that ended without a fault that caused it."""
        return [
            f"{node.name} {role} ended with {process.returncode}"
            for node in self.deployment.nodes
            for role, process in node.processes.items()
            if process.poll() is not None
        ]

    def stop(self) -> None:
        """End all processes, engines and callers."""
        for node in self.deployment.nodes:
            for process in node.processes.values():
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
        for caller in self.callers:
            caller.close()
        self.deployment.stop()
