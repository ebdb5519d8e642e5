"""HTTP server for clients: parses requests strictly and writes answers.

It uses h11 on plain sockets instead of hypercorn, which can't guarantee two things: an
answer that the engine cut off must not look complete to the client, and a client's
disconnect must cancel the work at the engine at once.
"""

import contextlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio
import h11

from cherryrudder.wire.errors import StreamBroken, StreamEnded, WireError
from cherryrudder.wire.sockets import Stream

from .errors import BadRequest, ClientGone
from .framing import BYTES_PER_UNIT, RequestFramer
from .targets import to_origin_form
from .turns import SLICE_UNITS, TurnQueue

READ_BYTES = 64 * 1024
LINE_END = b"\r\n"
# Longer heads are refused unparsed, so that their refusal names no request.
MAX_PARSED_HEADS = 2
# Bytes that a client may send while its previous request is being answered.
MAX_PIPELINED_BYTES = 64 * 1024
# A client that reads nothing for this long counts as disconnected. The platform's
# clients give up on a stream after two seconds without data.
WRITE_TIMEOUT_S = 5.0
# How long a refused request is read on. Closed at once, the connection is reset, and
# the client loses the refusal while it still sends (RFC 9112, 9.6).
LINGER_S = 2.0
# Statuses of requests beyond the limits on sizes.
TOO_LARGE = frozenset({413, 431})

Headers = list[tuple[bytes, bytes]]


class Limits(NamedTuple):
    """Size limits of requests, and timeouts for reading them and for idling."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    # Set while others may be in force: when to repeat a request beyond these.
    retry_after_s: float | None = None


class Request(NamedTuple):
    """A request with its whole body."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_s: float


