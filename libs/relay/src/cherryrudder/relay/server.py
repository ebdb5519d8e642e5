"""HTTP server for clients: parses requests strictly and writes answers.

It uses h11 on plain sockets instead of hypercorn, which can't guarantee two things: an
answer that the engine cut off must not look complete to the client, and a client's
disconnect must cancel the work at the engine at once.
"""

import contextlib
from collections.abc import Awaitable, Callable

import anyio
import h11

from cherryrudder.wire import clientshares
from cherryrudder.wire.clientshares import Bound, ClientShares
from cherryrudder.wire.errors import StreamBroken, StreamEnded, WireError
from cherryrudder.wire.sockets import HTTP_BUFFERS, Stream

from .errors import BadRequest, ClientGone, NoRoom
from .exchange import PIECE_BYTES, Exchange, Headers, Limits, Request
from .reading import READ_AHEAD_BYTES, RequestReader
from .turns import TurnQueue

__all__ = ["ClientConnection", "Exchange", "Handler", "Limits", "OnRefused", "Request"]

# A client that reads nothing of a stream for this long counts as disconnected. The
# platform's clients give up on a stream after two seconds without data.
WRITE_TIMEOUT_S = 5.0
# How long a refused request is read on. Closed at once, the connection is reset, and
# the client loses the refusal while it still sends (RFC 9112, 9.6).
LINGER_S = 2.0
# What waits for a client that reads slowly: in its stream and in the kernel, and what
# is read ahead from an engine.
SEND_AHEAD_BYTES = 2 * PIECE_BYTES + HTTP_BUFFERS.kernel_bytes + READ_AHEAD_BYTES
# Statuses of requests beyond the limits on sizes.
TOO_LARGE = frozenset({413, 431})

Handler = Callable[[Exchange], Awaitable[None]]
# Called with the headers of a request that is refused without its handler; returns
# headers for the refusal.
OnRefused = Callable[[BadRequest, Headers], Headers]


