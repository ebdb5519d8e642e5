"""Builders of servers on loopback, and of raw requests to them."""

import asyncio
import contextlib
import socket

import anyio

from cherryrudder.wire import asgi, server

WAIT_S = 10.0
KEY = "the key"


def free_address():
    """Return an address on loopback that nothing listens at."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


async def echo(request):
    """Answer with the length of the body."""
    return asgi.json_reply({"bytes": len(await request.body())})


@contextlib.asynccontextmanager
async def serving(**options):
    """Serve `/echo` until the block ends, and yield the address."""
    app = asgi.make_app({("POST", "/echo"): echo}, KEY, **options)
    address, stopping = free_address(), anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, app, address, stopping)
        await server.wait_listening(address, WAIT_S)
        yield address
        stopping.set()


class RawClient:
    """A client that decides when each part of its request is sent."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    def send(self, data):
        """Send some bytes of a request."""
        self._writer.write(data)

    async def answer(self):
        """Return the status, headers and body of the next answer."""
        with anyio.fail_after(WAIT_S):
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode()
            status, *lines = head.strip().split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in lines)
            body = await self._reader.readexactly(int(headers["content-length"]))
        return int(status.split()[1]), headers, body

    async def has_ended(self):
        """Return whether the server closes the connection without a further byte."""
        with anyio.fail_after(WAIT_S):
            return await self._reader.read(1) == b""


@contextlib.asynccontextmanager
async def raw_client(address):
    """Connect to an address for the length of a block."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield RawClient(reader, writer)
    finally:
        writer.close()


def a_head(size="content-length: 2", key=KEY, path="/echo"):
    """Return the head of a request, whose body is described by a header."""
    lines = [f"POST {path} HTTP/1.1", "host: h", f"authorization: Bearer {key}", size]
    return "\r\n".join([*lines, "", ""]).encode()
