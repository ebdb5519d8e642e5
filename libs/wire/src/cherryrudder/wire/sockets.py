"""Listening and connecting with the options that silent peers need."""

import socket

import anyio
from anyio.abc import SocketAttribute, SocketListener, SocketStream

from .errors import ConnectFailed

BACKLOG = 1024
# A peer behind a cut neither answers nor resets. What is unacknowledged for this long
# ends the connection; three lost packets in a row are retried within it.
SILENCE_S = 2.5
# Probes on idle connections find peers that went away without a word.
KEEPALIVE_IDLE_S = 5
KEEPALIVE_PROBE_S = 1
KEEPALIVE_PROBES = 3


async def listen(address: str) -> SocketListener:
    """Listen at IP:PORT."""
    host, _, port = address.rpartition(":")
    # Bound by hand: the library's own way resolves the host name on another thread.
    server = socket.create_server((host, int(port)), backlog=BACKLOG)
    server.setblocking(False)
    return await SocketListener.from_socket(server)


async def connect(address: str, timeout_s: float) -> SocketStream:
    """Connect to IP:PORT; raises ConnectFailed."""
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(host, int(port))
    except (OSError, TimeoutError) as error:
        raise ConnectFailed(f"{address}: {error or 'timeout'}") from error
    set_options(stream)
    return stream


def set_options(stream: SocketStream) -> None:
    """Make a silent peer show within seconds."""
    raw = stream.extra(SocketAttribute.raw_socket)
    timeout_ms = int(SILENCE_S * 1000)
    try:
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_S)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    except OSError:
        # The peer has closed already; the next read or write tells.
        return
