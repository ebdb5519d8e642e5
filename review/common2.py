"""Helpers of the cases 4 to 8: real processes of the router, and small stand-ins.

The router's processes are started with the commands of the deploy file, on loopback
addresses. Engines are the project's own stand-ins, or small servers of a case.
"""

import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(path) for path in sorted(ROOT.glob("libs/*/src"))]
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT / "platform" / "src")]

import anyio  # noqa: E402

from cherryrudder.standin.deployment import Deployment  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0
HOST = "h.example"
KEY = "k1"
# Bounds of the small sites, as a process of one finds them in its settings file.
BOUNDS = {
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "revoke_ms": 5000,
    "contact_ms": 3000,
    "retry_budget_ratio": 0.2,
    "retry_budget_slack": 204,
    "budget_window_s": 10,
    "stall_ms": 2500,
}
LIMITS = {"memory_mb": 300, "max_fds": 4100}


class Answer:
    """What a client saw of one answer."""

    def __init__(self):
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        # The answer came to the end that its framing states.
        self.is_complete = False


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, folder: Path):
        self._began_s = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, what: str, **fields) -> None:
        """Add one line."""
        at_s = time.monotonic() - self._began_s
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s:8.3f} {what} {values}\n")
        self._file.flush()


def has_trouble() -> bool:
    """Return whether the case is to be played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder: Path, play) -> int:
    """Play a case in a new deployment of three machines; return the exit code.

    `play` gets the deployment and the record, and returns whether the rule held.
    """
    os.environ["PYTHONPATH"] = str(ROOT / "target" / "deps")
    record = Record(folder)
    # So that a case that is stopped ends the processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    async def run():
        with tempfile.TemporaryDirectory() as path, anyio.fail_after(LIMIT_S):
            deployment = Deployment(path, 8, 3, BOUNDS, LIMITS)
            try:
                async with anyio.create_task_group() as group:
                    deployment.group = group
                    for node in deployment.nodes:
                        deployment.start(node, "control", True)
                        deployment.start(node, "entry", True)
                    held = await play(deployment, record)
                    group.cancel_scope.cancel()
            finally:
                deployment.stop()
            return held

    try:
        held = anyio.run(run)
    except (Exception, KeyboardInterrupt) as error:
        record.write("case could not run", error=repr(error))
        return NOT_RUN
    record.write("result", rule="held" if held else "broken")
    return HELD if held else BROKEN


def route(name: str, prefix: str, kind: str, **changes) -> dict:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 500,
        "priority": 1,
        "max_attempts": 2,
        "allow_anonymous": False,
    } | changes


def configuration(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "t", "api_keys": [KEY], "priority": 1}],
    }


async def configure(deployment: Deployment, document: dict) -> None:
    """Send a configuration until it is acknowledged."""
    path = "/cherryrudder/Config.Replace"
    status, _ = await deployment.call_control("POST", path, document)
    if status != 200:
        raise RuntimeError(f"the configuration was answered with {status}")


async def ask(
    address: str,
    method: str,
    path: str,
    request_id: str,
    body: bytes = b"",
    timeout_s: float = 10.0,
    **headers: str,
) -> Answer:
    """Send a request on a new connection and read its answer to the end.

    A connection that is refused, reset or closed early gives what came before that.
    """
    answer = Answer()
    try:
        with anyio.fail_after(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    request_head(method, path, request_id, body, headers) + body
                )
                await read_answer(reader, answer)
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError, ValueError):
        pass
    return answer


def request_head(method, path, request_id, body, headers):
    """Return the head of a request; `headers` have underscores in their names."""
    headers = {"Deadline_Ms": "5000"} | headers
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Credential: {KEY}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_answer(reader, answer):
    """Read an answer into `answer`; raises EOFError where it ends too early."""
    status_line = await reader.readuntil(b"\r\n")
    answer.status = int(status_line.split()[1])
    while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
        name, _, value = line.decode("latin-1").partition(":")
        answer.headers[name.strip().lower()] = value.strip()

    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    elif "content-length" in answer.headers:
        answer.body += await reader.readexactly(int(answer.headers["content-length"]))
    else:
        while data := await reader.read(65536):
            answer.body += data
    answer.is_complete = True
