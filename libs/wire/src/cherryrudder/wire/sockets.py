"""TCP streams with few system calls, and socket options that detect silent peers.

anyio's streams pause and resume reading around each read. That is two more system calls
for each event of a stream, half of what an entry spends on it. These streams are
asyncio protocols on the same loop that read continuously and pause only when much data
is unread; the tasks around them are anyio's.
"""

import asyncio
import contextlib
import math
import socket
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from anyio.abc import TaskGroup

from . import timeouts
from .errors import ConnectFailed, StreamBroken, StreamEnded

BACKLOG = 1024
# Connections accepted in one iteration of the loop.
ACCEPTED_AT_ONCE = 32
# Linux's option that bounds what the kernel takes for a peer that doesn't read.
TCP_NOTSENT_LOWAT = 25
# A peer behind a network partition neither answers nor resets. The connection ends if
# data is unacknowledged for this long, which allows for three lost packets in a row.
UNACKED_TIMEOUT_S = 2.5
# Keep-alive probes detect peers that disappeared without closing the connection.
KEEPALIVE_IDLE_S = 5
KEEPALIVE_PROBE_S = 1
KEEPALIVE_PROBES = 3


class Buffers(NamedTuple):
    """How much may wait on a connection for its reader."""

    # Read at a time.
    read_bytes: int = 64 * 1024
    # Reading pauses at this many unread bytes; a few packets more than one read takes.
    high_water_bytes: int = 256 * 1024
    # Buffer of the kernel for each direction; None lets it grow with the connection's
    # speed, up to some megabytes.
    kernel_bytes: int | None = None


LINK_BUFFERS = Buffers()
# For connections whose number isn't ours to choose.
HTTP_BUFFERS = Buffers(32 * 1024, 32 * 1024, 128 * 1024)

# All streams of the loop read into one buffer, and copy what they got.
_received = memoryview(bytearray(LINK_BUFFERS.read_bytes))


