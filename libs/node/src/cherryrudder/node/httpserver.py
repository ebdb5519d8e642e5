"""Listen for HTTP connections, and close them without cutting off an answer."""

from collections.abc import Callable

import anyio
from loguru import logger

from cherryrudder.relay.errors import ClientGone
from cherryrudder.relay.server import (
    ClientConnection,
    Exchange,
    Handler,
    Limits,
    OnRefused,
)
from cherryrudder.relay.turns import TurnQueue
from cherryrudder.replica.clock import now_s
from cherryrudder.wire import clientshares, sockets
from cherryrudder.wire.clientshares import ClientShares
from cherryrudder.wire.errors import WireError

# Limits of a control VM's port, at which configurations arrive.
CALL_LIMITS = Limits(16_384, 16 * 1024 * 1024, 3.0, 60.0)
# Limits of the ports at which a process's state is read.
PROBE_LIMITS = Limits(16_384, 65_536, 3.0, 60.0)

log = logger.bind(part="clients")


class HttpServer:
    """The connections of one listening address."""

    def __init__(
        self,
        handler: Handler,
        shares: ClientShares | None = None,
        limits: Limits = CALL_LIMITS,
    ):
        self.handler = handler
        # What is held for the clients, and the work done for them.
        self.shares = shares or ClientShares()
        self.turns = TurnQueue()
        # Returns the limits in force.
        self.limits: Callable[[], Limits] = lambda: limits
        # If set, answers announce that the connection closes after them.
        self.is_closing = False
        self.connections: set[ClientConnection] = set()
        # Called with each request that is refused without its handler.
        self.on_refused: OnRefused = lambda error, headers: []
        # Returns whether new connections are closed without being read.
        self.refuses: Callable[[], bool] = lambda: not self.has_place()

    def has_place(self) -> bool:
        """Return whether one more connection may be opened; others may be dropped."""
        return clientshares.make_place(self.shares, now_s())

    def close_idle(self) -> None:
        """Close the connections without a request in flight.

        A request that arrives during the close is not read, which its client can see.
        """
        for connection in tuple(self.connections):
            if not connection.is_busy:
                connection.close()

    def busy(self) -> int:
        """Return how many requests are being read or answered."""
        return sum(connection.is_busy for connection in self.connections)


async def serve(server: HttpServer, address: str) -> None:
    """Answer requests at an address until cancelled."""

    async def handle_request(exchange: Exchange):
        try:
            await server.handler(exchange)
        except (ClientGone, WireError):
            raise
        except Exception as error:
            log.opt(exception=error).error("A request's handler failed: {!r}.", error)
            # An answer that has begun ends with its connection, visibly incomplete.
            if not exchange.has_begun:
                await exchange.answer(500, [])

    async def handle(stream):
        connection = ClientConnection(
            stream,
            server.limits,
            now_s,
            lambda: server.is_closing,
            server.on_refused,
            server.shares,
            server.turns,
        )
        server.connections.add(connection)
        try:
            await connection.run(handle_request)
        except Exception as error:
            # An error in one connection must not end all others.
            log.opt(exception=error).error("A connection failed: {!r}.", error)
        finally:
            server.connections.discard(connection)

    async with anyio.create_task_group() as group:
        listener = await sockets.listen(
            address, handle, group, lambda: server.refuses(), sockets.HTTP_BUFFERS
        )
        try:
            await anyio.sleep_forever()
        finally:
            listener.close()
