"""TCP streams that cost few system calls, and the options that silent peers need.

anyio's own streams pause and resume reading around each read: two more system calls
for each event of a stream, half of what an entry spends on it. These rest on the same
loop's protocols, read all the time and hold back only a peer that is far ahead; the
tasks around them are anyio's.
"""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from .errors import ConnectFailed, StreamBroken, StreamEnded

BACKLOG = 1024
# Bytes that wait for their reader before the peer is held back; some packets more than
# one read takes.
HIGH_WATER_BYTES = 256 * 1024
# A peer behind a cut neither answers nor resets. What is unacknowledged for this long
# ends the connection; three lost packets in a row are retried within it.
UNACKED_TIMEOUT_S = 2.5
# Probes on idle connections find peers that went away without a word.
KEEPALIVE_IDLE_S = 5
KEEPALIVE_PROBE_S = 1
KEEPALIVE_PROBES = 3


class Stream(asyncio.Protocol):
    """One TCP connection; read by one task at a time, written by one at a time."""

    def __init__(self, on_open: Callable[["Stream"], None] | None = None):
        self._on_open = on_open
        self._transport: asyncio.Transport | None = None
        self._data = bytearray()
        self._read_waiter: asyncio.Future | None = None
        self._write_waiter: asyncio.Future | None = None
        # The peer is behind: `send` waits.
        self.is_write_paused = False
        self._is_read_paused = False
        # Set when the peer has ended or the connection is lost.
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
        if self._is_read_paused and len(self._data) < HIGH_WATER_BYTES:
            self._is_read_paused = False
            self._transport.resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Write bytes without waiting; raises StreamBroken."""
        # The loop tells of a lost connection one turn later than its transport knows.
        if self._is_lost or self._transport.is_closing():
            raise StreamBroken("the connection is lost")
        self._transport.write(data)

    async def send(self, data: bytes) -> None:
        """Write bytes, and wait while the peer is behind; raises StreamBroken."""
        self.write(data)
        while self.is_write_paused and not self._is_lost:
            self._write_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._write_waiter
            finally:
                self._write_waiter = None
        if self._is_lost:
            raise StreamBroken("the connection is lost")

    def is_readable(self) -> bool:
        """Tell whether bytes wait or the connection has ended."""
        return bool(self._data) or self._has_ended or self._is_lost

    def close(self) -> None:
        """Send what is written, then close."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport):
        """Take the loop's transport."""
        self._transport = transport
        _set_options(transport.get_extra_info("socket"))
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data):
        """Keep bytes for the reader, and hold back a peer that is far ahead."""
        self._data += data
        if len(self._data) >= HIGH_WATER_BYTES and not self._is_read_paused:
            self._is_read_paused = True
            self._transport.pause_reading()
        _wake(self._read_waiter)

    def eof_received(self):
        """Take note that the peer writes no more; this side may still write."""
        self._has_ended = True
        _wake(self._read_waiter)
        return True

    def connection_lost(self, error):
        """Wake everybody who waits for this connection."""
        self._is_lost = True
        _wake(self._read_waiter)
        _wake(self._write_waiter)

    def pause_writing(self):
        """Take note that the peer is behind."""
        self.is_write_paused = True

    def resume_writing(self):
        """Take note that the peer has caught up."""
        self.is_write_paused = False
        _wake(self._write_waiter)


async def listen(
    address: str, handle: Callable[[Stream], Awaitable[None]], group: TaskGroup
) -> asyncio.Server:
    """Accept connections at IP:PORT and handle each in the group."""
    host, _, port = address.rpartition(":")
    # Bound by hand: the library's own way resolves the host name on another thread.
    server = socket.create_server((host, int(port)), backlog=BACKLOG)
    server.setblocking(False)

    def make():
        return Stream(lambda stream: group.start_soon(handle, stream))

    loop = asyncio.get_running_loop()
    return await loop.create_server(make, sock=server, backlog=BACKLOG)


async def connect(address: str, timeout_s: float) -> Stream:
    """Connect to IP:PORT; raises ConnectFailed."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(timeout_s):
            _, stream = await loop.create_connection(Stream, host, int(port))
    except (OSError, TimeoutError) as error:
        raise ConnectFailed(f"{address}: {error or 'timeout'}") from error
    return stream


def _wake(future):
    if future is not None and not future.done():
        future.set_result(None)


def _set_options(raw):
    """Make a silent peer show within seconds."""
    timeout_ms = int(UNACKED_TIMEOUT_S * 1000)
    # The peer may have closed already; the next read or write tells.
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_S)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
