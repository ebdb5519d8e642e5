"""Pool of idle keep-alive connections to engines."""

import math

from .client import EngineConnection, open_connection

# Engines close connections after the idle time that they state. A request sent just
# before that would cross the close on its way.
KEEP_ALIVE_MARGIN_S = 1.0
# Idle time assumed for engines that state none.
DEFAULT_KEEP_ALIVE_S = 4.0
# Per engine. Each idle connection counts against the engine's connection limit, which
# all entries share.
MAX_IDLE_CONNECTIONS = 8


class Pool:
    """Idle connections by address, the most recently used last."""

    def __init__(self):
        self.idle: dict[str, list[EngineConnection]] = {}
        self.opened = 0


async def acquire(
    pool: Pool, address: str, timeout_s: float, now_s: float, limit_s: float = math.inf
) -> tuple[EngineConnection, bool]:
    """Return a pooled or new connection and whether it is new; raises ConnectFailed."""
    idle = pool.idle.get(address, [])
    while idle:
        connection = idle.pop()
        if _is_fresh(connection, now_s) and not connection.is_readable():
            return connection, False
        connection.close()
    return await acquire_new(pool, address, timeout_s, now_s, limit_s), True


async def acquire_new(
    pool: Pool, address: str, timeout_s: float, now_s: float, limit_s: float = math.inf
) -> EngineConnection:
    """Open a new connection and count it; raises ConnectFailed."""
    pool.opened += 1
    return await open_connection(address, timeout_s, now_s, limit_s)


def release(pool: Pool, connection: EngineConnection, now_s: float) -> None:
    """Return a connection to the pool, or close it if it can't be reused."""
    idle = pool.idle.setdefault(connection.address, [])
    if connection.prepare_reuse(now_s) and len(idle) < MAX_IDLE_CONNECTIONS:
        idle.append(connection)
    else:
        connection.close()


def close_idle(pool: Pool, address: str) -> None:
    """Close the idle connections to an engine that is considered dead.

    A request sent on one of them would be reset and count as possibly executed.
    """
    for connection in pool.idle.pop(address, ()):
        connection.close()


def close_expired(pool: Pool, known: set[str], now_s: float) -> None:
    """Close connections that are idle too long or whose address is not in `known`."""
    for address, idle in list(pool.idle.items()):
        is_known = address in known
        kept = [c for c in idle if is_known and _is_fresh(c, now_s)]
        dropped = [c for c in idle if c not in kept]
        pool.idle[address] = kept
        for connection in dropped:
            connection.close()
        if not pool.idle[address]:
            del pool.idle[address]


def _is_fresh(connection, now_s):
    limit_s = connection.keep_alive_s
    limit_s = DEFAULT_KEEP_ALIVE_S if limit_s is None else limit_s - KEEP_ALIVE_MARGIN_S
    return now_s - connection.last_used_s < limit_s
