"""The entry's side of a customer's share: its current size, and when to renew it.

The allocator may die, move or be unreachable while callers keep sending. An entry that
continues with its last lease would use a part that has been leased to another, and the
sum would exceed the bound. An entry that stops would refuse callers for whom the
contract has room.
"""

import math

from .limits import Share
from .shares import NO_SHARE, RENEW_FRACTION, Grant

# Between two requests for more: some round trips between data centres.
MIN_REQUEST_INTERVAL_S = 0.1


class ShareHolder:
    """One customer's share at one entry."""

    def __init__(self, entry, customer, lease_s, now_s):
        self.entry = entry
        self.customer = customer
        self.lease_s = lease_s
        self.started_s = now_s
        self.floor = NO_SHARE
        self.grant: Grant | None = None
        self.asked_s = -math.inf
        self.expires_s = 0.0
        self.cap: Share | None = None
        self.cap_until_s = 0.0


def set_floor(holder: ShareHolder, floor: Share) -> None:
    """Set the floor, which follows from the contract and the set of entries."""
    holder.floor = floor


def current(holder: ShareHolder, now_s: float) -> Share:
    """Return the share that may be used now."""
    share = _uncapped(holder, now_s)
    if holder.cap is not None and now_s < holder.cap_until_s:
        share = Share(*map(min, share, holder.cap))
    return share


def record_grant(
    holder: ShareHolder, grant: Grant, asked_s: float, now_s: float
) -> None:
    """Record a grant that was requested at `asked_s`.

    Its lease is counted from then, so it ends here before it ends at the allocator.
    """
    last = holder.grant
    if last is not None and last.allocator == grant.allocator:
        if grant.number <= last.number:
            return
    elif last is not None and now_s < holder.expires_s:
        # Another allocator may have lent this entry's floor until the old lease ends.
        # Using the whole new grant before that would use the same part twice.
        holder.cap = current(holder, now_s)
        holder.cap_until_s = max(holder.cap_until_s, holder.expires_s)
    holder.grant = grant
    holder.asked_s = max(holder.asked_s, asked_s)
    holder.expires_s = asked_s + grant.lease_s


def is_due(holder: ShareHolder, demand: Share, now_s: float) -> bool:
    """Return whether to send the next request: for renewal, or for more."""
    waited_s = now_s - holder.asked_s
    if holder.grant is None:
        return waited_s >= MIN_REQUEST_INTERVAL_S
    # Customers without load renew as often as others: what they leave of their floor is
    # lent only until the last lease but one ends, as the last answer may be lost.
    if waited_s >= RENEW_FRACTION * holder.lease_s:
        return True
    # A burst triggers a request at once. Until the next renewal it would wait up to a
    # quarter of the lease with the bound unused. The pause limits the requests of a
    # burst that is granted no more.
    share = holder.grant.share
    is_short = any(want > have for want, have in zip(demand, share, strict=True))
    return is_short and waited_s >= MIN_REQUEST_INTERVAL_S


def received_from(holder: ShareHolder, allocator: str) -> int:
    """Return the `received` number for the next request to this allocator."""
    if holder.grant is None or holder.grant.allocator != allocator:
        return 0
    return holder.grant.number


def _uncapped(holder, now_s):
    # A process that has just started may be an entry whose floor was lent before it
    # died, by an allocator of which it has no record. After one lease time the loan has
    # ended; until then the entry is not ready and other entries serve.
    if now_s < holder.started_s + holder.lease_s:
        return NO_SHARE
    if holder.grant is not None and now_s < holder.expires_s:
        return holder.grant.share
    if holder.grant is None:
        return holder.floor
    return Share(*map(min, holder.floor, holder.grant.floor))
