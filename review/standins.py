"""Stand-ins for the platform, operator, clients and engines of a small deployment.

Only the standard library. The router's own processes are started with the commands of
deploy/system.toml; everything listens at loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import random
import socket
import subprocess
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FRONT, READY, CONTROL, ENGINE = 8227, 8220, 8229, 8463
ZONES = ("a", "b", "c")
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
HEARTBEAT_S = 1.2
WORK_S = 0.0225
CALL_TIMEOUT_S = 1.0


class NoAnswer(Exception):
    """A call got no complete answer."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.began_s = time.monotonic()
        self.file = (Path(folder) / "record.txt").open("w", encoding="utf-8")

    def now_s(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.began_s

    def write(self, what, **fields):
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now_s():9.3f} {what} {text}\n")
        self.file.flush()


def free_net():
    """Return the first three numbers of an unused loopback network."""
    rng = random.SystemRandom()
    while True:
        net = f"127.{rng.randrange(1, 250)}.{rng.randrange(1, 250)}"
        try:
            for host in (1, 2, 3):
                for port in (FRONT, READY, CONTROL, 9464, 9465, 7340, 7341, 7342):
                    socket.create_server((f"{net}.{host}", port)).close()
        except OSError:
            continue
        return net


async def read_message(reader):
    """Return the first line, headers and body of one HTTP/1.1 message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def format_message(first, headers, body=b""):
    """Return the bytes of one HTTP/1.1 message."""
    pairs = dict(headers) | {"Content-Length": len(body)}
    lines = [first, *(f"{name}: {value}" for name, value in pairs.items())]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def call(address, method, path, headers=(), body=b"", timeout_s=CALL_TIMEOUT_S):
    """Make one call on a new connection; return status, headers and body."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            named = {"Host": HOST} | dict(headers)
            writer.write(format_message(f"{method} {path} HTTP/1.1", named, body))
            first, answered, answer = await read_message(reader)
            return int(first.split()[1]), answered, answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        raise NoAnswer(repr(error)) from error
    finally:
        if writer is not None:
            writer.transport.abort()


class Engine:
    """An engine of a plain service: runs requests and sends check-ins."""

    def __init__(self, deployment, name, service, host):
        self.deployment = deployment
        self.name = name
        self.service = service
        self.zone = ZONES[host % 3]
        self.address = f"{deployment.net}.{100 + host}:{ENGINE}"
        # Where it listens; a proxy may be in between.
        self.listen_address = self.address
        self.slots = 6
        self.work_s = WORK_S
        self.state = "ready"
        self.is_up = False
        # Dark: it keeps its channels, but neither reads nor sends anything.
        self.is_dark = False
        self.born = self.sequence = self.running = 0
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        """Start a new boot under the same name."""
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.sequence = self.running = 0
        self.is_up, self.is_dark = True, False
        host, _, port = self.listen_address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._begin(self._check_in())

    def stop(self):
        """End: the listener is closed and all channels are reset."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        for task in tuple(self._tasks):
            task.cancel()

    def _begin(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def beat(self):
        """Return the body of the next check-in."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def check_in(self):
        """Send one check-in; return whether it was acknowledged."""
        path = f"/cherryrudder/Instances.Heartbeat/{self.name}"
        return await self.deployment.call_control(path, self.beat())

    async def deregister(self):
        """Sign off; return whether it was acknowledged."""
        path = f"/cherryrudder/Instances.Deregister/{self.name}"
        return await self.deployment.call_control(path, {"born": self.born})

    async def _check_in(self):
        while self.is_up:
            if not self.is_dark:
                await self.check_in()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                while self.is_dark:
                    await asyncio.sleep(0.01)
                await self._answer(writer, first, headers, body)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, writer, first, headers, body):
        method, path, _ = first.split()
        own = {"Instance-Id": self.name, "Server-Load": self._load()}
        if path == "/health":
            writer.write(format_message("HTTP/1.1 200 OK", own))
            return
        request_id = headers.get("request-id", "")
        own["Request-Id"] = request_id
        record = self.deployment.record
        if headers.get("expect-instance", self.name) != self.name:
            record.write("rejected", engine=self.name, id=request_id, status=421)
            own["Not-Executed"] = "1"
            writer.write(format_message("HTTP/1.1 421 Other", own))
            return
        if self.running >= self.slots:
            record.write("rejected", engine=self.name, id=request_id, status=503)
            own["Not-Executed"] = "1"
            writer.write(format_message("HTTP/1.1 503 Full", own))
            return
        born = self.born
        self.running += 1
        record.write("run", engine=self.name, born=born, id=request_id)
        self.deployment.runs.append((record.now_s(), self.name, request_id))
        try:
            await self.run(writer, method, path, own)
        finally:
            if self.born == born:
                self.running -= 1

    async def run(self, writer, method, path, own):
        """Run one request, and answer it with its whole body."""
        own["Response-Seal"] = "3e1b.07.5a2.600.0.c9f2a4d1"
        await asyncio.sleep(self.work_s)
        while self.is_dark:
            await asyncio.sleep(0.01)
        writer.write(format_message("HTTP/1.1 200 OK", own, self.body()))
        await writer.drain()

    def body(self):
        """Return the body of an answer."""
        return b"x" * 800

    def _load(self):
        return f"{self.running},0,{self.slots}"


