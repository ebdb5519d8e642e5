"""Expected and longest permitted waits of queued requests.

Urgent and short requests arrive among a batch of long ones of the same customer. If the
estimate ignored the requests that will overtake a new one, the new one would be
admitted, wait until it expires, and its caller would get a late refusal in place of an
early one.
"""

from cherryrudder.model.contracts import Contract

from . import fairqueue, limits, refusal
from .fairqueue import FairQueue, QueueAhead, QueuedRequest
from .limits import Limits
from .refusal import Drain, Wait

# The fractions of the longest wait by which less urgent and longer requests may be
# overtaken. Together they are a half; the other half is the longest wait of urgent and
# short ones.
PRIORITY_FRACTION = 0.25
SIZE_FRACTION = 0.25


def allowance_s(contract: Contract, priority: int, cost_tokens: float) -> float:
    """Return how long after its arrival a request may still be overtaken by others."""
    level = min(max(priority, 0), contract.priorities - 1)
    urgency_s = PRIORITY_FRACTION * contract.max_wait_s * level / contract.priorities
    # A long request loses little by a wait in proportion to its length, at the speed
    # that the contract gives to one of its concurrent requests.
    run_s = cost_tokens * contract.concurrent_requests / contract.tokens_per_s
    return urgency_s + min(SIZE_FRACTION * contract.max_wait_s, run_s)


def wait_budget_s(
    contract: Contract, request: QueuedRequest, start_by_s, now_s
) -> float:
    """Return the longest expected wait with which a new request is admitted.

    Urgent requests leave room within the longest wait for those that they overtake. If
    they took all of it, less urgent ones would be admitted only to expire.
    """
    allowed_s = request.order_s - request.arrived_s
    room_s = (PRIORITY_FRACTION + SIZE_FRACTION) * contract.max_wait_s - allowed_s
    latest_s = request.arrived_s + contract.max_wait_s - room_s
    return min(start_by_s, latest_s) - now_s


def expected_wait(
    queue: FairQueue,
    own: Limits,
    drain: Drain,
    request: QueuedRequest,
    ahead: QueueAhead,
    now_s: float,
) -> Wait:
    """Return the expected wait of a request behind `ahead`."""
    run_s = refusal.mean_run_s(drain)
    tokens = request.cost_tokens
    limit_s = limits.limit_wait_s(own, ahead.count, ahead.tokens, tokens, run_s, now_s)
    all_ahead = fairqueue.tokens_ahead(
        queue, request.customer, request.model, ahead.model_tokens
    )
    return Wait(limit_s, refusal.platform_wait_s(drain, all_ahead, now_s))
