"""Idle connections to engines, kept for the next request."""

from .client import EngineConnection, open_connection

# An engine closes after the idle time that it states; one that goes out at the last
# moment crosses the close on its way.
KEEP_ALIVE_MARGIN_S = 1.0
# Used for engines that state no idle time.
DEFAULT_KEEP_ALIVE_S = 4.0
# Idle connections kept to one engine. Each counts against the engine's own limit, which
# all entries share.
MAX_IDLE_CONNECTIONS = 8


class Pool:
    """Idle connections by address, the last used one last."""

    def __init__(self):
        self.idle: dict[str, list[EngineConnection]] = {}
        self.opened = 0


async def acquire(
    pool: Pool, address: str, timeout_s: float, now_s: float
) -> tuple[EngineConnection, bool]:
    """Return a connection, and whether it is a new one; raises ConnectFailed."""
    idle = pool.idle.get(address, [])
    while idle:
        connection = idle.pop()
        if _is_fresh(connection, now_s) and not connection.is_readable():
            return connection, False
        connection.close()
    return await acquire_new(pool, address, timeout_s, now_s), True


async def acquire_new(
    pool: Pool, address: str, timeout_s: float, now_s: float
) -> EngineConnection:
    """Return a new connection; raises ConnectFailed."""
    pool.opened += 1
    return await open_connection(address, timeout_s, now_s)


def release(pool: Pool, connection: EngineConnection, now_s: float) -> None:
    """Keep a connection whose answer was read in full, or close it."""
    idle = pool.idle.setdefault(connection.address, [])
    if connection.prepare_reuse(now_s) and len(idle) < MAX_IDLE_CONNECTIONS:
        idle.append(connection)
    else:
        connection.close()


def close_idle(pool: Pool, address: str) -> None:
    """Close the idle connections to an engine that is thought to be dead.

    A request on one of them would be reset, and count as one that may have run.
    """
    for connection in pool.idle.pop(address, ()):
        connection.close()


def close_expired(pool: Pool, known: set[str], now_s: float) -> None:
    """Close what is too old, and all to addresses that are no longer known."""
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
