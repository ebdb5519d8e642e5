"""The queue of an entry: bounded, weighted fair by customer, ordered within a customer.

One customer may send fifty times its share while nine others stay within theirs; within
a customer, long jobs arrive among short ones and urgent requests among a batch. First
come, first served would give the customer with excessive load its part of the arrivals
instead of its part of the contracts, and a short request would wait for every long one
that arrived before it.

Fairness is start-time fair queueing on estimated tokens, corrected to the true count at
the end; a customer's weight is its contract's token rate. There is one lane per
customer and model, so that a model without a free engine does not block other models.

Within a customer, requests are ordered by arrival time plus an allowance. Less urgent
and longer requests get a larger one. As it is bounded, each request is overtaken only
by those that arrive within its allowance, and none starves.
"""

import heapq
import math
from typing import NamedTuple


class QueuedRequest(NamedTuple):
    """A queued request; `order_s` is its position in its customer's lane."""

    request_id: str
    customer: str
    model: str
    cost_tokens: float
    order_s: float
    sequence: int
    arrived_s: float
    expires_s: float


class QueueAhead(NamedTuple):
    """What precedes a request in its customer's queue; `model_tokens` in its lane."""

    count: int
    tokens: float
    model_tokens: float


class Flow:
    """One customer's part of the queue."""

    def __init__(self, weight):
        self.weight = weight
        self.start_tag = 0.0
        # The customer waits for its own limit, not for the platform.
        self.is_limited = False
        self.lanes: dict[str, list] = {}
        self.counts: dict[str, int] = {}
        self.tokens: dict[str, float] = {}


class FairQueue:
    """All requests that are queued at one entry."""

    def __init__(self, max_queued):
        self.max_queued = max_queued
        self.waiting: dict[str, QueuedRequest] = {}
        self.flows: dict[str, Flow] = {}
        self.active: set[str] = set()
        # Customers with queued requests, by model.
        self.by_model: dict[str, dict[str, Flow]] = {}
        self.expiries: list[tuple[float, int, str]] = []
        self.virtual_time = 0.0
        self.sequence = 0


def set_weight(queue: FairQueue, customer: str, weight: float) -> None:
    """Set a customer's weight; a new customer is added."""
    flow = queue.flows.get(customer)
    if flow is None:
        queue.flows[customer] = Flow(weight)
        return
    flow.weight = weight


def remove_customer(queue: FairQueue, customer: str) -> None:
    """Remove a customer without queued requests."""
    queue.flows.pop(customer, None)


def next_sequence(queue: FairQueue) -> int:
    """Return a number that orders equal requests by arrival."""
    queue.sequence += 1
    return queue.sequence


def push(queue: FairQueue, request: QueuedRequest) -> None:
    """Add a request; the caller ensures that the queue has room."""
    flow = queue.flows[request.customer]
    if request.customer not in queue.active:
        # An idle customer does not save up turns. Otherwise a customer that was idle
        # all night could occupy the platform alone until it had used them up.
        flow.start_tag = max(flow.start_tag, queue.virtual_time)
        queue.active.add(request.customer)
    model = request.model
    entry = (request.order_s, request.sequence, request.request_id)
    heapq.heappush(flow.lanes.setdefault(model, []), entry)
    flow.counts[model] = flow.counts.get(model, 0) + 1
    flow.tokens[model] = flow.tokens.get(model, 0.0) + request.cost_tokens
    queue.by_model.setdefault(model, {})[request.customer] = flow
    queue.waiting[request.request_id] = request
    expiry = (request.expires_s, request.sequence, request.request_id)
    heapq.heappush(queue.expiries, expiry)


def remove(queue: FairQueue, request_id: str) -> QueuedRequest | None:
    """Remove a request; its heap entries are skipped when they are reached."""
    request = queue.waiting.pop(request_id, None)
    if request is None:
        return None
    flow = queue.flows[request.customer]
    model = request.model
    flow.counts[model] -= 1
    flow.tokens[model] -= request.cost_tokens
    if not flow.counts[model]:
        del flow.lanes[model], flow.counts[model], flow.tokens[model]
        del queue.by_model[model][request.customer]
        if not queue.by_model[model]:
            del queue.by_model[model]
    if not flow.counts:
        queue.active.discard(request.customer)
        flow.is_limited = False
    return request