class ClientConnection:
    """A client's keep-alive connection."""

    def __init__(
        self,
        stream: Stream,
        limits: Callable[[], Limits],
        now_s: Callable[[], float],
        is_closing: Callable[[], bool],
        on_refused: OnRefused = lambda error, headers: [],
        shares: ClientShares | None = None,
        turns: TurnQueue | None = None,
    ):
        self._on_refused = on_refused
        self._stream = stream
        self._limits = limits
        self._now_s = now_s
        self.is_closing = is_closing
        # Set while a request is being answered.
        self._is_handling = False
        # Set once an answer is written that the client may read as slowly as it sends.
        self.is_patient = False
        self._shares = shares or ClientShares()
        self._holding = clientshares.open_holding(self._shares, self._drop, now_s())
        # Held for the present request.
        self._held_bytes = 0
        self._scope: anyio.CancelScope | None = None
        # Why others took this connection's room.
        self.dropped_for: Bound | None = None
        self._reader = RequestReader(
            stream, limits, now_s, turns or TurnQueue(), self.hold
        )

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being read or answered."""
        return self._is_handling or self._reader.has_head

    async def run(self, handler: Handler) -> None:
        """Serve requests until either side closes the connection."""
        try:
            while await self._serve_one(handler):
                self._reader.begin_next()
            await self._close()
        except (ClientGone, WireError):
            # The unfinished request was already logged.
            pass
        finally:
            self._end()
            clientshares.close_holding(self._shares, self._holding)

    def hold(self, size: int) -> bool:
        """Count bytes held for the present request; return false without room."""
        if not clientshares.hold(self._shares, self._holding, size, self._now_s()):
            return False
        self._held_bytes += size
        return True

    def close(self) -> None:
        """Close after all written data has been sent."""
        self._stream.close()

    async def write(self, event) -> None:
        """Write one HTTP event; raises ClientGone."""
        data = self._reader.http.send(event)
        if not data:
            return
        try:
            self._stream.write(data)
            if self._stream.is_write_paused:
                # Not the usual case: a timer for each event would cost more than it.
                await self._wait_for_reader()
        except StreamBroken as error:
            raise ClientGone("the client has gone") from error

    def _end(self):
        """Close; reset if the answer is incomplete, so that it can't look complete."""
        if self._reader.http.our_state is h11.SEND_BODY or self._stream.unsent_bytes():
            self._stream.abort()
        else:
            self._stream.close()

    def _drop(self, bound):
        """Close the connection, as its room is needed for others."""
        self.dropped_for = bound
        if self._scope is None:
            self._stream.abort()
        else:
            self._scope.cancel()

    @contextlib.contextmanager
    def _droppable(self, scope):
        """Let others take this connection's room while it waits for its client."""
        holding, before = self._holding, (self._holding.is_droppable, self._scope)
        holding.is_droppable, self._scope = True, scope
        try:
            yield
        finally:
            holding.is_droppable, self._scope = before

    async def _wait_for_reader(self):
        """Wait until the client has read enough; raises ClientGone, StreamBroken."""
        if not self.hold(SEND_AHEAD_BYTES):
            raise ClientGone("no room for an answer that is read slowly")
        timeout_s = None if self.is_patient else WRITE_TIMEOUT_S
        try:
            with anyio.CancelScope() as scope, self._droppable(scope):
                await self._read_all(self._stream.drain, timeout_s)
            if self.dropped_for is not None:
                raise ClientGone(f"no room: {self.dropped_for}")
        finally:
            self._release(SEND_AHEAD_BYTES)

    async def _read_all(self, wait, timeout_s=None):
        """Wait as long as the client reads; raises ClientGone if it stops."""
        timeout_s = timeout_s or self._limits().idle_timeout_s
        unsent_bytes = self._stream.unsent_bytes()
        while True:
            with anyio.move_on_after(timeout_s) as scope:
                await wait()
            if not scope.cancelled_caught:
                return
            if self._stream.unsent_bytes() >= unsent_bytes:
                raise ClientGone("the client stopped reading")
            unsent_bytes = self._stream.unsent_bytes()

    def _release(self, size):
        clientshares.release(self._shares, self._holding, size)
        self._held_bytes -= size

    async def _serve_one(self, handler):
        """Serve one request; return whether the connection can be reused."""
        self._begin_waiting()
        try:
            request = await self._read_request()
        except BadRequest as error:
            await self._send_error(error)
            self._reader.has_head, self._reader.headers = False, []
            await self._linger()
            return False
        if request is None:
            return False
        exchange = Exchange(self, request)
        del request
        self._holding.is_droppable = False
        self._is_handling = True
        try:
            await self._run_handler(handler, exchange)
        finally:
            self._is_handling = self._reader.has_head = False
            self._holding.is_droppable = True
        if not exchange.is_done:
            return False
        http = self._reader.http
        return http.our_state is h11.DONE and http.their_state is h11.DONE

    def _begin_waiting(self):
        self._release(self._held_bytes)
        self._holding.since_s = self._now_s()
        self.is_patient = False

    async def _read_request(self):
        """Return the next request, or None when the client closes or idles too long."""
        with anyio.CancelScope() as scope, self._droppable(scope):
            if not await self._reader.wait_for_request():
                return None
            self._holding.since_s = self._now_s()
            request = await self._reader.read()
            if self.dropped_for is None:
                return request
        if not self._reader.has_head:
            return None
        raise NoRoom(self.dropped_for)

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
        try:
            await self._reader.read_ahead()
        except (StreamEnded, StreamBroken, ClientGone):
            exchange.is_gone = True
            scope.cancel()

    async def _send_error(self, error):
        """Answer an invalid request with an error status."""
        http = self._reader.http
        if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = self._on_refused(error, self._reader.headers)
        headers += [(b"content-length", b"0"), (b"connection", b"close")]
        status, retry_after_s = error.status, error.retry_after_s
        if status in TOO_LARGE and self._limits().retry_after_s is not None:
            status, retry_after_s = 503, self._limits().retry_after_s
        if retry_after_s is not None:
            headers.append((b"retry-after", b"%.3f" % retry_after_s))
        await self.write(h11.Response(status_code=status, headers=headers))
        await self.write(h11.EndOfMessage())

    async def _linger(self):
        """Read on after a refusal, until the client has closed or some time passed."""
        self._release(self._held_bytes)
        if self.dropped_for is not None:
            return
        self._stream.end_writing()
        with contextlib.suppress(StreamEnded, StreamBroken):
            with anyio.move_on_after(LINGER_S) as scope, self._droppable(scope):
                await self._reader.discard()

    async def _close(self):
        """Close once the client has taken what was written, or stops reading."""
        if self._reader.http.our_state is h11.SEND_BODY:
            return
        with anyio.CancelScope() as scope, self._droppable(scope):
            self._stream.close()
            await self._read_all(self._stream.wait_closed)
