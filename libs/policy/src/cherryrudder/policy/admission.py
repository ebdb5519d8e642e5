"""Admission of requests at one entry: limits, queue and refusal combined.

`offer` starts, queues or refuses a request. `release` starts queued requests when there
is capacity, and gives up those that cannot be served in time. Call `release` after each
queued offer, each finished request and each change of credits, and about ten times a
second besides.

All admission state is updated here. If `limits`, `fairqueue` and `refusal` were updated
separately, a request that is cancelled, given up or not placed could be counted by one
and dropped by another, and their counts would diverge.
"""

import heapq
import math

from cherryrudder.model.contracts import Contract
from cherryrudder.model.outcomes import Refusal

from . import cost, fairqueue, limits, refusal, waits
from .fairqueue import FairQueue, QueueAhead, QueuedRequest
from .limits import Limits, Share
from .offers import Admitted, GaveUp, Offer, Queued, Running, Started
from .refusal import Drain, RetrySchedule

# The waits of queued requests are estimated again this often, at the cost of one pass
# over the queue. This is also the longest delay until a caller is informed of a
# lost endpoint.
REVIEW_INTERVAL_S = 0.25
# The most requests of one pass that may be deferred. A higher limit would make a pass
# expensive and the order unfair.
MAX_SKIPPED = 8
# A queued request is given up only if its estimated wait exceeds the remaining time by
# this factor. Without the margin, noise in the estimate would evict requests that were
# just admitted.
REVIEW_MARGIN = 1.25

__all__ = [
    "Admission",
    "Admitted",
    "GaveUp",
    "Offer",
    "Queued",
    "Started",
    "cancel",
    "demand",
    "drop_contract",
    "offer",
    "put_back",
    "release",
    "set_contract",
    "settle",
]


class Admission:
    """All admission state of one entry."""

    def __init__(self, max_queued):
        self.queue = FairQueue(max_queued)
        self.costs = cost.CostModel()
        self.limits: dict[str, Limits] = {}
        self.drains: dict[str, Drain] = {}
        self.retry_schedule = RetrySchedule()
        self.offers: dict[str, tuple[Offer, cost.Estimate]] = {}
        self.running: dict[str, Running] = {}
        self.given_up: list[GaveUp] = []
        self.reviewed_s = 0.0


def set_contract(admission, contract: Contract, share: float | Share, now_s) -> None:
    """Set a customer's contract and this entry's share of it.

    A retired contract refuses new requests; those already admitted run to their end.
    """
    if not isinstance(share, Share):
        share = limits.share_of(contract, share)
    known = admission.limits.get(contract.customer)
    if known is None:
        admission.limits[contract.customer] = Limits(contract, share, now_s)
    else:
        limits.set_share(known, contract, share, now_s)
    fairqueue.set_weight(admission.queue, contract.customer, contract.tokens_per_s)


def drop_contract(admission: Admission, customer: str) -> bool:
    """Drop a retired contract's state; return False while its requests run or wait."""
    own = admission.limits.get(customer)
    if own is None:
        return True
    if own.running or customer in admission.queue.active or not own.contract.retired:
        return False
    del admission.limits[customer]
    fairqueue.remove_customer(admission.queue, customer)
    cost.drop_customer(admission.costs, customer)
    refusal.drop_customer(admission.retry_schedule, customer)
    return True


def offer(admission: Admission, asked: Offer, now_s) -> Admitted | Queued | Refusal:
    """Start a request, queue it, or refuse it at once."""
    own = admission.limits.get(asked.customer)
    if own is None or own.contract.retired:
        return refusal.no_contract(asked.customer)
    # This also keeps the state from growing with names that a caller makes up.
    if asked.model not in own.contract.models + own.contract.services:
        return refusal.not_covered(asked.model)
    if asked.deadline_s <= now_s:
        return refusal.too_late()
    max_tokens = min(asked.max_tokens, own.contract.max_tokens)
    estimated = cost.estimate(
        admission.costs, asked.customer, asked.model, asked.prompt_tokens, max_tokens
    )
    limits.record_offer(own, estimated.cost_tokens, now_s)
    if _may_start(admission, asked, own, estimated, now_s):
        _start(admission, asked, estimated, now_s, now_s)
        return Admitted(estimated.cost_tokens)
    return _enqueue(admission, asked, own, estimated, now_s, now_s)


def put_back(admission: Admission, request_id: str, now_s) -> Queued | Refusal:
    """Queue a started request again that could not be placed or has to be retried.

    Only the time that it has spent in the queue counts towards its longest wait.
    """
    running = admission.running.pop(request_id)
    own = admission.limits[running.offer.customer]
    limits.refund(own, running.cost.cost_tokens, now_s)
    drain = admission.drains[running.offer.model]
    drain.running_tokens -= running.cost.cost_tokens
    refusal.record_blocked(drain, now_s)
    tokens = running.cost.cost_tokens
    fairqueue.adjust_start_tag(admission.queue, running.offer.customer, -tokens)
    asked, estimated = running.offer, running.cost
    arrived_s = now_s - (running.started_s - running.arrived_s)
    return _enqueue(admission, asked, own, estimated, arrived_s, now_s)


