"""A client's request, and the way to answer it."""

from typing import TYPE_CHECKING, NamedTuple

import h11

if TYPE_CHECKING:
    from .server import ClientConnection

# A longer part of a body is written in several pieces, each once the client has taken
# what was written before.
PIECE_BYTES = 64 * 1024

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

    def hold(self, size: int) -> bool:
        """Count bytes that are held for this request until it has ended.

        Returns false if there is no room for them.
        """
        return self.connection.hold(size)

    async def answer(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete answer; raises ClientGone."""
        headers = [*headers, (b"content-length", b"%d" % len(body))]
        await self.begin(status, headers)
        self.connection.is_patient = True
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
        for at in range(0, len(data), PIECE_BYTES):
            await self.connection.write(h11.Data(data=data[at : at + PIECE_BYTES]))

    async def end(self) -> None:
        """Mark the answer as complete; raises ClientGone."""
        await self.connection.write(h11.EndOfMessage())
        self.is_done = True
