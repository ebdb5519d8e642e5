"""The side towards clients: reads requests strictly and writes answers.

The house's first choice, hypercorn, was left for its nearest kin, h11 on the same
sockets, since two rules can't be kept with it: an answer that its engine broke off has
to end without looking complete, and a client's leaving has to reach the engine at once.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio
import h11
from loguru import logger

from cherryrudder.wire.errors import StreamBroken, StreamEnded, WireError
from cherryrudder.wire.sockets import Stream

from .errors import BadRequest, ClientGone

READ_BYTES = 64 * 1024
# What a client may send ahead while its request is being answered.
MAX_PIPELINED_BYTES = 64 * 1024
# A client that takes no byte for so long is gone. The platform's clients give up on a
# stream after two seconds of silence.
WRITE_TIMEOUT_S = 5.0

log = logger.bind(part="clients")

Headers = list[tuple[bytes, bytes]]


class Limits(NamedTuple):
    """What a client may send, and how long it may take or stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Request(NamedTuple):
    """A request that was read in full."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_s: float


class Exchange:
    """One request and its answer."""

    def __init__(self, connection: "ClientConnection", request: Request):
        self.connection = connection
        self.request = request
        self.has_begun = False
        self.is_done = False
        self.is_gone = False

    async def answer(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a whole answer; raises ClientGone."""
        headers = [*headers, (b"content-length", b"%d" % len(body))]
        await self.begin(status, headers)
        await self.send(body)
        await self.end()

    async def begin(self, status: int, headers: Headers) -> None:
        """Send an answer's head; raises ClientGone."""
        if self.connection.is_closing():
            headers = [*headers, (b"connection", b"close")]
        self.has_begun = True
        event = h11.Response(status_code=status, headers=headers)
        await self.connection.write(event)

    async def send(self, data: bytes) -> None:
        """Send a piece of the body; raises ClientGone."""
        if data:
            await self.connection.write(h11.Data(data=data))

    async def end(self) -> None:
        """End the answer as complete; raises ClientGone."""
        await self.connection.write(h11.EndOfMessage())
        self.is_done = True


Handler = Callable[[Exchange], Awaitable[None]]