def head(queue, customer, blocked: set[str], skipped: set[str]) -> QueuedRequest | None:
    """Return the customer's first request for a model that is not blocked.

    Requests in `skipped` are passed over and keep their position.
    """
    flow = queue.flows[customer]
    best = None
    for model, lane in flow.lanes.items():
        if model in blocked:
            continue
        while _is_stale(queue, lane[0]):
            heapq.heappop(lane)
        first = lane[0]
        if first[2] in skipped:
            first = _first_after(queue, lane, skipped)
        if first is not None and (best is None or first < best):
            best = first
    return queue.waiting[best[2]] if best else None


def charge_start(queue: FairQueue, customer: str, cost_tokens: float) -> None:
    """Advance a customer's tag for a request that starts."""
    flow = queue.flows[customer]
    if flow.is_limited or customer not in queue.active:
        # Time spent waiting for its own limit earns a customer no turns either.
        flow.start_tag = max(flow.start_tag, queue.virtual_time)
        flow.is_limited = False
    queue.virtual_time = max(queue.virtual_time, flow.start_tag)
    flow.start_tag += cost_tokens / flow.weight


def adjust_start_tag(queue: FairQueue, customer: str, difference_tokens: float) -> None:
    """Charge (or, if negative, refund) the error of the estimate."""
    flow = queue.flows.get(customer)
    if flow is not None:
        flow.start_tag += difference_tokens / flow.weight


def take_expired(queue: FairQueue, now_s: float) -> list[QueuedRequest]:
    """Remove and return all expired requests."""
    expired = []
    while queue.expiries and queue.expiries[0][0] <= now_s:
        entry = heapq.heappop(queue.expiries)
        if not _is_stale(queue, entry):
            expired.append(remove(queue, entry[2]))
    return expired


def in_order(queue: FairQueue, customer: str) -> list[QueuedRequest]:
    """Return a customer's requests in the order in which they will start."""
    lanes = queue.flows[customer].lanes.values()
    entries = sorted(entry for lane in lanes for entry in lane)
    return [queue.waiting[entry[2]] for entry in entries if not _is_stale(queue, entry)]


def count_ahead(queue: FairQueue, request: QueuedRequest) -> QueueAhead:
    """Return what precedes a request in its own customer's queue."""
    count, tokens, model_tokens = 0, 0.0, 0.0
    for model, lane in queue.flows[request.customer].lanes.items():
        for entry in lane:
            if entry[0] > request.order_s or _is_stale(queue, entry):
                continue
            cost_tokens = queue.waiting[entry[2]].cost_tokens
            count += 1
            tokens += cost_tokens
            if model == request.model:
                model_tokens += cost_tokens
    return QueueAhead(count, tokens, model_tokens)


def tokens_ahead(queue: FairQueue, customer, model, own_tokens: float) -> float:
    """Return the tokens that start before a request with `own_tokens` before it.

    By start-time fair queueing these are the customer's own tokens, and of each other
    customer what its tag admits before the tag that this request will have.
    """
    flow = queue.flows[customer]
    tag = flow.start_tag
    if customer not in queue.active:
        tag = max(tag, queue.virtual_time)
    finish_tag = tag + own_tokens / flow.weight
    ahead = own_tokens
    for other in queue.by_model.get(model, {}).values():
        share = (finish_tag - other.start_tag) * other.weight
        if other is flow or other.is_limited or share <= 0:
            continue
        tokens = other.tokens[model]
        ahead += share if share < tokens else tokens
    return ahead


def last_of_longest(queue: FairQueue) -> QueuedRequest | None:
    """Return the last request of the customer with the largest weighted backlog."""
    longest, most = None, -math.inf
    for name in queue.active:
        flow = queue.flows[name]
        backlog = sum(flow.tokens.values()) / flow.weight
        if backlog > most:
            longest, most = name, backlog
    if longest is None:
        return None
    flow = queue.flows[longest]
    model = max(flow.tokens, key=flow.tokens.get)
    live = [entry for entry in flow.lanes[model] if not _is_stale(queue, entry)]
    return queue.waiting[max(live)[2]]


def _first_after(queue, lane, skipped):
    for entry in heapq.nsmallest(2 * len(skipped) + 1, lane):
        if entry[2] not in skipped and not _is_stale(queue, entry):
            return entry
    return None


def _is_stale(queue, entry):
    request = queue.waiting.get(entry[2])
    return request is None or request.sequence != entry[1]