class Exchange:
    """A request and the state of its answer."""

    def __init__(self, connection: "ClientConnection", request: Request):
        self.connection = connection
        self.request = request
        self.has_begun = False
        self.is_done = False
        self.is_gone = False

    async def answer(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete answer; raises ClientGone."""
        headers = [*headers, (b"content-length", b"%d" % len(body))]
        await self.begin(status, headers)
        await self.send(body)
        await self.end()

    async def begin(self, status: int, headers: Headers) -> None:
        """Send an answer's status and headers; raises ClientGone."""
        if self.connection.is_closing():
            headers = [*headers, (b"connection", b"close")]
        self.has_begun = True
        event = h11.Response(status_code=status, headers=headers)
        await self.connection.write(event)

    async def send(self, data: bytes) -> None:
        """Send a part of the body; raises ClientGone."""
        if data:
            await self.connection.write(h11.Data(data=data))

    async def end(self) -> None:
        """Mark the answer as complete; raises ClientGone."""
        await self.connection.write(h11.EndOfMessage())
        self.is_done = True


Handler = Callable[[Exchange], Awaitable[None]]
# Called with the headers of a request that is refused without its handler.
OnRefused = Callable[[BadRequest, Headers], None]


class ClientConnection:
    """A client's keep-alive connection."""

    def __init__(
        self,
        stream: Stream,
        limits: Callable[[], Limits],
        now_s: Callable[[], float],
        is_closing: Callable[[], bool],
        on_refused: OnRefused = lambda error, headers: None,
        turns: TurnQueue | None = None,
    ):
        self._turns = turns or TurnQueue()
        # Whether the present request's head has been read, and how long it is.
        self._has_head = False
        self._head_bytes = 0
        # The work that the present request has taken so far.
        self._done_units = 0
        self._on_refused = on_refused
        # Headers of the request that is being read, empty until they are parsed.
        self._headers: Headers = []
        self._stream = stream
        self._limits = limits
        self._now_s = now_s
        self.is_closing = is_closing
        # Set while a request is being read or answered.
        self.is_busy = False
        self._framer = RequestFramer()
        self._http = _new_parser(limits())

    async def run(self, handler: Handler) -> None:
        """Serve requests until either side closes the connection."""
        try:
            while await self._serve_one(handler):
                self._framer.begin_next()
                self._has_head = False
                self._head_bytes = self._done_units = 0
        except (ClientGone, WireError):
            # The unfinished request was already logged.
            pass
        finally:
            self._end()

    def _end(self):
        """Close; reset if the answer is incomplete, so that it can't look complete."""
        if self._http.our_state is h11.SEND_BODY:
            self._stream.abort()
        else:
            self._stream.close()

    def close(self) -> None:
        """Close after all written data has been sent."""
        self._stream.close()

    async def write(self, event) -> None:
        """Write one HTTP event; raises ClientGone."""
        data = self._http.send(event)
        if not data:
            return
        if not self._stream.is_write_paused:
            # The usual case: avoid the cost of a timer for each event.
            self._write_now(data)
            return
        try:
            with anyio.fail_after(WRITE_TIMEOUT_S):
                await self._stream.send(data)
        except (TimeoutError, StreamBroken) as error:
            raise ClientGone("the client stopped reading") from error

    def _write_now(self, data):
        try:
            self._stream.write(data)
        except StreamBroken as error:
            raise ClientGone("the client has gone") from error

    async def _serve_one(self, handler):
        """Serve one request; return whether the connection can be reused."""
        try:
            request = await self._read_request()
        except BadRequest as error:
            await self._send_error(error)
            self.is_busy = False
            await self._linger()
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
        """Keep reading while the request is handled; cancel it on a disconnect.

        Otherwise an engine would go on working for no client, in a slot that other
        requests wait for.
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
            self._framer.receive(data)

    async def _send_error(self, error):
        """Answer an invalid request with an error status."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self._on_refused(error, self._headers)
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        status, retry_after_s = error.status, self._limits().retry_after_s
        if status in TOO_LARGE and retry_after_s is not None:
            status = 503
            headers.append((b"retry-after", b"%.3f" % retry_after_s))
        await self.write(h11.Response(status_code=status, headers=headers))
        await self.write(h11.EndOfMessage())

    async def _linger(self):
        """Read on after a refusal, until the client has closed or some time passed."""
        self._stream.end_writing()
        with contextlib.suppress(StreamEnded, StreamBroken):
            with anyio.move_on_after(LINGER_S):
                while True:
                    await self._take_turn(READ_BYTES // BYTES_PER_UNIT)
                    await self._stream.receive(READ_BYTES)

    async def _read_request(self):
        """Return the next request, or None when the client closes or idles too long."""
        if not await self._wait_for_request():
            return None
        # Of this moment, as they may have changed since the connection was opened.
        limits = self._limits()
        self._http = _new_parser(limits)
        self._headers = []
        head = await self._read_head(limits)
        if head is None:
            return None
        self.is_busy = True
        arrived_s = self._now_s()
        body = await self._read_body(head, limits)
        target, headers = to_origin_form(bytes(head.target), self._headers)
        return Request(bytes(head.method), target, headers, body, arrived_s)

    async def _wait_for_request(self):
        """Wait for the first bytes of a request; return false if none come."""
        while not self._framer.has_request():
            with anyio.move_on_after(self._limits().idle_timeout_s) as scope:
                if not await self._receive():
                    return False
            if scope.cancelled_caught:
                return False
        return True

    async def _read_head(self, limits):
        end_s = self._now_s() + limits.header_timeout_s
        while True:
            event = await self._next_event(limits)
            if isinstance(event, h11.Request):
                self._headers = [(bytes(name), bytes(v)) for name, v in event.headers]
                # The parser limits the head only if it arrives in several reads.
                if self._head_bytes - len(LINE_END) > limits.max_header_bytes:
                    raise BadRequest(431, "the head is too long")
                self._framer.begin_body(event.headers)
                self._has_head = True
                return event
            if event is not h11.NEED_DATA:
                return None
            with anyio.move_on_after(max(0.0, end_s - self._now_s())) as scope:
                if not await self._receive():
                    return None
            if scope.cancelled_caught:
                raise BadRequest(408, "the head took too long")

    async def _read_body(self, head, limits):
        length = dict(head.headers).get(b"content-length", b"0")
        if int(length) > limits.max_body_bytes:
            raise BadRequest(413, "the body is too long")
        if self._http.they_are_waiting_for_100_continue:
            await self.write(h11.InformationalResponse(status_code=100, headers=[]))
        pieces, size = [], 0
        while True:
            event = await self._next_event(limits)
            if isinstance(event, h11.Data):
                pieces.append(bytes(event.data))
                size += len(event.data)
                if size > limits.max_body_bytes:
                    raise BadRequest(413, "the body is too long")
            elif isinstance(event, h11.EndOfMessage):
                # Whoever handles the request reads all of its body at once.
                await self._take_turn(size // BYTES_PER_UNIT)
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
        """Read some bytes; return false when the client has closed the connection."""
        try:
            data = await self._stream.receive(READ_BYTES)
        except (StreamEnded, StreamBroken):
            return False
        self._framer.receive(data)
        return True

    async def _take_turn(self, units):
        await self._turns.take(self._done_units, units)
        self._done_units += units

    async def _next_event(self, limits):
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise BadRequest(error.error_status_hint, str(error)) from error
            if event is not h11.NEED_DATA or not self._framer.unread_bytes():
                return event
            await self._take_turn(self._framer.cost_units(SLICE_UNITS))
            data = self._framer.take()
            if not data:
                return event
            if not self._has_head:
                self._head_bytes += len(data)
                if self._head_bytes > MAX_PARSED_HEADS * limits.max_header_bytes:
                    raise BadRequest(431, "the head is too long")
            self._http.receive_data(data)


def _new_parser(limits):
    return h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_header_bytes)
