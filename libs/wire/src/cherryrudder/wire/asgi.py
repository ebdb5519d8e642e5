"""A minimal ASGI layer: routes, typed replies, body size limits and JSON errors."""

import hmac
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from typing import NamedTuple
from urllib.parse import parse_qsl

import anyio
import msgspec
from loguru import logger

from cherryrudder.model import jsoncodec
from cherryrudder.model.errors import RequestError

from . import clientshares
from .clientshares import ClientShares

BODY_TOO_LARGE = 413
NO_ROOM = 503
DEFAULT_MAX_BODY_BYTES = 16 * 1024 * 1024
# Bodies of all requests together that one listener holds.
DEFAULT_MAX_HELD_BYTES = 128 * 1024 * 1024
# When a client may repeat a request for whose body there was no room.
NO_ROOM_RETRY_S = 1
# A client that has its answer may still be sending the body for this long.
DRAIN_TIMEOUT_S = 5.0


class Reply(NamedTuple):
    """A complete response; `headers` are pairs of text."""

    status: int = 200
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = (("content-type", "application/json"),)


class StreamReply(NamedTuple):
    """A streamed response; `on_end` is called once it ends, also on errors."""

    chunks: AsyncIterator[bytes]
    on_end: Callable[[], None]
    headers: tuple[tuple[str, str], ...] = (("content-type", "text/event-stream"),)
    status: int = 200


class Request:
    """An HTTP request whose body is read on demand, up to a size limit."""

    def __init__(self, scope, receive, max_body_bytes, shares=None):
        self.method = scope["method"]
        self.path = scope["path"]
        self.query_string = scope["query_string"].decode("latin-1")
        self.headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        self._receive = receive
        self._max_body_bytes = max_body_bytes
        self._shares = shares or ClientShares()
        self._holding = None
        length = self.headers.get("content-length", "0")
        self._is_chunked = "transfer-encoding" in self.headers
        self._length_bytes = int(length) if length.isdecimal() else 0
        self.has_unread_body = self._is_chunked or self._length_bytes > 0

    @property
    def query(self) -> dict[str, str]:
        """Return the query parameters, the last value of each name."""
        return dict(parse_qsl(self.query_string))

    def number(self, name: str, default: float) -> float:
        """Return a numeric query parameter; raises RequestError."""
        try:
            return float(self.query.get(name, default))
        except ValueError:
            raise RequestError(400, "bad-number", "not a number", name) from None

    def bearer(self) -> str:
        """Return the bearer token, empty if the request has none."""
        scheme, _, token = self.headers.get("authorization", "").partition(" ")
        return token.strip() if scheme.lower() == "bearer" else ""

    async def body(self) -> bytes:
        """Return the whole body.

        Raises RequestError 413 if it is too large, and 503 if there is no room for it.
        """
        with anyio.CancelScope() as scope:
            self._holding = clientshares.open_holding(
                self._shares, lambda bound: scope.cancel(), anyio.current_time()
            )
            data = await self._read_body()
            self._holding.is_droppable = False
            return data
        raise _no_room()

    async def _read_body(self):
        data = bytearray()
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise RequestError(400, "disconnected", "the client disconnected")
            part = message.get("body", b"")
            if len(data) + len(part) > self._max_body_bytes:
                text = f"the body is over {self._max_body_bytes} bytes"
                raise RequestError(BODY_TOO_LARGE, "body-too-large", text)
            now_s = anyio.current_time()
            if not clientshares.hold(self._shares, self._holding, len(part), now_s):
                raise _no_room()
            data += part
            if not message.get("more_body", False):
                self.has_unread_body = False
                return bytes(data)

    def release(self) -> None:
        """Count the body as held no more."""
        if self._holding is not None:
            clientshares.close_holding(self._shares, self._holding)

    def is_drainable(self) -> bool:
        """Return whether the rest of the body is known to be within the size limit."""
        return not self._is_chunked and self._length_bytes <= self._max_body_bytes

    async def drain(self) -> None:
        """Discard the rest of the body, up to the size limit and a timeout."""
        size_bytes = 0
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            while size_bytes <= self._max_body_bytes:
                message = await self._receive()
                size_bytes += len(message.get("body", b""))
                if not message.get("more_body", False):
                    return

    async def json(self, kind=dict):
        """Decode the JSON body as a value of type `kind`; raises RequestError 400."""
        data = await self.body()
        try:
            return jsoncodec.decode(data, kind)
        except msgspec.ValidationError as error:
            raise RequestError(
                400, "bad-field", str(error), _parse_field(str(error))
            ) from None
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise RequestError(400, "bad-json", str(error)) from None

    async def wait_disconnected(self) -> None:
        """Wait until the client disconnects; the body must have been read before."""
        while (await self._receive())["type"] != "http.disconnect":
            pass