class Stream(asyncio.BufferedProtocol):
    """A TCP connection for one reading and one writing task at a time."""

    def __init__(
        self,
        on_open: Callable[["Stream"], None] | None = None,
        buffers: Buffers = LINK_BUFFERS,
    ):
        self._on_open = on_open
        self._buffers = buffers
        self._transport: asyncio.Transport | None = None
        self._data = bytearray()
        self._read_waiter: asyncio.Future | None = None
        self._write_waiter: asyncio.Future | None = None
        # The send buffer is full, so that `send` waits.
        self.is_write_paused = False
        self._is_read_paused = False
        # Set when the peer has closed its side, and when the connection is lost.
        self._has_ended = False
        self._is_lost = False

    async def receive(self, max_bytes: int) -> bytes:
        """Return some bytes; raises StreamEnded, StreamBroken."""
        while not self._data:
            if self._is_lost:
                raise StreamBroken("the connection is lost")
            if self._has_ended:
                raise StreamEnded("the peer has ended")
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        data = bytes(self._data[:max_bytes])
        del self._data[:max_bytes]
        high_water_bytes = self._buffers.high_water_bytes
        if self._is_read_paused and len(self._data) < high_water_bytes:
            self._is_read_paused = False
            self._transport.resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Write bytes without waiting; raises StreamBroken."""
        # `connection_lost` is called one loop iteration after the transport closes.
        if self._is_lost or self._transport.is_closing():
            raise StreamBroken("the connection is lost")
        self._transport.write(data)

    async def send(self, data: bytes) -> None:
        """Write bytes and wait while the send buffer is full; raises StreamBroken."""
        self.write(data)
        await self.drain()

    async def drain(self) -> None:
        """Wait while the send buffer is full; raises StreamBroken."""
        while self.is_write_paused and not self._is_lost:
            self._write_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._write_waiter
            finally:
                self._write_waiter = None
        if self._is_lost:
            raise StreamBroken("the connection is lost")

    def unsent_bytes(self) -> int:
        """Return how many written bytes the kernel has not taken yet."""
        return self._transport.get_write_buffer_size()

    async def wait_closed(self) -> None:
        """Wait until the connection is closed, after `close` or by the peer."""
        while not self._is_lost:
            self._write_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._write_waiter
            finally:
                self._write_waiter = None

    def is_readable(self) -> bool:
        """Return whether bytes are unread or the connection has ended."""
        return bool(self._data) or self._has_ended or self._is_lost

    def close(self) -> None:
        """Close after all written data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def end_writing(self) -> None:
        """Close this side after all written data has been sent, and go on reading."""
        with contextlib.suppress(OSError, RuntimeError):
            if self._transport is not None and not self._transport.is_closing():
                self._transport.write_eof()

    def abort(self) -> None:
        """Close at once and discard unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport):
        """Store the transport and set the socket options."""
        self._transport = transport
        _set_options(transport.get_extra_info("socket"), self._buffers.kernel_bytes)
        if self._on_open is not None:
            self._on_open(self)

    def get_buffer(self, sizehint):
        """Return the buffer that the next bytes are read into."""
        return _received[: self._buffers.read_bytes]

    def buffer_updated(self, nbytes):
        """Keep bytes for the reader, and pause reading at the high-water mark."""
        self._data += _received[:nbytes]
        is_full = len(self._data) >= self._buffers.high_water_bytes
        if is_full and not self._is_read_paused:
            self._is_read_paused = True
            self._transport.pause_reading()
        _wake(self._read_waiter)

    def eof_received(self):
        """Record that the peer closed its side; this side may still write."""
        self._has_ended = True
        _wake(self._read_waiter)
        return True

    def connection_lost(self, error):
        """Wake the tasks that wait to read or write."""
        self._is_lost = True
        _wake(self._read_waiter)
        _wake(self._write_waiter)

    def pause_writing(self):
        """Record that the send buffer is full."""
        self.is_write_paused = True

    def resume_writing(self):
        """Wake the writer when the send buffer has room again."""
        self.is_write_paused = False
        _wake(self._write_waiter)


async def listen(
    address: str,
    handle: Callable[[Stream], Awaitable[None]],
    group: TaskGroup,
    refuses: Callable[[], bool] = lambda: False,
    buffers: Buffers = LINK_BUFFERS,
) -> asyncio.Server:
    """Accept connections at IP:PORT and handle each in a task of the group.

    While `refuses` returns true, new connections are closed without being read.
    """
    host, _, port = address.rpartition(":")
    # Not bound by the loop, which would resolve the host name in another thread.
    server = socket.create_server((host, int(port)), backlog=BACKLOG)
    server.setblocking(False)

    listener = None

    def make():
        # Between accepting a connection and this call the loop may close the listener.
        # It then drops the connection without closing it, and the peer's messages are
        # lost without an error until garbage collection.
        if listener is not None and not listener.is_serving():
            raise StreamBroken("the listener is closed")
        return Stream(accept, buffers)

    def accept(stream):
        if refuses():
            stream.abort()
        else:
            group.start_soon(handle, stream)

    loop = asyncio.get_running_loop()
    # The loop also accepts as many connections at once as this backlog.
    listener = await loop.create_server(make, sock=server, backlog=ACCEPTED_AT_ONCE)
    server.listen(BACKLOG)
    return listener


async def connect(
    address: str,
    timeout_s: float,
    limit_s: float = math.inf,
    buffers: Buffers = LINK_BUFFERS,
) -> Stream:
    """Connect to IP:PORT; raises ConnectFailed.

    `limit_s` is what is left of a caller's deadline.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        with timeouts.fail_after(timeout_s, limit_s) as timeout:
            _, stream = await loop.create_connection(
                lambda: Stream(buffers=buffers), host, int(port)
            )
    except (OSError, TimeoutError) as error:
        message = f"{address}: {error or 'timeout'}"
        raise ConnectFailed(message, timeout.is_unclear) from error
    return stream


def _wake(future):
    if future is not None and not future.done():
        future.set_result(None)


def _set_options(raw, kernel_bytes):
    """Set timeouts that detect a silent peer within seconds, and bound its buffers."""
    timeout_ms = int(UNACKED_TIMEOUT_S * 1000)
    # The peer may have closed already; then the next read or write fails.
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_S)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        if kernel_bytes is not None:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, kernel_bytes)
            raw.setsockopt(socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, kernel_bytes)
