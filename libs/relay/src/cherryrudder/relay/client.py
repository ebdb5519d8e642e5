"""HTTP client for engines: one request at a time per connection, parsed strictly.

It uses h11 on plain sockets instead of httpx, which hides whether a request was sent,
whether bytes follow a complete answer, and whether an answer without a length ended or
was reset.
"""

import contextlib
import math
from typing import NamedTuple

import anyio
import anyio.lowlevel
import h11

from cherryrudder.wire import sockets
from cherryrudder.wire.errors import (
    ConnectFailed as NotConnected,
    StreamBroken,
    StreamEnded,
)

from .errors import AnswerBroken, AnswerLate, ConnectFailed

READ_BYTES = 64 * 1024
# A longer body is written in pieces, each once the engine has taken the one before.
PIECE_BYTES = 64 * 1024
# Parts of an answer that are read before others have their turn.
MAX_PARTS_AT_ONCE = 64
# Engines send some hundred bytes of headers; the limit only stops invalid peers.
MAX_HEAD_BYTES = 64 * 1024
# Statuses have five classes (RFC 9110, 15); the parser takes any three digits from 100.
LAST_STATUS = 599

Headers = list[tuple[bytes, bytes]]


class Head(NamedTuple):
    """Status and headers of an answer."""

    status: int
    headers: Headers


class EngineConnection:
    """A keep-alive connection to an engine."""

    def __init__(self, address: str, stream: sockets.Stream, opened_s: float):
        self.address = address
        self.last_used_s = opened_s
        # Idle time after which the engine closes the connection, from its answers.
        self.keep_alive_s: float | None = None
        self._stream = stream
        self._http = _new_http()
        self._sent: list = []
        # Parts of answers read since others last had their turn.
        self._parts = 0
        # False if the answer ends with its connection.
        self.has_length = True

    async def send(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        timeout_s: float = math.inf,
    ) -> None:
        """Send a request; raises AnswerBroken if the engine closed the connection.

        An engine may answer before it has read the whole body. That answer can still be
        read, but the connection is not reused. Raises AnswerLate if the engine hasn't
        taken the request in `timeout_s`.
        """
        self._sent = [h11.Request(method=method, target=target, headers=headers)]
        if body:
            self._sent.append(h11.Data(data=body))
        self._sent.append(h11.EndOfMessage())
        try:
            if len(body) <= PIECE_BYTES:
                data = b"".join(self._http.send(event) for event in self._sent)
                self._stream.write(data)
            if len(body) > PIECE_BYTES or self._stream.is_write_paused:
                with _limited(timeout_s, "the engine did not take the request in time"):
                    await self._send_long(body)
        except StreamBroken as error:
            raise AnswerBroken("the engine closed the connection") from error

    async def _send_long(self, body):
        """Write what is longer than a piece, and wait until the engine has taken it."""
        if len(body) > PIECE_BYTES:
            self._stream.write(self._http.send(self._sent[0]))
            for at in range(0, len(body), PIECE_BYTES):
                await self._stream.drain()
                part = h11.Data(data=body[at : at + PIECE_BYTES])
                self._stream.write(self._http.send(part))
            self._stream.write(self._http.send(self._sent[-1]))
        await self._stream.drain()

    async def read_head(self, timeout_s: float) -> Head:
        """Return the answer's status and headers; raises AnswerLate, AnswerBroken."""
        with _limited(timeout_s, "the engine did not answer in time"):
            while True:
                event = await self._next_event()
                if isinstance(event, h11.Response):
                    if event.status_code > LAST_STATUS:
                        raise AnswerBroken(f"no status: {event.status_code}")
                    return self._record_head(event)

    async def read(self) -> bytes | None:
        """Return the next part of the body, None at its end; raises AnswerBroken.

        It waits without a limit; see `read_in_time`.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise AnswerBroken("the answer ended before it was complete")

    async def read_in_time(self, timeout_s: float) -> bytes | None:
        """Return the next part of the body, None at its end.

        Raises AnswerBroken, or AnswerLate if nothing has come in `timeout_s`.
        """
        with _limited(timeout_s, "the engine did not finish its answer in time"):
            return await self.read()

    def skip_answer(self) -> None:
        """Reset the parser to read another answer after one to a different request.

        Raises AnswerBroken when the first is incomplete or the connection must close.
        """
        if self._http.their_state is not h11.DONE:
            raise AnswerBroken("an answer to another request is incomplete")
        rest = self._http.trailing_data[0]
        self._http = _new_http()
        # Only moves the new parser to the state that expects an answer; sends nothing.
        for event in self._sent:
            self._http.send(event)
        if rest:
            self._http.receive_data(rest)

    def prepare_reuse(self, now_s: float) -> bool:
        """Reset the parser for the next request; false if the connection must close."""
        if self._http.their_state is not h11.DONE or not self.has_length:
            return False
        if self._http.our_state is not h11.DONE or self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        self.last_used_s = now_s
        return not self.is_readable()

    def is_readable(self) -> bool:
        """Return whether the idle connection was closed or got unsolicited bytes."""
        return self._stream.is_readable()

    def close(self) -> None:
        """Close the connection immediately, even in the middle of an answer."""
        self._stream.abort()

    def _record_head(self, event):
        headers = [(bytes(name), bytes(value)) for name, value in event.headers]
        found = dict(headers)
        self.keep_alive_s = _parse_keep_alive_s(found.get(b"keep-alive", b""))
        self.has_length = (
            b"content-length" in found
            or b"transfer-encoding" in found
            or event.status_code in (204, 304)
        )
        return Head(event.status_code, headers)

    async def _next_event(self):
        while True:
            try:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    await self._let_others()
                    return event
                self._parts = 0
                data = await self._stream.receive(READ_BYTES)
            except StreamEnded:
                data = b""
            except h11.RemoteProtocolError as error:
                raise AnswerBroken(f"invalid HTTP: {error}") from error
            except StreamBroken as error:
                raise AnswerBroken("the connection was reset") from error
            self._feed(data)

    async def _let_others(self):
        """Yield after some parts, since small ones take far more time than bytes."""
        self._parts += 1
        if self._parts > MAX_PARTS_AT_ONCE:
            self._parts = 0
            await anyio.lowlevel.checkpoint()

    def _feed(self, data):
        try:
            self._http.receive_data(data)
        except RuntimeError as error:
            raise AnswerBroken("the connection has ended") from error


async def open_connection(
    address: str, timeout_s: float, now_s: float, limit_s: float = math.inf
) -> EngineConnection:
    """Connect to an engine, within the time left in any case; raises ConnectFailed."""
    try:
        stream = await sockets.connect(
            address, timeout_s, limit_s, sockets.HTTP_BUFFERS
        )
    except NotConnected as error:
        raise ConnectFailed(str(error), error.is_unclear) from error
    return EngineConnection(address, stream, now_s)


@contextlib.contextmanager
def _limited(timeout_s, reason):
    """Raise AnswerLate after some seconds.

    By the clock, as for the caller: a pause of this process counts as well.
    """
    try:
        with anyio.fail_after(max(0.0, timeout_s)):
            yield
    except TimeoutError as error:
        raise AnswerLate(reason) from error


def _new_http():
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _parse_keep_alive_s(value):
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            try:
                return float(number)
            except ValueError:
                return None
    return None
