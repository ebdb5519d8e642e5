"""Test helpers for the relay: raw peers on loopback."""

import asyncio
import contextlib
import functools
import socket
import struct

import anyio

from cherryrudder.relay.server import ClientConnection, Limits
from cherryrudder.wire import sockets

LIMITS = Limits(4096, 10_000, 0.3, 1.0)
END = b"\r\n\r\n"


# Far longer than any of these tests takes, so that a fault fails instead of hanging.
TEST_S = 20.0


def in_loop(test):
    """Run a coroutine test in an event loop, with a timeout."""

    async def limited(case):
        with anyio.fail_after(TEST_S):
            await test(case)

    @functools.wraps(test)
    def run(case):
        anyio.run(limited, case)

    return run


def free_address():
    """Return an unused address on loopback."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


@contextlib.asynccontextmanager
async def serving(handler, limits=LIMITS, is_closing=lambda: False, shares=None):
    """Serve a handler and yield its address."""
    address = free_address()
    clock = asyncio.get_running_loop().time

    async def handle(stream):
        connection = ClientConnection(
            stream, lambda: limits, clock, is_closing, shares=shares
        )
        await connection.run(handler)

    async with anyio.create_task_group() as group:
        server = await sockets.listen(address, handle, group)
        yield address
        server.close()
        group.cancel_scope.cancel()


class RawPeer:
    """A client that sends and receives raw bytes."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def ask(self, data):
        """Send bytes and return everything received until the server closes."""
        self.writer.write(data)
        await self.writer.drain()
        return await self.rest()

    async def rest(self):
        """Return everything received until the server closes or resets."""
        got = b""
        with contextlib.suppress(ConnectionResetError):
            while data := await asyncio.wait_for(self.reader.read(65536), 5):
                got += data
        return got

    async def head(self):
        """Return the headers of one message as raw bytes."""
        return await asyncio.wait_for(self.reader.readuntil(END), 5)

    def close(self):
        """Close the client's connection."""
        self.writer.close()


async def connected(address):
    """Connect a raw client to an address."""
    host, _, port = address.rpartition(":")
    return RawPeer(*await asyncio.open_connection(host, int(port)))


@contextlib.asynccontextmanager
async def scripted_engine(*answers):
    """Serve one scripted answer (bytes, or a function of the writer) per request."""
    address = free_address()
    host, _, port = address.rpartition(":")
    asked = []
    left = list(answers)

    async def handle(reader, writer):
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionResetError, IndexError
        ):
            while True:
                asked.append(await reader.readuntil(END))
                answer = left.pop(0)
                if callable(answer):
                    await answer(writer)
                else:
                    writer.write(answer)
                    await writer.drain()
        writer.close()

    server = await asyncio.start_server(handle, host, int(port))
    try:
        yield address, asked
    finally:
        server.close()


def a_reset(data=b""):
    """Return a scripted answer that sends some bytes and resets the connection."""

    async def answer(writer):
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.05)
        # With a linger time of 0 the kernel sends a reset instead of a FIN.
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    return answer


def an_end(data=b""):
    """Return a scripted answer that sends some bytes and closes the connection."""

    async def answer(writer):
        writer.write(data)
        await writer.drain()
        writer.write_eof()

    return answer
