"""A TCP proxy on loopback that can delay, hold and reset its connections."""

import socket
import struct
from enum import StrEnum

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

READ_BYTES = 64 * 1024
# SO_LINGER value that makes a close send RST instead of FIN.
LINGER_RESET = struct.pack("ii", 1, 0)


class Mode(StrEnum):
    """How the proxy handles bytes."""

    PASS = "pass"
    DELAY = "delay"
    # The modes below hold the bytes of one or both directions until the mode changes.
    HOLD_REQUESTS = "hold-requests"
    HOLD_ANSWERS = "hold-answers"
    SILENT = "silent"


HELD_DIRECTIONS = {
    Mode.HOLD_REQUESTS: {"requests"},
    Mode.HOLD_ANSWERS: {"answers"},
    Mode.SILENT: {"requests", "answers"},
}


class Proxy:
    """A proxy from one listening address to one target."""

    def __init__(self, listen_address: str, target: str, delay_s: float = 0.1):
        self.listen_address = listen_address
        self.target = target
        self.delay_s = delay_s
        self.mode = Mode.PASS
        self._changed = anyio.Event()
        # How often the open connections were severed.
        self._severed = 0
        self._streams: set[SocketStream] = set()

    async def serve(self, group: TaskGroup) -> None:
        """Listen until the group ends; return once connections are accepted."""
        host, _, port = self.listen_address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        group.start_soon(listener.serve, self._handle)

    def set_mode(self, mode: Mode) -> None:
        """Change the mode, for open connections too."""
        self.mode = mode
        self._changed.set()
        self._changed = anyio.Event()

    def sever(self) -> None:
        """Let all open connections be silent for good; new ones are not affected."""
        self._severed += 1

    async def reset(self) -> None:
        """Reset all connections; new ones are still accepted."""
        streams = tuple(self._streams)
        for stream in streams:
            raw = stream.extra(SocketAttribute.raw_socket)
            # The peer may have closed it in this iteration of the event loop.
            if raw.fileno() >= 0:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        for stream in streams:
            await anyio.aclose_forcefully(stream)

    async def _handle(self, caller):
        opened = self._severed
        await self._apply_mode("requests", opened)
        host, _, port = self.target.rpartition(":")
        try:
            target = await anyio.connect_tcp(host, int(port))
        except OSError:
            await caller.aclose()
            return
        self._streams |= {caller, target}
        try:
            async with anyio.create_task_group() as group:
                ends = ((caller, target, "requests"), (target, caller, "answers"))
                for source, sink, direction in ends:
                    group.start_soon(self._pump, source, sink, direction, opened, group)
        finally:
            self._streams -= {caller, target}
            with anyio.move_on_after(1, shield=True):
                await anyio.aclose_forcefully(caller)
                await anyio.aclose_forcefully(target)

    async def _pump(self, source, sink, direction, opened, group):
        try:
            while True:
                data = await source.receive(READ_BYTES)
                await self._apply_mode(direction, opened)
                await sink.send(data)
        except anyio.EndOfStream:
            if opened < self._severed:
                await anyio.sleep_forever()
            await _half_close(sink)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            group.cancel_scope.cancel()

    async def _apply_mode(self, direction, opened):
        if opened < self._severed:
            await anyio.sleep_forever()
        if self.mode is Mode.DELAY:
            await anyio.sleep(self.delay_s)
        while direction in HELD_DIRECTIONS.get(self.mode, ()):
            await self._changed.wait()


async def _half_close(sink):
    try:
        await sink.send_eof()
    except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
        # The other side is closed already.
        pass
