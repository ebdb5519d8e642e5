"""Listening for HTTP, and ending it without cutting an answer."""

import anyio
from loguru import logger

from cherryrudder.relay.server import ClientConnection, Handler, Limits
from cherryrudder.replica.clock import now_s
from cherryrudder.wire import sockets

# Of the process's own control and readiness ports, whose callers are the platform's.
CALL_LIMITS = Limits(16_384, 16 * 1024 * 1024, 3.0, 60.0)

log = logger.bind(part="clients")


class HttpServer:
    """The connections of one listening address."""

    def __init__(self, handler: Handler):
        self.handler = handler
        self.limits = CALL_LIMITS
        # Set: answers say that the connection ends with them.
        self.is_closing = False
        self.connections: set[ClientConnection] = set()

    def close_idle(self) -> None:
        """Close the connections that no request is under way on.

        A request that crosses the close was not read, and its client knows.
        """
        for connection in tuple(self.connections):
            if not connection.is_busy:
                connection.close()

    def busy(self) -> int:
        """Return how many requests are being read or answered."""
        return sum(connection.is_busy for connection in self.connections)


async def serve(server: HttpServer, address: str) -> None:
    """Answer requests at an address until cancelled."""

    async def handle(stream):
        connection = ClientConnection(
            stream, server.limits, now_s, lambda: server.is_closing
        )
        server.connections.add(connection)
        try:
            await connection.run(server.handler)
        except Exception as error:
            # A fault in one answer must not end all others; the connection closes
            # without an answer that looks complete.
            log.opt(exception=error).error("A request's handler failed.")
        finally:
            server.connections.discard(connection)

    async with anyio.create_task_group() as group:
        listener = await sockets.listen(address, handle, group)
        try:
            await anyio.sleep_forever()
        finally:
            listener.close()