class ClientConnection:
    """One client's connection, from its opening to its end."""

    def __init__(
        self,
        stream: Stream,
        limits: Limits,
        now_s: Callable[[], float],
        is_closing: Callable[[], bool],
    ):
        self._stream = stream
        self._limits = limits
        self._now_s = now_s
        self.is_closing = is_closing
        # Set while a request is being read or answered.
        self.is_busy = False
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )

    async def run(self, handler: Handler) -> None:
        """Answer requests until the client or this side ends the connection."""
        try:
            while await self._serve_one(handler):
                self._http.start_next_cycle()
        except (ClientGone, WireError):
            # What it left unfinished was logged with its request.
            pass
        finally:
            self._end()

    def _end(self):
        """Close; an answer that was cut short is reset, so that it can't look whole."""
        if self._http.our_state is h11.SEND_BODY:
            self._stream.abort()
        else:
            self._stream.close()

    def close(self) -> None:
        """Close once what was written has left."""
        self._stream.close()

    async def write(self, event) -> None:
        """Write one HTTP event; raises ClientGone."""
        data = self._http.send(event)
        if not data:
            return
        if not self._stream.is_write_paused:
            # The usual case, without the cost of a timer for each event.
            self._write_now(data)
            return
        try:
            with anyio.fail_after(WRITE_TIMEOUT_S):
                await self._stream.send(data)
        except (TimeoutError, StreamBroken) as error:
            raise ClientGone("the client takes nothing more") from error

    def _write_now(self, data):
        try:
            self._stream.write(data)
        except StreamBroken as error:
            raise ClientGone("the client has gone") from error

    async def _serve_one(self, handler):
        """Answer one request; tell whether another may follow."""
        try:
            request = await self._read_request()
        except BadRequest as error:
            await self._send_error(error)
            return False
        if request is None:
            return False
        exchange = Exchange(self, request)
        await self._run_handler(handler, exchange)
        self.is_busy = False
        if not exchange.is_done:
            return False
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    async def _run_handler(self, handler, exchange):
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch_disconnect, exchange, group.cancel_scope)
                await handler(exchange)
                group.cancel_scope.cancel()
        except* (ClientGone, WireError):
            exchange.is_gone = True

    async def _watch_disconnect(self, exchange, scope):
        """Read on while the answer is made, and end the work when the client leaves.

        An engine would otherwise work on for nobody, on a place that others wait for.
        """
        pipelined_bytes = 0
        while pipelined_bytes < MAX_PIPELINED_BYTES:
            try:
                data = await self._stream.receive(READ_BYTES)
            except (StreamEnded, StreamBroken):
                exchange.is_gone = True
                scope.cancel()
                return
            pipelined_bytes += len(data)
            self._http.receive_data(data)

    async def _send_error(self, error):
        """Answer a request that can't be read, and close."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        log.debug("A request was refused: {}.", error)
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        await self.write(h11.Response(status_code=error.status, headers=headers))
        await self.write(h11.EndOfMessage())

    async def _read_request(self):
        """Return the next request in full, or None when the client ends or idles."""
        head = await self._read_head()
        if head is None:
            return None
        self.is_busy = True
        arrived_s = self._now_s()
        body = await self._read_body(head)
        headers = [(bytes(name), bytes(value)) for name, value in head.headers]
        return Request(bytes(head.method), bytes(head.target), headers, body, arrived_s)

    async def _read_head(self):
        limits = self._limits
        timeout_s = limits.idle_timeout_s
        while True:
            event = self._next_event()
            if isinstance(event, h11.Request):
                # The parser bounds only a head that comes in several reads.
                if _head_bytes(event) > limits.max_header_bytes:
                    raise BadRequest(431, "the head is too long")
                return event
            if event is not h11.NEED_DATA:
                return None
            has_begun = bool(self._http.trailing_data[0])
            if has_begun:
                timeout_s = limits.header_timeout_s
            with anyio.move_on_after(timeout_s) as scope:
                if not await self._receive():
                    return None
            if scope.cancelled_caught:
                if has_begun:
                    raise BadRequest(408, "the head took too long")
                return None

    async def _read_body(self, head):
        limits = self._limits
        length = dict(head.headers).get(b"content-length", b"0")
        if int(length) > limits.max_body_bytes:
            raise BadRequest(413, "the body is too long")
        if self._http.they_are_waiting_for_100_continue:
            await self.write(h11.InformationalResponse(status_code=100, headers=[]))
        pieces, size = [], 0
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                pieces.append(bytes(event.data))
                size += len(event.data)
                if size > limits.max_body_bytes:
                    raise BadRequest(413, "the body is too long")
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(pieces)
            elif event is not h11.NEED_DATA:
                raise ClientGone("the client left inside a request")
            else:
                await self._receive_in_time(limits.idle_timeout_s)

    async def _receive_in_time(self, timeout_s):
        with anyio.move_on_after(timeout_s) as scope:
            if not await self._receive():
                raise ClientGone("the client left inside a request")
        if scope.cancelled_caught:
            raise BadRequest(408, "the body took too long")

    async def _receive(self):
        """Read some bytes; false when the client has ended."""
        try:
            data = await self._stream.receive(READ_BYTES)
        except (StreamEnded, StreamBroken):
            return False
        self._http.receive_data(data)
        return True

    def _next_event(self):
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise BadRequest(error.error_status_hint, str(error)) from error


def _head_bytes(event):
    # Each line has a colon and a space, or two spaces, and its end.
    fields = sum(len(name) + len(value) + 4 for name, value in event.headers)
    return len(event.method) + len(event.target) + len("  HTTP/1.1\r\n") + fields
