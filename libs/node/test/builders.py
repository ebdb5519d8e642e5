"""Test data for the tests of entries and control VMs."""

import contextlib
import os
import socket
import threading
import time

from cherryrudder.layers.profile import NO_LAYERS, KindProfile, LayerRange, ModelProfile
from cherryrudder.node.controlstate import ControlState
from cherryrudder.node.entrystate import EntryState
from cherryrudder.node.linesink import LineSink
from cherryrudder.node.metrics import Metrics
from cherryrudder.platform.settings import Bounds, NodeSettings
from cherryrudder.policy import sharedbudget
from cherryrudder.quorum.events import Voter
from cherryrudder.replica.clock import now_s
from cherryrudder.routing.endpoints import Announcement

# Connections that fill a listener's backlog, and those that the kernel adds to it.
FILLING_CONNECTIONS = 4
ENTRIES = 8


def an_announcement(engine_id="boot-1", number=2, layers=None, **changes):
    """Return an engine's announcement."""
    announcement = Announcement(
        engine_id=engine_id,
        service="llm",
        address=f"{engine_id}:80",
        vm_zone="a",
        version="v1",
        slots=96,
        number=number,
        kind="l4",
        holding=LayerRange(*layers) if layers else NO_LAYERS,
    )
    return announcement._replace(**changes)


def a_model(layers):
    """Return a small model on accelerators of one kind."""
    return ModelProfile(
        layers=layers,
        layer_mb=1000.0,
        token_kv_bytes=1_000_000.0,
        activation_bytes=59_000.0,
        link_mbps=480_000.0,
        pipe_mbps=11_000.0,
        step_ms=0.85,
        per_seq_ms=0.00764,
        read_per_s=196_000.0,
        load_s=14.0,
        loads_at_once=6,
        slots=96,
        usual_prompt_tokens=772.0,
        usual_answer_tokens=174.0,
        kinds=(KindProfile("l4", 21_600.0, 16.0, 8.2),),
    )


def a_voter(vm, disk="d1"):
    """Return a voter with its disk."""
    return Voter(vm, f"{vm}-{disk}", f"{vm}:7000")


def some_settings(**changes):
    """Return the settings of a process on its own VM."""
    settings = NodeSettings(
        vm="vm-1",
        role="entry",
        ip="127.0.0.1",
        vm_zone="a",
        region="r",
        client_address="",
        readiness_address="",
        control_address="",
        first_port=7000,
        last_port=7010,
        seeds=(),
        is_founding=False,
        data_folder="",
        heartbeat_s=1.2,
        memory_mb=200.0,
        max_descriptors=4096,
        tolerated_losses=1,
        bounds=Bounds(2.0, 8.0, 2.0, 5.0, True, 3.0, 0.2, 200.0, 10.0, 2.5),
    )
    return settings._replace(**changes)


def a_state(sink, **changes):
    """Return the state of an entry that has just started and knows its budget."""
    state = EntryState(some_settings(**changes), sink, Metrics())
    # As after the first report of the control VMs; without one there are no retries.
    sharedbudget.update_share(state.retry_budget, (), ENTRIES, now_s())
    return state


def a_control(sink, ip, vm_zone="a"):
    """Return the state of a control process that has just started."""
    settings = some_settings(vm=f"vm-{ip}", role="control", ip=ip, vm_zone=vm_zone)
    return ControlState(settings, sink, Metrics())


@contextlib.contextmanager
def silent_engine():
    """Accept connections without answering, as a frozen engine; yield the address."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield f"127.0.0.1:{server.getsockname()[1]}"


@contextlib.contextmanager
def full_listener():
    """Listen with a full backlog, so that connecting hangs; yield the address."""
    with contextlib.ExitStack() as opened:
        server = opened.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
        for _ in range(FILLING_CONNECTIONS):
            filling = opened.enter_context(socket.socket())
            filling.setblocking(False)
            filling.connect_ex(server.getsockname())
        yield f"127.0.0.1:{server.getsockname()[1]}"


@contextlib.contextmanager
def answering_engine(delay_s=0.0):
    """Run an engine in a thread that answers each report; yield its address."""

    def answer(connection):
        with connection, contextlib.suppress(OSError):
            while b"\r\n\r\n" in connection.recv(65536):
                time.sleep(delay_s)
                connection.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")

    def accept():
        with contextlib.suppress(OSError):
            while True:
                connection, _ = server.accept()
                threading.Thread(target=answer, args=[connection], daemon=True).start()

    with socket.create_server(("127.0.0.1", 0)) as server:
        threading.Thread(target=accept, daemon=True).start()
        yield f"127.0.0.1:{server.getsockname()[1]}"
        # Closing alone would leave the thread in `accept`.
        server.shutdown(socket.SHUT_RDWR)


class PipedSink:
    """A line sink that writes into a pipe, and a reader of the pipe."""

    def __init__(self):
        self.reader, writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.sink = LineSink(writer, "vm-1", "entry")
        self._writer = writer

    def text(self):
        """Return what was written since the last call."""
        self.sink.flush()
        try:
            return os.read(self.reader, 16 * 1024 * 1024).decode()
        except BlockingIOError:
            return ""

    def close(self):
        """Close both ends of the pipe."""
        os.close(self.reader)
        os.close(self._writer)
