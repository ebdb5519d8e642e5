"""Checks the fencing numbers of orders to an engine.

Two holders may race to send orders to one engine, and some engines ignore the fencing
number. Without the check a late order of a superseded holder would revert a newer one.
All orders pass through the sidecar, so its check covers both kinds of engine.
"""

from typing import NamedTuple

import anyio

from cherryrudder.model.errors import RequestError
from cherryrudder.wire.asgi import Request, json_reply
from cherryrudder.wire.errors import StatusError, WireError

from .controlclient import read_fence
from .errors import NoQuorum

ORDER_TIMEOUT_S = 30.0


class Order(NamedTuple):
    """An order to an engine: load a model, adapter or version, or change role."""

    fence: int
    order: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class FenceGuard:
    """Forwards orders, and records the highest fencing number forwarded."""

    def __init__(self, process, client, back_end):
        self.process = process
        self.client = client
        self.back_end = back_end
        self.highest = 0
        self._is_known = False
        self._lock = anyio.Lock()

    async def order(self, request: Request):
        """Forward an order unless a newer one was forwarded; one at a time."""
        order = await request.json(Order)
        # One order at a time: an engine that ignores the number would otherwise end
        # with whichever of two overlapping orders it finished last.
        async with self._lock:
            await self._read_highest()
            if order.fence <= self.highest:
                message = f"fencing number {order.fence} is not above {self.highest}"
                raise RequestError(409, "old-fence", message, "fence")
            self.highest = order.fence
            return await self._pass_on(order)

    async def _read_highest(self):
        # A restarted sidecar has no record of earlier orders. Without the number from
        # the log it would forward a late order of an old holder.
        if self._is_known:
            return
        try:
            taken = await read_fence(
                self.process, self.process.settings.sidecar.endpoint
            )
        except NoQuorum as error:
            raise RequestError(503, "no-quorum", str(error)) from error
        # The newest number may belong to an order that has not arrived yet.
        self.highest = max(self.highest, taken - 1)
        self._is_known = True

    async def _pass_on(self, order):
        try:
            answer = await self.client.call(
                "POST", f"{self.back_end}/v1/orders", order, dict, ORDER_TIMEOUT_S
            )
        except StatusError as error:
            raise RequestError(error.status, "refused", str(error.body)) from error
        except WireError as error:
            raise RequestError(502, "no-answer", str(error)) from error
        return json_reply(answer)
