"""Read a client's requests from its connection, in turns with other clients."""

from collections.abc import Callable

import anyio
import h11

from cherryrudder.wire.clientshares import Bound
from cherryrudder.wire.errors import StreamBroken, StreamEnded
from cherryrudder.wire.sockets import HTTP_BUFFERS, Stream

from .errors import BadRequest, ClientGone, NoRoom
from .exchange import Headers, Limits, Request
from .framing import BYTES_PER_UNIT, RequestFramer
from .targets import to_origin_form
from .turns import SLICE_UNITS, TurnQueue

READ_BYTES = 64 * 1024
# Bytes that a client may send while its previous request is being answered.
MAX_PIPELINED_BYTES = 64 * 1024
# What the stream and the kernel hold of a client that sends faster than it is read.
READ_AHEAD_BYTES = (
    HTTP_BUFFERS.read_bytes + HTTP_BUFFERS.high_water_bytes + HTTP_BUFFERS.kernel_bytes
)
# Memory of a header line besides its bytes.
LINE_BYTES = 400
# Longer heads are refused unparsed, so that their refusal names no request.
MAX_PARSED_HEADS = 2
BLOCK_BYTES = 64 * 1024
LINE_END = b"\r\n"


class RequestReader:
    """The bytes of one client's connection, and the request that is being read."""

    def __init__(
        self,
        stream: Stream,
        limits: Callable[[], Limits],
        now_s: Callable[[], float],
        turns: TurnQueue,
        hold: Callable[[int], bool],
    ):
        self._stream = stream
        self._limits = limits
        self._now_s = now_s
        self._turns = turns
        # Counts bytes that are held until the request has ended; false without room.
        self._hold = hold
        self._framer = RequestFramer()
        self.http = _new_parser(limits())
        # Headers of the request that is being read, empty until they are parsed.
        self.headers: Headers = []
        # The head of a request has been read.
        self.has_head = False
        self._head_bytes = 0
        # The work that this request has taken so far.
        self._done_units = 0

    def begin_next(self) -> None:
        """Go on to the next request."""
        self._framer.begin_next()
        self.headers, self.has_head = [], False
        self._head_bytes = self._done_units = 0

    async def wait_for_request(self) -> bool:
        """Wait for the first bytes of a request; return false if none come."""
        while not self._framer.has_request():
            with anyio.move_on_after(self._limits().idle_timeout_s) as scope:
                if not await self._receive():
                    return False
            if scope.cancelled_caught:
                return False
        return True

    async def read(self) -> Request | None:
        """Return a request that has begun, None if the client leaves.

        Raises BadRequest, ClientGone.
        """
        # Of this moment, as they may have changed since the connection was opened.
        limits = self._limits()
        self.http = _new_parser(limits)
        self._take_room(self._framer.unread_bytes())
        head = await self._read_head(limits)
        if head is None:
            return None
        method, target = bytes(head.method), bytes(head.target)
        # The parsed head takes several times its bytes.
        del head
        arrived_s = self._now_s()
        body = await self._read_body(limits)
        target, headers = to_origin_form(target, self.headers)
        return Request(method, target, headers, body, arrived_s)

    async def read_ahead(self) -> None:
        """Read further requests until the client leaves or has sent enough of them.

        Raises StreamEnded or StreamBroken when it leaves, ClientGone if there is no
        room.
        """
        pipelined_bytes = 0
        while pipelined_bytes < MAX_PIPELINED_BYTES:
            data = await self._stream.receive(READ_BYTES)
            pipelined_bytes += len(data)
            self._framer.receive(data)
            if not self._hold(len(data)):
                raise ClientGone("no room for requests in a row")
        if not self._hold(READ_AHEAD_BYTES):
            raise ClientGone("no room for requests in a row")

    async def discard(self) -> None:
        """Discard what the client still sends, until it leaves."""
        units = READ_BYTES // BYTES_PER_UNIT
        while True:
            await self._turns.take(self._done_units, units)
            self._done_units += units
            await self._stream.receive(READ_BYTES)

    async def _read_head(self, limits):
        end_s = self._now_s() + limits.header_timeout_s
        is_held = False
        while True:
            event = await self._next_event(limits)
            if isinstance(event, h11.Request):
                self.headers = [(bytes(name), bytes(v)) for name, v in event.headers]
                # The parser limits the head only if it arrives in several reads.
                if self._head_bytes - len(LINE_END) > limits.max_header_bytes:
                    raise BadRequest(431, "the head is too long")
                self._framer.begin_body(event.headers)
                self.has_head = True
                self._take_room(self._head_bytes + LINE_BYTES * len(self.headers))
                return event
            if event is not h11.NEED_DATA:
                return None
            if not is_held:
                self._take_room(limits.max_header_bytes)
                is_held = True
            with anyio.move_on_after(max(0.0, end_s - self._now_s())) as scope:
                if not await self._receive():
                    return None
            if scope.cancelled_caught:
                raise BadRequest(408, "the head took too long")

    async def _read_body(self, limits):
        length = dict(self.headers).get(b"content-length", b"0")
        if int(length) > limits.max_body_bytes:
            raise BadRequest(413, "the body is too long")
        if self.http.they_are_waiting_for_100_continue:
            event = h11.InformationalResponse(status_code=100, headers=[])
            self._stream.write(self.http.send(event))
        # Pieces of any size are gathered in blocks, whose memory others can use again.
        blocks, size, is_held = [bytearray()], 0, False
        while True:
            event = await self._next_event(limits)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.max_body_bytes:
                    raise BadRequest(413, "the body is too long")
                self._take_room(len(event.data))
                if len(blocks[-1]) + len(event.data) > BLOCK_BYTES:
                    blocks.append(bytearray())
                blocks[-1] += event.data
            elif isinstance(event, h11.EndOfMessage):
                # Whoever handles the request reads all of its body at once.
                await self._turns.take(self._done_units, size // BYTES_PER_UNIT)
                return b"".join(blocks)
            elif event is not h11.NEED_DATA:
                raise ClientGone("the client left inside a request")
            else:
                if not is_held:
                    self._take_room(READ_AHEAD_BYTES)
                    is_held = True
                await self._receive_in_time(limits.idle_timeout_s)

    def _take_room(self, size):
        if not self._hold(size):
            raise NoRoom(Bound.MEMORY)

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

    async def _next_event(self, limits):
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise BadRequest(error.error_status_hint, str(error)) from error
            if event is not h11.NEED_DATA or not self._framer.unread_bytes():
                return event
            units = self._framer.cost_units(SLICE_UNITS)
            await self._turns.take(self._done_units, units)
            self._done_units += units
            data = self._framer.take()
            if not data:
                return event
            if not self.has_head:
                self._head_bytes += len(data)
                if self._head_bytes > MAX_PARSED_HEADS * limits.max_header_bytes:
                    raise BadRequest(431, "the head is too long")
            self.http.receive_data(data)


def _new_parser(limits):
    return h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_header_bytes)
