"""Orders to an engine, and the fencing number that some engines check."""

from typing import NamedTuple

from expression import Error, Ok, Result

from .errors import OrderRefused


class Order(NamedTuple):
    """An order to load something or change the role; `order` is its kind."""

    fence: int = -1
    order: str = ""
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class Loaded(NamedTuple):
    """What an engine has loaded, and its role."""

    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = "both"


class FenceCheck:
    """The highest fencing number received, and whether orders are checked for it."""

    def __init__(self, checks_fence: bool):
        self.checks_fence = checks_fence
        self.highest_fence = 0


NEEDED_FIELD = {
    "load-model": "model",
    "load-version": "version",
    "load-adapter": "adapter",
    "role": "role",
}


def apply_order(
    fence_check: FenceCheck, loaded: Loaded, order: Order
) -> Result[Loaded, OrderRefused]:
    """Return what is loaded after an order, or why it is refused."""
    field = NEEDED_FIELD.get(order.order)
    if field is None or not getattr(order, field):
        return Error(OrderRefused(f"bad order {order.order!r}"))
    # A delayed order would otherwise undo a newer one: the engine would return to an
    # old model while the system uses it as if the new one were loaded. A number below
    # the highest shows that case; the same number is a resend.
    if fence_check.checks_fence and order.fence < fence_check.highest_fence:
        return Error(OrderRefused("old fence"))
    fence_check.highest_fence = max(fence_check.highest_fence, order.fence)
    return Ok(_loaded_after(loaded, order))


def _loaded_after(loaded, order):
    if order.order == "load-model":
        version = order.version or loaded.version
        return Loaded(order.model, version, (), loaded.role)
    if order.order == "load-version":
        return loaded._replace(version=order.version, adapters=())
    if order.order == "role":
        return loaded._replace(role=order.role)
    adapters = dict.fromkeys((*loaded.adapters, order.adapter))
    return loaded._replace(adapters=tuple(adapters))
