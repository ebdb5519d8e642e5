"""The limits of one contract at one entry: request rate, token rate, concurrency.

A customer may send its whole day's batch in a few seconds: as many small requests, as a
few very long ones, or as requests that stay open for minutes. A single limit does not
cover the other two forms. A limit on requests admits long ones, a limit on tokens lets
thousands of empty ones occupy the connections, and neither counts requests that are
slow to finish.

Every figure follows from the contract. The rates are the contract's, times this entry's
share; a bucket holds `burst_s` seconds of its rate.
"""

import math
from typing import NamedTuple

from cherryrudder.model.contracts import Contract

# One request must always fit into a request bucket, however small the entry's share is;
# otherwise a customer with a small contract could never start a request.
MIN_BURST_REQUESTS = 1.0
# Tolerance, so that rounding does not delay a request that may start.
ROUNDING = 1e-6
# Demand is averaged over the interval in which shares are renewed, about one second.
DEMAND_WINDOW_S = 1.0


class Share(NamedTuple):
    """What one entry may use of a contract's bound."""

    requests_per_s: float
    tokens_per_s: float
    concurrency: int


def share_of(contract: Contract, fraction: float = 1.0) -> Share:
    """Return a fraction (0..1) of the contract's bound."""
    return Share(
        contract.requests_per_s * fraction,
        contract.tokens_per_s * fraction,
        int(contract.concurrent_requests * fraction + ROUNDING),
    )


class Bucket:
    """A token bucket that may go into debt, so that long requests can start."""

    def __init__(self, rate_per_s, depth, now_s):
        self.rate_per_s = rate_per_s
        self.depth = depth
        self.level = depth
        self.filled_s = now_s


def fill(bucket: Bucket, now_s: float) -> None:
    """Add the tokens since the last call."""
    passed_s = max(0.0, now_s - bucket.filled_s)
    bucket.level = min(bucket.depth, bucket.level + passed_s * bucket.rate_per_s)
    bucket.filled_s = max(bucket.filled_s, now_s)


def resize(bucket: Bucket, rate_per_s: float, depth: float, now_s: float) -> None:
    """Change rate and depth, keep the level: a new share must not bring a burst."""
    fill(bucket, now_s)
    bucket.rate_per_s = rate_per_s
    bucket.depth = depth
    bucket.level = min(bucket.level, depth)


def bucket_wait_s(bucket: Bucket, amount: float, now_s: float) -> float:
    """Return the seconds until the bucket holds the amount."""
    fill(bucket, now_s)
    missing = amount - bucket.level
    if missing <= ROUNDING:
        return 0.0
    return missing / bucket.rate_per_s if bucket.rate_per_s > 0 else math.inf


class Limits:
    """The state of one customer's limits at one entry."""

    def __init__(self, contract, share, now_s):
        self.contract = contract
        self.share = share
        self.running = 0
        self.requests = Bucket(
            share.requests_per_s, _request_depth(share, contract), now_s
        )
        depth = share.tokens_per_s * contract.burst_s
        self.tokens = Bucket(share.tokens_per_s, depth, now_s)
        self.offered_requests = 0.0
        self.offered_tokens = 0.0
        self.offered_s = now_s


def set_share(limits: Limits, contract: Contract, share: Share, now_s: float) -> None:
    """Apply a changed contract or share."""
    limits.contract = contract
    limits.share = share
    resize(
        limits.requests, share.requests_per_s, _request_depth(share, contract), now_s
    )
    depth = share.tokens_per_s * contract.burst_s
    resize(limits.tokens, share.tokens_per_s, depth, now_s)


def is_within(limits: Limits, cost_tokens: float, now_s: float) -> bool:
    """Return whether a request may start now."""
    if limits.running >= limits.share.concurrency:
        return False
    # A request longer than the burst starts on a full bucket and leaves a debt.
    needed = min(cost_tokens, limits.tokens.depth)
    if limits.tokens.rate_per_s <= 0 or bucket_wait_s(limits.tokens, needed, now_s) > 0:
        return False
    return bucket_wait_s(limits.requests, 1.0, now_s) == 0.0


def charge(limits: Limits, cost_tokens: float, now_s: float) -> None:
    """Charge a request that starts."""
    fill(limits.requests, now_s)
    fill(limits.tokens, now_s)
    limits.requests.level -= 1.0
    limits.tokens.level -= cost_tokens
    limits.running += 1


def refund(limits: Limits, cost_tokens: float, now_s: float) -> None:
    """Undo the charge of a request that did not run."""
    fill(limits.requests, now_s)
    limits.requests.level = min(limits.requests.depth, limits.requests.level + 1.0)
    finish(limits, cost_tokens, 0.0, now_s)


def finish(limits: Limits, cost_tokens, used_tokens, now_s: float) -> None:
    """End a running request and replace its estimated tokens by the true count."""
    limits.running -= 1
    fill(limits.tokens, now_s)
    level = limits.tokens.level + cost_tokens - used_tokens
    limits.tokens.level = min(limits.tokens.depth, level)


def limit_wait_s(limits, ahead, ahead_tokens, cost_tokens, run_s, now_s) -> float:
    """Return the wait behind the customer's own limits, with its requests ahead.

    `run_s` is how long a request usually runs.
    """
    needed = ahead_tokens + min(cost_tokens, limits.tokens.depth)
    tokens_s = bucket_wait_s(limits.tokens, needed, now_s)
    requests_s = bucket_wait_s(limits.requests, ahead + 1.0, now_s)
    # An entry that has no slot now will be leased one; that takes as long as waiting
    # for another request to end.
    slots = max(1, limits.share.concurrency)
    free = slots - limits.running
    slots_s = 0.0
    if ahead >= free:
        slots_s = (ahead - free + 1) * run_s / slots
    return max(tokens_s, requests_s, slots_s)


def request_interval_s(limits: Limits, cost_tokens: float) -> float:
    """Return the interval at which the limits admit requests of this cost."""
    rates = limits.share
    if rates.requests_per_s <= 0 or rates.tokens_per_s <= 0:
        return math.inf
    return max(1.0 / rates.requests_per_s, cost_tokens / rates.tokens_per_s)


def record_offer(limits: Limits, cost_tokens: float, now_s: float) -> None:
    """Count an offered request, admitted or not, in the demand."""
    _decay(limits, now_s)
    limits.offered_requests += 1.0 / DEMAND_WINDOW_S
    limits.offered_tokens += cost_tokens / DEMAND_WINDOW_S


def demand_of(limits: Limits, waiting, waiting_tokens, now_s: float) -> Share:
    """Return the share that would serve the offered load and the queued requests."""
    _decay(limits, now_s)
    return Share(
        limits.offered_requests + waiting / DEMAND_WINDOW_S,
        limits.offered_tokens + waiting_tokens / DEMAND_WINDOW_S,
        limits.running + waiting,
    )


def _request_depth(share, contract):
    return max(MIN_BURST_REQUESTS, share.requests_per_s * contract.burst_s)


def _decay(limits, now_s):
    keep = math.exp(-max(0.0, now_s - limits.offered_s) / DEMAND_WINDOW_S)
    limits.offered_requests *= keep
    limits.offered_tokens *= keep
    limits.offered_s = max(limits.offered_s, now_s)