class Deployment:
    """Three machines of the router, and the stand-ins around them."""

    def __init__(self, folder, record):
        self.folder = Path(folder)
        self.record = record
        self.net = free_net()
        self.machines = [f"{self.net}.{n}" for n in (1, 2, 3)]
        self.engines = []
        # When, where and which requests began to run.
        self.runs = []
        self._processes = []
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._roles = tomllib.load(file)["roles"]

    def start_router(self):
        """Start all processes of the router."""
        for number, ip in enumerate(self.machines):
            for role in ("control", "entry"):
                self.start_process(number, ip, role)

    def start_process(self, number, ip, role, is_first=True):
        """Start one process with its command in the deploy file."""
        path = self.folder / f"front-{number}-{role}.toml"
        text = self._settings(number, ip, role, is_first)
        path.write_text(text, encoding="utf-8")
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        kept["PYTHONPATH"] = str(ROOT / "target" / "deps")
        kept["CHERRYRUDDER_NODE_FILE"] = str(path)
        with (self.folder / f"front-{number}-{role}.log").open("ab") as log:
            process = subprocess.Popen(
                self._roles[role]["run"].split(),
                cwd=ROOT,
                env=kept,
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        return process

    def stop(self):
        """End everything that was started."""
        for engine in self.engines:
            engine.stop()
        for process in self._processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait()

    async def add_engine(self, engine):
        """Start an engine."""
        self.engines.append(engine)
        await engine.start()

    async def call_control(self, path, body, method="POST"):
        """Call the control processes in random order; return if one acknowledged."""
        data = json.dumps(body).encode()
        for ip in random.sample(self.machines, 3):
            with contextlib.suppress(NoAnswer):
                address = f"{ip}:{CONTROL}"
                kind = {"Content-Type": "application/json"}
                status, _, _ = await call(address, method, path, kind, data)
                if status == 200:
                    return True
                if 400 <= status < 500:
                    self.record.write("control-refused", path=path, status=status)
                    return False
        return False

    async def configure(self, document):
        """Send a configuration until it is acknowledged."""
        while not await self.call_control("/cherryrudder/Config.Replace", document):
            await asyncio.sleep(0.2)
        self.record.write("config-acknowledged", version=document["version"])

    async def wait_ready(self):
        """Wait until all entries are ready."""
        for ip in self.machines:
            while True:
                with contextlib.suppress(NoAnswer):
                    address = f"{ip}:{READY}"
                    path = "/cherryrudder/readiness"
                    if (await call(address, "GET", path))[0] == 200:
                        break
                await asyncio.sleep(0.1)

    def _settings(self, number, ip, role, is_first):
        seeds = ", ".join(f'"{machine}:{CONTROL}"' for machine in self.machines)
        zones = "\n".join(f'{zone} = "r"' for zone in ZONES)
        listen = f'front = "{ip}:{FRONT}"\nready_addr = "{ip}:{READY}"'
        disk = ""
        if role == "control":
            listen = f'control = "{ip}:{CONTROL}"'
            disk = f'data_dir = "{self.folder}/data-{number}"'
        serves = ", ".join(f'"{one}"' for one in self._roles[role]["serves"])
        return f"""
node_name = "front-{ZONES[number]}-1"
role = "{role}"
machine_class = "front"
serves = [{serves}]
ip = "{ip}"
zone = "{ZONES[number]}"
region = "r"
internal_port_range = [7340, 7355]
seeds = [{seeds}]
first_start = {str(is_first).lower()}
fault_counted = true
{disk}
discovery = "registry"
entry = "virtual_ip"
heartbeat_ms = 1200
config_mode = "highest"
[zones]
{zones}
[listen]
{listen}
[limits]
cpu_share = 0.968
cpu_cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 64
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
revoke_fail_closed = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 204
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 2500
fencing_enforced = true
"""


def route(name, prefix, kind, service, **changes):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 1000,
        "target_latency_ms": 125,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
        "allow_anonymous": False,
    } | changes


def configuration(version, routes, services):
    """Return a whole configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 54,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }


def client_headers(request_id, deadline_ms, key=KEY):
    """Return a client's headers."""
    return {
        "Request-Id": request_id,
        "Deadline-Ms": deadline_ms,
        "Credential": key,
    }


def new_id():
    """Return a new request id."""
    return f"{random.SystemRandom().getrandbits(64):016x}"
