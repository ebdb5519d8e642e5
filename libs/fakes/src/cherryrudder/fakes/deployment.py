"""A deployment of real processes on loopback, for the demo, tests and benchmarks.

Each process gets a settings file of its own in one folder. Signals are sent only to
processes that were started here, by pid.
"""

import fcntl
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import httpx

from cherryrudder.model.contractfiles import format_contract
from cherryrudder.model.contracts import Contract

INTERNAL_KEY = "internal-key"
OPERATOR_KEY = "operator-key"
START_TIMEOUT_S = 60.0
POLL_S = 0.05
# Below the ports that Linux uses for outgoing connections (32768 and up), which could
# otherwise occupy a port between its choice and its use.
FIRST_PORT = 10_000
END_PORT = 32_768
# More than most test processes need.
PORTS_PER_BLOCK = 400


class EngineSpec(NamedTuple):
    """A stand-in engine with its sidecar; `end_layer` is exclusive."""

    name: str
    first_layer: int
    end_layer: int
    model_layers: int = 12
    model: str = "briefing"
    tokens_per_s: float = 200.0
    slots: int = 16
    data_centre: str = "dc-1"
    accelerator: str = "a"
    checks_fence: bool = False


class ServiceSpec(NamedTuple):
    """A stand-in plain service with its sidecar."""

    name: str
    service: str = "slots"
    slots: int = 16
    data_centre: str = "dc-1"


