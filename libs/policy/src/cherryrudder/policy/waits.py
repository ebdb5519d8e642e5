"""How long a request is expected to wait, and how long it may.

Load pattern: urgent and short requests come among a batch of long ones of the same
customer.
Without it: a request is let in on the strength of an estimate that forgets who will
overtake it, waits its time out, and its caller gets a late refusal in place of an
early one.
"""

from cherryrudder.model.contracts import Contract

from . import fairqueue, limits, refusal
from .fairqueue import FairQueue, QueueAhead, QueuedRequest
from .limits import Limits
from .refusal import Drain, Wait

# The parts of the longest wait by which less urgent and longer requests may be
# overtaken. Together a half: the other half is what urgent and short ones may wait.
PRIORITY_FRACTION = 0.25
SIZE_FRACTION = 0.25


def allowance_s(contract: Contract, priority: int, cost_tokens: float) -> float:
    """Return for how long after its arrival others may overtake a request."""
    level = min(max(priority, 0), contract.priorities - 1)
    urgency_s = PRIORITY_FRACTION * contract.max_wait_s * level / contract.priorities
    # A request that runs long loses little by a wait in proportion to its own length,
    # at the speed that the contract gives to one of its concurrent requests.
    run_s = cost_tokens * contract.concurrent_requests / contract.tokens_per_s
    return urgency_s + min(SIZE_FRACTION * contract.max_wait_s, run_s)


def wait_budget_s(
    contract: Contract, request: QueuedRequest, start_by_s, now_s
) -> float:
    """Return the longest wait with which a new request is let in.

    Urgent requests leave room within the longest wait for those that they overtake;
    if they filled it alone, less urgent ones would be let in only to expire.
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
    """Return the wait of a request with that much ahead of it."""
    run_s = refusal.mean_run_s(drain)
    tokens = request.cost_tokens
    limit_s = limits.limit_wait_s(own, ahead.count, ahead.tokens, tokens, run_s, now_s)
    all_ahead = fairqueue.tokens_ahead(
        queue, request.customer, request.model, ahead.model_tokens
    )
    return Wait(limit_s, refusal.platform_wait_s(drain, all_ahead, now_s))
