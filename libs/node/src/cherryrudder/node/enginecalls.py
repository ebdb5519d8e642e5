"""This system's own calls to engines: reports, orders and changes of a chain."""

import anyio

from cherryrudder.layers.chains import Chain
from cherryrudder.platform import calls, engines
from cherryrudder.relay.client import open_connection
from cherryrudder.relay.errors import RelayError
from cherryrudder.replica.clock import now_s

from .errors import EngineCallFailed

# A report or an order is answered within some milliseconds; an engine that takes
# longer is dead or cut off.
CALL_S = 0.5
MAX_ANSWER_BYTES = 1024 * 1024


async def get_report(address: str, timeout_s: float = CALL_S) -> engines.Report:
    """Return an engine's report; raises EngineCallFailed."""
    status, body = await _call(address, b"GET", calls.REPORT_PATH, b"", timeout_s)
    if status != 200:
        raise EngineCallFailed(f"{address}: report: status {status}")
    result = engines.read_report(body)
    if result.is_error():
        raise EngineCallFailed(f"{address}: report: {result.error}")
    return result.ok


async def send_order(address: str, order: engines.Order) -> int:
    """Order an engine to hold layers; return the status; raises EngineCallFailed.

    Without an answer the order may still be carried out seconds later.
    """
    body = engines.write_order(order)
    status, _ = await _call(address, b"POST", calls.ORDER_PATH, body, CALL_S)
    return status


async def reroute(address: str, request_id: str, chain: Chain) -> tuple[int, str]:
    """Carry a running request on over another chain; return status and fault address.

    Raises EngineCallFailed.
    """
    body = engines.write_reroute(request_id, chain)
    status, answer = await _call(address, b"POST", calls.ORDER_PATH, body, CALL_S)
    return status, engines.read_fault_address(answer)


async def _call(address, method, path, body, timeout_s):
    try:
        with anyio.fail_after(timeout_s):
            return await _exchange(address, method, path, body, timeout_s)
    except (RelayError, TimeoutError) as error:
        raise EngineCallFailed(f"{address}: {path}: {error or 'timeout'}") from error


async def _exchange(address, method, path, body, timeout_s):
    connection = await open_connection(address, timeout_s, now_s())
    try:
        headers = [(b"host", address.encode()), (b"connection", b"close")]
        if body:
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", b"%d" % len(body)))
        await connection.send(method, path.encode(), headers, body)
        head = await connection.read_head(timeout_s)
        return head.status, await _read_body(connection)
    finally:
        connection.close()


async def _read_body(connection):
    pieces, size = [], 0
    while (data := await connection.read()) is not None:
        pieces.append(data)
        size += len(data)
        if size > MAX_ANSWER_BYTES:
            raise EngineCallFailed("an answer without end")
    return b"".join(pieces)