class Node:
    """One process of the deployment."""

    def __init__(self, name, command, log_path, addresses):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.addresses = addresses
        self.process = None

    def start(self) -> None:
        """Start the process with its output appended to its log file."""
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self.command, stdout=log, stderr=subprocess.STDOUT
            )

    def signal(self, number) -> None:
        """Send a signal, unless the process has ended."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a frozen process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def stop(self, timeout_s: float = 30.0) -> int:
        """Request a graceful shutdown and return the exit code."""
        self.signal(signal.SIGTERM)
        return self.process.wait(timeout_s)


class Deployment:
    """Control VMs, entries, engines and services with their addresses."""

    def __init__(self, folder, controls=3, entries=2, engines=(), services=()):
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "internal.key").write_text(INTERNAL_KEY)
        (self.folder / "operator.key").write_text(OPERATOR_KEY)
        self.nodes: dict[str, Node] = {}
        self.http = httpx.Client(trust_env=False, timeout=10.0)
        control_ports = [free_port() for _ in range(controls)]
        self.control_addresses = [f"127.0.0.1:{port}" for port in control_ports]
        self.controls = [self._control(i) for i in range(controls)]
        self.entries = [self._entry(i) for i in range(entries)]
        self.engines = [self._engine(spec) for spec in engines]
        self.services = [self._service(spec) for spec in services]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def start(self) -> None:
        """Create the voters' disks, start everything and wait until it serves."""
        founders = [f"{node.name}={node.addresses['frames']}" for node in self.controls]
        initializers = [
            subprocess.Popen(
                [*node.command, "--init", *founders], stdout=subprocess.DEVNULL
            )
            for node in self.controls
        ]
        for initializer in initializers:
            if initializer.wait():
                raise RuntimeError("a voter's disk could not be created")
        for node in self.nodes.values():
            node.start()
        for node in self.entries:
            self.wait_ready(node)

    def close(self) -> None:
        """Kill every process that was started here."""
        for node in self.nodes.values():
            node.thaw()
            node.kill()
        self.http.close()

    def wait_ready(self, node: Node, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until a process reports that it is ready; raise if it has ended."""
        url = f"http://{node.addresses['internal']}/readyz"

        def is_ready():
            code = node.process.poll()
            if code is not None:
                raise RuntimeError(f"{node.name} ended with code {code}")
            return self._status(url) == 200

        wait_for(is_ready, timeout_s, f"{node.name} ready")

    def restart(self, name: str) -> None:
        """Start a process that has ended and wait until it answers."""
        node = self.nodes[name]
        node.start()
        if "internal" in node.addresses:
            self.wait_ready(node)
        else:
            url = f"{self.back_end(name)}/v1/ledger"
            wait_for(lambda: self._status(url), START_TIMEOUT_S, f"{name} answers")

    def wait_endpoints(self, count: int, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until every entry lists at least `count` endpoints."""
        for entry in self.entries:
            wait_for(
                lambda entry=entry: len(self.dump(entry)["endpoints"]) >= count,
                timeout_s,
                f"{entry.name} lists {count} endpoints",
            )

    def dump(self, node: Node) -> dict:
        """Return the state that a process reports at /v1/dump."""
        headers = {"authorization": f"Bearer {INTERNAL_KEY}"}
        url = f"http://{node.addresses['internal']}/v1/dump"
        return self.http.get(url, headers=headers).raise_for_status().json()

    def change(self, value: dict, control: int = 0) -> httpx.Response:
        """Send an operator's change to one control VM."""
        headers = {"authorization": f"Bearer {OPERATOR_KEY}"}
        address = self.controls[control].addresses["operator"]
        return self.http.post(
            f"http://{address}/v1/changes", json=value, headers=headers
        )

    def put_contract(self, contract: Contract, version: int = 0) -> httpx.Response:
        """Create or change a contract through the first control VM."""
        value = contract._asdict()
        change = {"kind": "put-contract", "change_id": f"{contract.customer}-{version}"}
        return self.change(change | {"expected_version": version, "contract": value})

    def write_contracts(self, contracts) -> Path:
        """Write contract files for the command-line tool and return their folder."""
        folder = self.folder / "contracts"
        folder.mkdir(exist_ok=True)
        for contract in contracts:
            path = folder / f"{contract.customer}.ini"
            path.write_text(format_contract(contract))
        return folder

    def back_end(self, name: str) -> str:
        """Return the base address of a stand-in engine or service."""
        return f"http://{self.nodes[name].addresses['listen']}"

    def _status(self, url):
        try:
            return self.http.get(url).status_code
        except httpx.HTTPError:
            return 0

    def _control(self, index):
        listen = {
            "internal": self.control_addresses[index],
            "operator": free_address(),
            "frames": free_address(),
        }
        quorum = {"data_folder": self.folder / f"control-{index}.data"}
        data_centre = f"dc-{index % 3 + 1}"
        return self._daemon(
            f"control-{index}", "control", listen, data_centre, quorum=quorum
        )

    def _entry(self, index):
        listen = {
            "caller": free_address(),
            "internal": free_address(),
            "frames": free_address(),
        }
        entry = {"drain_s": 0.5}
        data_centre = f"dc-{index % 3 + 1}"
        return self._daemon(f"entry-{index}", "entry", listen, data_centre, entry=entry)

    def _engine(self, spec: EngineSpec):
        back_end = self._stand_in(
            f"{spec.name}.engine",
            "engine",
            model=spec.model,
            first_layer=spec.first_layer,
            end_layer=spec.end_layer,
            model_layers=spec.model_layers,
            tokens_per_s=spec.tokens_per_s,
            checks_fence="yes" if spec.checks_fence else "no",
        )
        sidecar = {
            "endpoint": spec.name,
            "kind": "engine",
            "back_end": f"http://{back_end}",
            "model": spec.model,
            "first_layer": spec.first_layer,
            "end_layer": spec.end_layer,
            "model_layers": spec.model_layers,
            "slots": spec.slots,
            "tokens_per_s": spec.tokens_per_s,
            "accelerator": spec.accelerator,
            "checks_fence": "yes" if spec.checks_fence else "no",
        }
        listen = {"internal": free_address(), "frames": free_address()}
        return self._daemon(
            spec.name, "sidecar", listen, spec.data_centre, sidecar=sidecar
        )

    def _service(self, spec: ServiceSpec):
        back_end = self._stand_in(f"{spec.name}.service", "service")
        sidecar = {
            "endpoint": spec.name,
            "kind": "service",
            "back_end": f"http://{back_end}",
            "service": spec.service,
            "slots": spec.slots,
        }
        listen = {"internal": free_address(), "frames": free_address()}
        return self._daemon(
            spec.name, "sidecar", listen, spec.data_centre, sidecar=sidecar
        )

    def _stand_in(self, name, module, **options):
        address = free_address()
        command = [sys.executable, "-m", f"cherryrudder.fakes.{module}"]
        command += ["--listen", address]
        for option, value in options.items():
            command += [f"--{option.replace('_', '-')}", str(value)]
        self._node(name, command, {"listen": address})
        return address

    def _daemon(self, name, role, listen, data_centre, **sections):
        process = {
            "role": role,
            "vm": name,
            "data_centre": data_centre,
            "region": "region-1",
        }
        keys = {
            "internal_file": self.folder / "internal.key",
            "operator_file": self.folder / "operator.key",
        }
        control = {"addresses": ", ".join(self.control_addresses)}
        sections = {
            "process": process,
            "listen": listen,
            "keys": keys,
            "control": control,
            **sections,
        }
        path = self.folder / f"{name}.ini"
        path.write_text(format_ini(sections))
        command = [sys.executable, "-m", "cherryrudder.daemon", "--config", str(path)]
        return self._node(name, command, listen)

    def _node(self, name, command, addresses):
        node = Node(name, command, self.folder / f"{name}.log", addresses)
        self.nodes[name] = node
        return node


def format_ini(sections: dict) -> str:
    """Return the text of a settings file."""
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {value}" for key, value in values.items()]
    return "\n".join(lines) + "\n"


def _candidate_ports():
    """Yield the ports of each block that no other process holds.

    A port is probed long before its process listens, so that a probe alone doesn't keep
    two test processes from choosing the same one.
    """
    blocks = (END_PORT - FIRST_PORT) // PORTS_PER_BLOCK
    for offset in range(blocks):
        block = (os.getpid() + offset) % blocks
        if _lock_block(block):
            first = FIRST_PORT + block * PORTS_PER_BLOCK
            yield from range(first, first + PORTS_PER_BLOCK)
    raise RuntimeError("all blocks of ports are in use")


def _lock_block(block):
    """Lock a block until this process ends; return false if another one holds it."""
    folder = Path(tempfile.gettempdir(), f"cherryrudder-ports-{os.getuid()}")
    folder.mkdir(exist_ok=True)
    lock = open(folder / str(block), "w")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        lock.close()
        return False
    _held_locks.append(lock)
    return True


_held_locks: list = []
_ports = _candidate_ports()


def free_port() -> int:
    """Return a loopback port that is free now, a different one on each call.

    A port that the kernel picks may be picked again, or be taken by a connection,
    before its process listens. Then that process does not start, or another process
    answers in its place.
    """
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def free_address() -> str:
    """Return a loopback address with a free port."""
    return f"127.0.0.1:{free_port()}"


def wait_for(condition, timeout_s: float, what: str) -> float:
    """Wait until a condition holds and return the seconds; raise TimeoutError."""
    started_s = time.monotonic()
    while not condition():
        if time.monotonic() - started_s > timeout_s:
            raise TimeoutError(f"{what}: not within {timeout_s} s")
        time.sleep(POLL_S)
    return time.monotonic() - started_s
