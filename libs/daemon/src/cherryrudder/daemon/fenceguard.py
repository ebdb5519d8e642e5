"""The fence in front of an engine's orders.

Two holders may race to order one engine, and some engines ignore the fencing number.
Without the fence the late order of a superseded holder would undo a newer one. The
sidecar is the only way to its engine, so its own check covers both kinds.
"""

from typing import NamedTuple

import anyio

from cherryrudder.model.errors import RequestError
from cherryrudder.wire.asgi import Request, json_reply
from cherryrudder.wire.errors import StatusError, WireError

from .controlcalls import read_fence
from .errors import NoQuorum

ORDER_S = 30.0


class Order(NamedTuple):
    """An order to an engine: load a model, adapter or version, or change role."""

    fence: int
    order: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class FenceGuard:
    """The highest fencing number that this sidecar has let through."""

    def __init__(self, process, client, back_end):
        self.process = process
        self.client = client
        self.back_end = back_end
        self.highest = 0
        self._is_known = False
        self._one = anyio.Lock()

    async def order(self, request: Request):
        """Pass an order on unless a newer one has passed; one at a time."""
        order = await request.json(Order)
        # In order and one by one: an engine that ignores the number would otherwise
        # end with whichever of two overlapping orders it finished last.
        async with self._one:
            await self._learn()
            if order.fence <= self.highest:
                message = f"fencing number {order.fence} is not above {self.highest}"
                raise RequestError(409, "old-fence", message, "fence")
            self.highest = order.fence
            return await self._pass_on(order)

    async def _learn(self):
        # A restarted sidecar has forgotten what it let through: without the number
        # from the log it would let an old holder's late order pass.
        if self._is_known:
            return
        try:
            taken = await read_fence(
                self.process, self.process.settings.sidecar.endpoint
            )
        except NoQuorum as error:
            raise RequestError(503, "no-quorum", str(error)) from error
        # The newest number may belong to an order that is yet to come.
        self.highest = max(self.highest, taken - 1)
        self._is_known = True

    async def _pass_on(self, order):
        try:
            answer = await self.client.call(
                "POST", f"{self.back_end}/v1/orders", order, dict, ORDER_S
            )
        except StatusError as error:
            raise RequestError(error.status, "refused", str(error.body)) from error
        except WireError as error:
            raise RequestError(502, "no-answer", str(error)) from error
        return json_reply(answer)