Handler = Callable[[Request], Awaitable[Reply | StreamReply]]
Routes = dict[tuple[str, str], Handler]


def json_reply(value, status=200, headers=()) -> Reply:
    """Return a response with a JSON body."""
    kind = ("content-type", "application/json")
    return Reply(status, jsoncodec.encode(value), (kind, *headers))


def error_reply(error: RequestError, headers=()) -> Reply:
    """Return the JSON response for an error."""
    body = {"code": error.code, "message": str(error)}
    if error.field:
        body["field"] = error.field
    if error.status == NO_ROOM:
        headers = (*headers, ("retry-after", str(NO_ROOM_RETRY_S)))
    return json_reply({"error": body}, error.status, headers)


def make_app(
    routes: Routes,
    key: str = "",
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    max_held_bytes: int = DEFAULT_MAX_HELD_BYTES,
    is_closing: Callable[[], bool] = lambda: False,
):
    """Return an ASGI application; a route whose path ends in / matches all paths below.

    If a key is given, every path requires it as bearer token, except for the load
    balancer's health checks. While it is closing, its answers announce that their
    connections close.
    """
    shares = ClientShares(max_held_bytes)

    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            return await _lifespan(receive, send)
        if scope["type"] != "http":
            return None
        request = Request(scope, receive, max_body_bytes, shares)
        try:
            await _serve(request, send)
        finally:
            request.release()

    async def _serve(request, send):
        reply = await _answer(routes, key, request)
        # The server closes the connection after an answer to an incomplete request, and
        # when it stops. A client that isn't told so loses its next request on it.
        if is_closing() or (request.has_unread_body and not request.is_drainable()):
            reply = reply._replace(headers=(*reply.headers, ("connection", "close")))
        if isinstance(reply, StreamReply):
            # A `finally` in the chunks' generator would not do: it does not run if the
            # client disconnects before the generator has started.
            try:
                return await _send_stream(reply, request, send)
            finally:
                reply.on_end()
        return await _send(reply, request, send)

    return app


async def _answer(routes, key, request):
    try:
        handler = _find_handler(routes, request)
        open_path = request.path in ("/livez", "/readyz")
        if key and not open_path and not hmac.compare_digest(request.bearer(), key):
            raise RequestError(401, "wrong-key", "the key is missing or wrong")
        return await handler(request)
    except RequestError as error:
        return error_reply(error)
    except Exception:
        # An exception in a handler must not end the process. The client gets a plain
        # 500, and the traceback is logged.
        logger.bind(part="http").exception(
            "{} {} failed.", request.method, request.path
        )
        return error_reply(RequestError(500, "internal", "an internal error"))


def _find_handler(routes, request):
    path = request.path
    known = False
    while path:
        for method in (request.method, "*"):
            handler = routes.get((method, path))
            if handler is not None:
                return handler
        known = known or any(at == path for _, at in routes)
        path = path.rstrip("/").rpartition("/")[0] + "/" if path != "/" else ""
    if known:
        raise RequestError(405, "method-not-allowed", "the path takes other methods")
    raise RequestError(404, "not-found", "there is no such path")


async def _lifespan(receive, send):
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


def _start_message(reply):
    headers = [(name.encode(), value.encode()) for name, value in reply.headers]
    return {"type": "http.response.start", "status": reply.status, "headers": headers}


async def _send(reply, request, send):
    size = ("content-length", str(len(reply.body)))
    await send(_start_message(reply._replace(headers=(*reply.headers, size))))
    is_early = request.has_unread_body
    message = {"type": "http.response.body", "body": reply.body}
    await send(message | {"more_body": is_early})
    if is_early:
        await request.drain()
        await send({"type": "http.response.body", "body": b""})


async def _send_stream(reply, request, send):
    async with anyio.create_task_group() as group, aclosing(reply.chunks) as chunks:

        async def cancel_on_disconnect():
            # A client that disconnects cancels the stream, so that the engines stop
            # working on it too.
            await request.wait_disconnected()
            group.cancel_scope.cancel()

        group.start_soon(cancel_on_disconnect)
        await send(_start_message(reply))
        async for chunk in chunks:
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": b""})
        group.cancel_scope.cancel()


def _no_room():
    return RequestError(NO_ROOM, "no-room", "too much is held for other requests")


def _parse_field(message):
    _, _, path = message.partition("`$.")
    return path.rstrip("`") or None
