"""Permits to send to an endpoint that limits the requests of all its senders together.

An overloaded endpoint accepts a few requests a second, from up to hundreds of entries,
some of which have all the callers. Divided evenly, a limit of 2 a second is one request
in minutes for each of 370 entries, and the entries without callers leave most of it
unused. Entries that each apply the whole limit send many times as much.

One issuer for each endpoint issues its permits one by one, for actual requests. An
entry asks for one when a request could begin at the endpoint, and sends it elsewhere if
none is free. An unused permit expires soon, so that the permits of a replaced issuer do
not add to those of the next one.
"""

from typing import NamedTuple

# Fraction of the limit that is issued. A permit that is issued late in one second and
# used early in the next must not exceed the limit of that one.
SAFE_SHARE = 0.95
# The lowest rate of permits, so that an endpoint still gets requests that show whether
# its limit holds.
MIN_PER_S = 0.1
# Besides one whole permit, the issuer saves up what becomes free within this time.
BURST_S = 0.25
# A permit is for a request that waits for it, so its entry uses it at once.
PERMIT_LIFETIME_S = 0.25
# Entries that got no permit count as waiting for this long if they do not ask again.
WAITING_LIFETIME_S = 2.0
# Shortest and longest pause of an entry that got no permit.
MIN_PAUSE_S = 0.02
MAX_PAUSE_S = 1.0
# After this long without an answer there is no issuer.
ISSUER_TIMEOUT_S = 2.0
# How long an answer is waited for.
ANSWER_TIMEOUT_S = 0.3


class Grant(NamedTuple):
    """An issuer's answer to one request for permits."""

    permits: int
    # Time until the next permit is free, for whichever entry asks first then.
    next_s: float = 0.0
    # Time until all entries that wait now will have had one.
    wait_s: float = 0.0


class Issuer:
    """The permits of one endpoint, at the process that issues them."""

    def __init__(self, now_s: float):
        # None at first: another issuer may have issued permits until now.
        self.saved = 0.0
        self.filled_s = now_s
        # Senders that wait for a permit, and when they last asked.
        self.waiting_s: dict[str, float] = {}


def issue(issuer: Issuer, sender: str, count: int, per_s: float, now_s: float) -> Grant:
    """Issue as many of the requested permits as the limit allows."""
    rate = max(SAFE_SHARE * per_s, MIN_PER_S)
    max_saved = 1.0 + rate * BURST_S
    issuer.saved = min(max_saved, issuer.saved + rate * (now_s - issuer.filled_s))
    issuer.filled_s = now_s
    permits = min(count, int(issuer.saved))
    issuer.saved -= permits
    _drop_stale_waiting(issuer, now_s)
    issuer.waiting_s.pop(sender, None)
    if permits >= count:
        return Grant(permits)
    issuer.waiting_s[sender] = now_s
    next_s = max(0.0, 1.0 - issuer.saved) / rate
    return Grant(permits, next_s, next_s + (len(issuer.waiting_s) - 1) / rate)


def _drop_stale_waiting(issuer, now_s):
    waiting = issuer.waiting_s.items()
    issuer.waiting_s = {e: s for e, s in waiting if now_s - s < WAITING_LIFETIME_S}


class Holder:
    """An entry's permits for one endpoint, and its pending requests for more."""

    def __init__(self):
        # Expiry of each permit, earliest first.
        self.until_s: list[float] = []
        # Requests for permits without an answer.
        self.pending = 0
        self.asked_s = float("-inf")
        # The issuer has no permit before this time.
        self.not_before_s = float("-inf")
        # When all waiting entries will have had a permit, according to the issuer.
        self.queue_served_s = float("-inf")
        # Start of the current period without answers, None if they arrive.
        self.unanswered_s: float | None = None
        # When the entry last sent without a permit, for lack of an issuer.
        self.last_fallback_s = float("-inf")


def has_permit(holder: Holder, per_s: float, entries: int, now_s: float) -> bool:
    """Return whether a request may be sent now."""
    holder.until_s = [until_s for until_s in holder.until_s if now_s < until_s]
    return bool(holder.until_s) or _has_fallback_permit(holder, per_s, entries, now_s)


def use_permit(holder: Holder, now_s: float) -> None:
    """Use up a permit for a request that is about to be sent."""
    if holder.until_s:
        holder.until_s.pop(0)
    else:
        holder.last_fallback_s = now_s


def _has_fallback_permit(holder, per_s, entries, now_s):
    """Return whether an entry without a reachable issuer may send one request.

    It has no information on the other entries, so it takes only an even part of the
    limit.
    """
    if holder.unanswered_s is None or now_s - holder.unanswered_s < ISSUER_TIMEOUT_S:
        return False
    since_s = max(holder.last_fallback_s, holder.unanswered_s)
    return (now_s - since_s) * SAFE_SHARE * per_s >= max(1, entries)


def may_request(holder: Holder, now_s: float) -> bool:
    """Return whether the issuer may have a permit by now."""
    return now_s >= holder.not_before_s


def record_request(holder: Holder, now_s: float) -> None:
    """Record that a request for a permit is sent."""
    if now_s - holder.asked_s > ANSWER_TIMEOUT_S:
        holder.pending = 0
    if holder.unanswered_s is None or now_s - holder.asked_s > ISSUER_TIMEOUT_S:
        holder.unanswered_s = now_s
    holder.pending += 1
    holder.asked_s = now_s


def is_pending(holder: Holder, now_s: float) -> bool:
    """Return whether an answer that may bring a permit is in flight."""
    return (
        holder.pending > 0
        and now_s - holder.asked_s < ANSWER_TIMEOUT_S
        and now_s >= holder.not_before_s
    )


def wait_s(holder: Holder, now_s: float) -> float:
    """Return the seconds until a permit is free that no other entry waits for."""
    return max(0.0, holder.queue_served_s - now_s)


def record_grant(holder: Holder, grant: Grant, now_s: float) -> None:
    """Record an issuer's answer."""
    holder.pending = max(0, holder.pending - 1)
    holder.unanswered_s = None
    holder.until_s += [now_s + PERMIT_LIFETIME_S] * grant.permits
    holder.queue_served_s = now_s + grant.wait_s
    if not grant.permits:
        pause_s = max(MIN_PAUSE_S, grant.next_s)
        holder.not_before_s = now_s + min(MAX_PAUSE_S, pause_s)
