"""The router's own calls to engines: reports, orders and reroutes."""

import math

from cherryrudder.layers.chains import Chain
from cherryrudder.platform import calls, engines
from cherryrudder.relay import pool
from cherryrudder.relay.errors import RelayError
from cherryrudder.relay.pool import Pool
from cherryrudder.replica.clock import now_s
from cherryrudder.wire import timeouts

from .errors import EngineCallFailed

# A report or an order is answered within some milliseconds; an engine that takes longer
# than this is dead or unreachable.
CALL_TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 1024 * 1024


async def get_report(
    address: str, timeout_s: float = CALL_TIMEOUT_S, kept: Pool | None = None
) -> engines.Report:
    """Return an engine's report; raises EngineCallFailed.

    With a pool in `kept`, the connection is taken from there and returned afterwards.
    """
    call = (b"GET", calls.REPORT_PATH, b"")
    status, body = await _call(address, call, timeout_s, kept)
    if status != 200:
        raise EngineCallFailed(f"{address}: report: status {status}")
    result = engines.read_report(body)
    if result.is_error():
        raise EngineCallFailed(f"{address}: report: {result.error}")
    return result.ok


async def send_order(address: str, order: engines.Order) -> int:
    """Order an engine to hold layers and return the status; raises EngineCallFailed.

    An order without an answer may still be executed seconds later.
    """
    body = engines.write_order(order)
    status, _ = await _call(address, (b"POST", calls.ORDER_PATH, body), CALL_TIMEOUT_S)
    return status


async def reroute(address: str, request_id: str, chain: Chain) -> tuple[int, str]:
    """Reroute a running request over another chain; return status and fault address.

    Raises EngineCallFailed.
    """
    body = engines.write_reroute(request_id, chain)
    call = (b"POST", calls.ORDER_PATH, body)
    status, answer = await _call(address, call, CALL_TIMEOUT_S)
    return status, engines.read_fault_address(answer)


async def _call(address, call, timeout_s, kept=None):
    connection = None
    try:
        with timeouts.fail_after(timeout_s) as timeout:
            kept = kept or Pool()
            connection, _ = await pool.acquire(kept, address, math.inf, now_s())
            return await _exchange(address, call, connection, kept)
    except (RelayError, TimeoutError) as error:
        stage = "connect" if connection is None else "answer"
        message = f"{address}: {call[1]}: {stage}: {str(error) or 'timeout'}"
        raise EngineCallFailed(message, timeout.paused_s, timeout.is_unclear) from error


async def _exchange(address, call, connection, kept):
    method, path, body = call
    is_done = False
    try:
        headers = [(b"host", address.encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", b"%d" % len(body)))
        await connection.send(method, path.encode(), headers, body)
        head = await connection.read_head(math.inf)
        answer = await _read_body(connection)
        is_done = True
        return head.status, answer
    finally:
        if is_done and method == b"GET":
            pool.release(kept, connection, now_s())
        else:
            connection.close()


async def _read_body(connection):
    pieces, size = [], 0
    while (data := await connection.read()) is not None:
        pieces.append(data)
        size += len(data)
        if size > MAX_ANSWER_BYTES:
            raise EngineCallFailed("the answer is too long")
    return b"".join(pieces)