def release(
    admission: Admission, now_s, can_place, should_defer=None
) -> list[Started | GaveUp]:
    """Start queued requests, and give up those that cannot be served in time.

    `can_place(request_id) -> bool` places a request; False means that its model has no
    capacity now. `should_defer(request_id, waited_s) -> bool` returns whether a request
    should let others have the available capacity first. If none of them takes it, the
    deferred requests are placed after all.
    """
    results = admission.given_up
    admission.given_up = []
    for request in fairqueue.take_expired(admission.queue, now_s):
        results.append(_give_up(admission, request, now_s))
    started, skipped = _start_waiting(admission, now_s, can_place, should_defer)
    if skipped:
        # No other request took the capacity, so the deferred ones may have it.
        more, _ = _start_waiting(admission, now_s, can_place, None)
        started += more
    results += started
    if now_s - admission.reviewed_s >= REVIEW_INTERVAL_S:
        admission.reviewed_s = now_s
        results += _review(admission, now_s)
    return results


def settle(admission: Admission, request_id, used_tokens: float, now_s) -> None:
    """End a started request; `used_tokens` counts prompt and answer."""
    running = admission.running.pop(request_id, None)
    if running is None:
        return
    customer = running.offer.customer
    tokens = running.cost.cost_tokens
    limits.finish(admission.limits[customer], tokens, used_tokens, now_s)
    fairqueue.adjust_start_tag(admission.queue, customer, used_tokens - tokens)
    drain = admission.drains[running.offer.model]
    refusal.record_finish(drain, tokens, now_s - running.started_s, now_s)
    # A cancelled request ended early, so its length says nothing about others.
    if not running.is_cancelled:
        answer = max(0.0, used_tokens - running.offer.prompt_tokens)
        cost.learn(admission.costs, running.cost.key, answer)


def cancel(admission: Admission, request_id: str, now_s) -> bool:
    """Cancel a request; return True if it was still queued, so did not run.

    A running request still has to be settled with the tokens that it used.
    """
    if request_id in admission.offers:
        fairqueue.remove(admission.queue, request_id)
        del admission.offers[request_id]
        return True
    running = admission.running.get(request_id)
    if running is not None:
        admission.running[request_id] = running._replace(is_cancelled=True)
    return False


def demand(admission: Admission, customer: str, now_s) -> Share:
    """Return the share of its contract that a customer's load here needs."""
    flow = admission.queue.flows[customer]
    waiting = sum(flow.counts.values())
    tokens = sum(flow.tokens.values())
    return limits.demand_of(admission.limits[customer], waiting, tokens, now_s)


def _may_start(admission, asked, own, estimated, now_s):
    # If requests wait for the model, `release` decides in fair order.
    if asked.model in admission.queue.by_model:
        return False
    if asked.customer in admission.queue.active:
        return False
    return limits.is_within(own, estimated.cost_tokens, now_s)


def _start(admission, asked, estimated, arrived_s, now_s):
    tokens = estimated.cost_tokens
    limits.charge(admission.limits[asked.customer], tokens, now_s)
    fairqueue.charge_start(admission.queue, asked.customer, tokens)
    refusal.record_start(_drain(admission, asked.model), tokens, now_s)
    running = Running(asked, estimated, arrived_s, now_s)
    admission.running[asked.request_id] = running


def _enqueue(admission, asked, own, estimated, arrived_s, now_s):
    contract, tokens = own.contract, estimated.cost_tokens
    # A request that starts at its deadline is answered too late; it must start early
    # enough to finish in time.
    start_by_s = asked.deadline_s - refusal.run_s(
        _drain(admission, asked.model), tokens
    )
    request = QueuedRequest(
        asked.request_id,
        asked.customer,
        asked.model,
        tokens,
        arrived_s + waits.allowance_s(contract, asked.priority, tokens),
        fairqueue.next_sequence(admission.queue),
        arrived_s,
        min(start_by_s, arrived_s + contract.max_wait_s),
    )
    wait = _wait(admission, request, now_s)
    budget_s = waits.wait_budget_s(contract, request, start_by_s, now_s)
    if wait.total_s > budget_s:
        is_own = wait.limit_s > wait.platform_s
        return _refuse(admission, request, is_own, wait.total_s - budget_s, now_s)
    if not _make_room(admission, request, now_s):
        return _refuse(admission, request, False, 0.0, now_s)
    fairqueue.push(admission.queue, request)
    admission.offers[asked.request_id] = (asked, estimated)
    return Queued(wait.total_s)


