"""HTTP servers on hypercorn, in the process's only event loop."""

import asyncio

import anyio
from hypercorn.asyncio import serve as hypercorn_serve
from hypercorn.config import Config
from loguru import logger

from cherryrudder.model.settings import split_address

# Long enough for long polls and for idle connections in clients' pools.
KEEP_ALIVE_S = 75.0
# Requests are drained before a server is closed, so only idle connections are left.
CLOSE_TIMEOUT_S = 1.0
BACKLOG = 1024

log = logger.bind(part="http")


def listener_config(address: str) -> Config:
    """Return hypercorn's configuration for one address."""
    split_address(address)
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.backlog = BACKLOG
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = CLOSE_TIMEOUT_S
    config.shutdown_timeout = CLOSE_TIMEOUT_S
    config.include_server_header = False
    config.include_date_header = False
    return config


async def serve(app, address: str, stopping: anyio.Event) -> None:
    """Serve an ASGI application until `stopping` is set."""
    config = listener_config(address)
    try:
        await hypercorn_serve(app, config, shutdown_trigger=stopping.wait, mode="asgi")
    except asyncio.InvalidStateError:
        # hypercorn reads the exception of its cancelled tasks. This happens only while
        # the process is exiting, and must not hide the original error.
        log.debug("The server at {} was cancelled.", address)


async def wait_listening(address: str, timeout_s: float) -> None:
    """Wait until an address accepts connections; raises TimeoutError."""
    host, port = split_address(address)
    with anyio.fail_after(timeout_s):
        while True:
            try:
                _, writer = await asyncio.open_connection(host, port)
            except OSError:
                await anyio.sleep(0.02)
                continue
            writer.close()
            return
