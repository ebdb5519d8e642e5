"""Small ASGI helpers that the stand-in processes share."""

import functools
import signal
import socket
from collections.abc import Awaitable, Callable
from typing import NamedTuple
from urllib.parse import parse_qs

import anyio
import msgspec
from hypercorn.asyncio import serve
from hypercorn.config import Config

# Sidecars never close their connections, so the limit must be higher than the thousand
# requests that hypercorn allows by default.
KEEP_ALIVE_REQUESTS = 10_000_000
KEEP_ALIVE_S = 600
BACKLOG = 1024
# Calls that a fault leaves unanswered must not delay the shutdown for long.
STOP_WAIT_S = 3.0


class Call(NamedTuple):
    """An HTTP request as passed to a handler."""

    method: str
    path: str
    query: dict[str, list[str]]
    headers: dict[str, str]
    body: bytes


class Reply(NamedTuple):
    """A handler's answer, sent as JSON."""

    status: int
    value: object


# If a handler returns None, no answer is sent and the caller waits for its timeout.
Handler = Callable[[Call], Awaitable[Reply | None]]


def json_object(call: Call) -> dict:
    """Return the JSON object of a call's body; raise ValueError for anything else."""
    try:
        value = msgspec.json.decode(call.body)
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from error
    if not isinstance(value, dict):
        raise ValueError("the body must be a JSON object")
    return value


async def read_body(receive) -> bytes | None:
    """Return the whole body, or None if the client disconnected before its end."""
    parts = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def send_json(send, reply: Reply):
    """Send a reply as one JSON response."""
    body = msgspec.json.encode(reply.value)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    start = {"type": "http.response.start", "status": reply.status, "headers": headers}
    await send(start)
    await send({"type": "http.response.body", "body": body})


def make_app(handler: Handler, after_reply: Callable[[], None]):
    """Return an ASGI app that passes each HTTP call to the handler.

    `after_reply` runs when an answer has been sent. The `die` fault ends the process
    there, so that the caller that set the fault gets its answer.
    """

    async def app(scope, receive, send):
        if scope["type"] != "http":
            return
        body = await read_body(receive)
        if body is None:
            return
        reply = await _answer(handler, scope, body)
        if reply is None:
            await _wait_for_disconnect(receive)
            return
        await send_json(send, reply)
        after_reply()

    return app


async def _wait_for_disconnect(receive):
    while (await receive())["type"] != "http.disconnect":
        pass


async def _answer(handler, scope, body):
    headers = {name.decode(): text.decode("latin-1") for name, text in scope["headers"]}
    query = parse_qs(scope["query_string"].decode())
    call = Call(scope["method"], scope["path"], query, headers, body)
    try:
        return await handler(call)
    except KeyError as error:
        return Reply(400, {"error": f"missing {error}"})
    except ValueError as error:
        return Reply(400, {"error": str(error)})


async def not_found(call: Call) -> Reply:
    """Answer a call without a handler with 404."""
    return Reply(404, {"error": f"no {call.method} {call.path}"})


def route(routes: dict[tuple[str, str], Handler], other: Handler = not_found):
    """Return a handler that dispatches by method and path, with `other` as default."""

    async def handler(call):
        return await routes.get((call.method, call.path), other)(call)

    return handler


async def serve_until_signal(app, address: str, background=None):
    """Serve on IP:PORT until SIGTERM or SIGINT, beside a background function.

    Port 0 takes a free port; the first line of output contains it.
    """
    config = Config()
    config.bind = [f"fd://{_bound_socket(address)}"]
    config.accesslog = None
    config.loglevel = "WARNING"
    config.backlog = BACKLOG
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.keep_alive_max_requests = KEEP_ALIVE_REQUESTS
    config.graceful_timeout = STOP_WAIT_S
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:

        async def serve_then_stop():
            stopped = functools.partial(anext, signals)
            await serve(app, config, shutdown_trigger=stopped)
            tasks.cancel_scope.cancel()

        # Hypercorn cancels the task that it runs in when it stops. If that were the
        # task that owns the group, anyio would treat it as a cancellation from outside.
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve_then_stop)
            if background is not None:
                tasks.start_soon(background)


def _bound_socket(address):
    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)), backlog=BACKLOG)
    bound_host, bound_port = listener.getsockname()
    # A parent process waits for this line; with port 0 it also reads the port from it.
    print(f"listening on {bound_host}:{bound_port}", flush=True)
    return listener.detach()