def _wait(admission, request, now_s):
    ahead = fairqueue.count_ahead(admission.queue, request)
    return _wait_behind(admission, request, ahead, now_s)


def _wait_behind(admission, request, ahead, now_s):
    own = admission.limits[request.customer]
    drain = _drain(admission, request.model)
    return waits.expected_wait(admission.queue, own, drain, request, ahead, now_s)


def _refuse(admission, request, is_own, over_s, now_s):
    tokens = request.cost_tokens
    if is_own:
        interval_s = limits.request_interval_s(
            admission.limits[request.customer], tokens
        )
        key = (request.customer, "")
    else:
        rate = refusal.drain_rate(_drain(admission, request.model), now_s)
        interval_s = tokens / rate if rate else math.inf
        key = ("", request.model)
    retry_s = refusal.retry_after_s(
        admission.retry_schedule, key, over_s, interval_s, now_s
    )
    answer = refusal.own_limit if is_own else refusal.platform_full
    return answer(retry_s)


def _make_room(admission, request, now_s):
    if len(admission.queue.waiting) < admission.queue.max_queued:
        return True
    # A full queue evicts the last request of the customer with the largest backlog. If
    # it refused the new request, one customer with excessive load could lock out all
    # others.
    evicted = fairqueue.last_of_longest(admission.queue)
    if evicted is None or evicted.customer == request.customer:
        return False
    fairqueue.remove(admission.queue, evicted.request_id)
    admission.given_up.append(_give_up(admission, evicted, now_s))
    return True


def _give_up(admission, request, now_s):
    """Return the final answer to a request that was removed from the queue unserved."""
    del admission.offers[request.request_id]
    own = admission.limits[request.customer]
    wait = _wait(admission, request, now_s)
    is_own = wait.limit_s > wait.platform_s
    over_s = max(0.0, wait.total_s - own.contract.max_wait_s)
    answer = _refuse(admission, request, is_own, over_s, now_s)
    return GaveUp(request.request_id, answer)


def _start_waiting(admission, now_s, can_place, should_defer):
    queue = admission.queue
    started, blocked, skipped = [], set(), set()
    order = [(queue.flows[name].start_tag, name) for name in queue.active]
    heapq.heapify(order)
    while order and len(blocked) < len(queue.by_model):
        _, customer = heapq.heappop(order)
        request = fairqueue.head(queue, customer, blocked, skipped)
        if request is None:
            continue
        flow = queue.flows[customer]
        own = admission.limits[customer]
        flow.is_limited = not limits.is_within(own, request.cost_tokens, now_s)
        if flow.is_limited:
            continue
        may_defer = should_defer is not None and len(skipped) < MAX_SKIPPED
        waited_s = now_s - request.arrived_s
        if may_defer and should_defer(request.request_id, waited_s):
            skipped.add(request.request_id)
        elif can_place(request.request_id):
            started.append(_start_queued(admission, request, now_s))
        else:
            blocked.add(request.model)
            refusal.record_blocked(_drain(admission, request.model), now_s)
        if customer in queue.active:
            heapq.heappush(order, (flow.start_tag, customer))
    return started, skipped


def _start_queued(admission, request, now_s):
    asked, estimated = admission.offers.pop(request.request_id)
    _start(admission, asked, estimated, request.arrived_s, now_s)
    fairqueue.remove(admission.queue, request.request_id)
    return Started(request.request_id, now_s - request.arrived_s)


def _review(admission, now_s):
    given_up = []
    for customer in list(admission.queue.active):
        given_up += _review_customer(admission, customer, now_s)
    return given_up


def _review_customer(admission, customer, now_s):
    requests = fairqueue.in_order(admission.queue, customer)
    tokens = sum(request.cost_tokens for request in requests)
    model_tokens = dict(admission.queue.flows[customer].tokens)
    in_time = set()
    given_up = []
    # Go from the end of the queue: giving up a request shortens only the waits behind
    # it. The first request of a model that will be served in time ends the search for
    # that model.
    for count in range(len(requests) - 1, -1, -1):
        request = requests[count]
        tokens -= request.cost_tokens
        model_tokens[request.model] -= request.cost_tokens
        if request.model in in_time:
            continue
        ahead = QueueAhead(count, tokens, model_tokens[request.model])
        wait = _wait_behind(admission, request, ahead, now_s)
        if wait.total_s <= (request.expires_s - now_s) * REVIEW_MARGIN:
            in_time.add(request.model)
            if len(in_time) == len(model_tokens):
                break
            continue
        fairqueue.remove(admission.queue, request.request_id)
        given_up.append(_give_up(admission, request, now_s))
    return given_up


def _drain(admission, model):
    drain = admission.drains.get(model)
    if drain is None:
        drain = admission.drains[model] = Drain()
    return drain
