"""Compare processor time of stream relays: h11 on sockets, or hypercorn and httpx.

Three processes: an engine that sends events one by one, a relay of either kind that
only forwards bytes, and the callers (this process). Prints the relay's processor time
per request and per event, calculated from streams of two lengths. Run it alone, with
the libraries' `src` folders on PYTHONPATH.
"""

import subprocess
import sys

import anyio
import defopt
from common import cpu_s

from cherryrudder.node import httpserver
from cherryrudder.node.httpserver import HttpServer
from cherryrudder.relay.client import open_connection
from cherryrudder.relay.errors import ConnectFailed
from cherryrudder.relay.server import Exchange

ENGINE, RELAY = "127.0.0.1:9471", "127.0.0.1:9472"
# A typical user's stream has about 86 events, one every 25 ms. Here they are sent
# faster, but still one at a time.
EVENT = b"id: 12\ndata: " + 60 * b"x" + b"\n\n"
EVENT_GAP_S = 0.004
SHORT, LONG = 10, 200
STREAMS_AT_ONCE = 16
ROUNDS = 4
START_TIMEOUT_S = 10.0


async def serve_engine():
    """Answer each request with the number of events given in its path."""

    async def answer(exchange: Exchange):
        count = int(exchange.request.target.rpartition(b"/")[2])
        await exchange.begin(200, [(b"content-type", b"text/event-stream")])
        for _ in range(count):
            await anyio.sleep(EVENT_GAP_S)
            await exchange.send(EVENT)
        await exchange.end()

    await httpserver.serve(HttpServer(answer), ENGINE)


async def serve_own():
    """Relay with the product's own HTTP server and client, without routing."""

    async def answer(exchange: Exchange):
        connection = await open_connection(ENGINE, 1.0, 0.0)
        request = exchange.request
        await connection.send(request.method, request.target, request.headers, b"")
        head = await connection.read_head(5.0)
        kept = [h for h in head.headers if h[0] != b"transfer-encoding"]
        await exchange.begin(head.status, kept)
        while (data := await connection.read()) is not None:
            await exchange.send(data)
        await exchange.end()
        connection.close()

    await httpserver.serve(HttpServer(answer), RELAY)


async def serve_naive():
    """Relay with hypercorn as the server and httpx as the client."""
    import httpx
    from hypercorn.asyncio import serve
    from hypercorn.config import Config

    async with httpx.AsyncClient() as client:

        async def app(scope, receive, send):
            if scope["type"] != "http":
                return
            url = f"http://{ENGINE}{scope['path']}"
            async with client.stream("GET", url) as response:
                start = {"type": "http.response.start", "status": response.status_code}
                kept = [(b"content-type", b"text/event-stream")]
                await send(start | {"headers": kept})
                async for data in response.aiter_raw():
                    body = {"type": "http.response.body", "body": data}
                    await send(body | {"more_body": True})
            await send({"type": "http.response.body", "body": b""})

        config = Config()
        config.bind = [RELAY]
        await serve(app, config)


ROLES = {"engine": serve_engine, "own": serve_own, "naive": serve_naive}


async def _fetch_stream(count):
    connection = await open_connection(RELAY, 1.0, 0.0)
    headers = [(b"host", RELAY.encode())]
    await connection.send(b"GET", b"/%d" % count, headers, b"")
    await connection.read_head(30.0)
    size = 0
    while (data := await connection.read()) is not None:
        size += len(data)
    connection.close()
    assert size == count * len(EVENT), size


async def _wait_ready():
    with anyio.fail_after(START_TIMEOUT_S):
        while True:
            try:
                await _fetch_stream(1)
                return
            except (ConnectFailed, AssertionError):
                await anyio.sleep(0.1)


async def _measure(pid, count):
    """Return the relay's processor time per stream, in seconds."""
    before_s = cpu_s(pid)
    for _ in range(ROUNDS):
        async with anyio.create_task_group() as group:
            for _ in range(STREAMS_AT_ONCE):
                group.start_soon(_fetch_stream, count)
    return (cpu_s(pid) - before_s) / (ROUNDS * STREAMS_AT_ONCE)


async def _compare(kind, pid):
    await _wait_ready()
    short_s, long_s = await _measure(pid, SHORT), await _measure(pid, LONG)
    event_ms = (long_s - short_s) / (LONG - SHORT) * 1000
    request_ms = short_s * 1000 - SHORT * event_ms
    print(f"{kind}: {request_ms:.2f} ms a request, {event_ms:.3f} ms an event")


def relay_cost(*, role: str = "") -> None:
    """Compare both relays.

    :param role: for the processes that this one starts
    """
    if role:
        anyio.run(ROLES[role])
        return
    engine = _start("engine")
    for kind in ("own", "naive"):
        relay = _start(kind)
        try:
            anyio.run(_compare, kind, relay.pid)
        finally:
            relay.kill()
            relay.wait()
    engine.kill()
    engine.wait()


def _start(role):
    return subprocess.Popen([sys.executable, __file__, "--role", role])


if __name__ == "__main__":
    defopt.run(relay_cost)
