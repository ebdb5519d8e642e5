"""Permits to send to an endpoint that limits the requests of all its senders together.

Load pattern: an endpoint in need takes a few requests a second, before up to hundreds
of entries of which some have all the callers. Parted evenly, a limit of 2 a second is
one request in minutes for each of 370 entries, and those without callers leave most of
it unused; each for itself, they send it many times the limit.

One issuer for each endpoint hands out its permits one by one, for requests that are
there. An entry asks when a request could begin at the endpoint, and sends it elsewhere
when none is free. An unused permit lapses soon, so that permits of an issuer that was
replaced don't add up with the next one's.
"""

from typing import NamedTuple

# Of the limit, so that a permit that was granted late in one second and used early in
# the next doesn't put that one over the limit.
SAFE_SHARE = 0.95
# An endpoint is asked at least this often whether its limit still holds.
LEAST_PER_S = 0.1
# Beside one whole permit, what comes free within this time is saved up for whoever asks
# next.
SAVED_S = 0.25
# A permit is for a request that waits for it: its entry uses it at once.
VALID_S = 0.25
# Entries that were told to wait count for this long if they don't come back.
WAITING_S = 2.0
# Between two asks of an entry that got no permit, at least and at most.
LEAST_PAUSE_S = 0.02
MOST_PAUSE_S = 1.0
# Asks without an answer for this long say that nobody gives permits.
UNANSWERED_S = 2.0
# An ask this old is no longer waited for.
PENDING_S = 0.3


class Grant(NamedTuple):
    """An issuer's answer to one ask."""

    permits: int
    # Until the next permit is free, for whoever asks first then.
    next_s: float = 0.0
    # Until all that wait now will have had one.
    wait_s: float = 0.0


class Issuer:
    """The permits of one endpoint, at the process that hands them out."""

    def __init__(self, now_s: float):
        # None to begin with: another issuer may have handed out permits until now.
        self.saved = 0.0
        self.filled_s = now_s
        # Senders that wait for a permit, and when they last asked.
        self.waiting_s: dict[str, float] = {}


def issue(issuer: Issuer, sender: str, count: int, per_s: float, now_s: float) -> Grant:
    """Hand out as many permits of those asked for as the limit has left."""
    rate = max(SAFE_SHARE * per_s, LEAST_PER_S)
    most = 1.0 + rate * SAVED_S
    issuer.saved = min(most, issuer.saved + rate * (now_s - issuer.filled_s))
    issuer.filled_s = now_s
    permits = min(count, int(issuer.saved))
    issuer.saved -= permits
    _forget_waiting(issuer, now_s)
    issuer.waiting_s.pop(sender, None)
    if permits >= count:
        return Grant(permits)
    issuer.waiting_s[sender] = now_s
    next_s = max(0.0, 1.0 - issuer.saved) / rate
    return Grant(permits, next_s, next_s + (len(issuer.waiting_s) - 1) / rate)


def _forget_waiting(issuer, now_s):
    waiting = issuer.waiting_s.items()
    issuer.waiting_s = {e: s for e, s in waiting if now_s - s < WAITING_S}


class Holder:
    """The permits of one endpoint that an entry has, and its asks for more."""

    def __init__(self):
        # Until when each permit may be used, earliest first.
        self.until_s: list[float] = []
        # Asks whose answer isn't here yet.
        self.pending = 0
        self.asked_s = float("-inf")
        # The issuer has none before.
        self.not_before_s = float("-inf")
        # When all that wait will have had their permit, as it said.
        self.served_s = float("-inf")
        # Since when asks are not answered, None while they are.
        self.unanswered_s: float | None = None
        # When the entry last took an even part for want of an issuer.
        self.even_s = float("-inf")


def has_permit(holder: Holder, per_s: float, entries: int, now_s: float) -> bool:
    """Tell whether a request may be sent now."""
    holder.until_s = [until_s for until_s in holder.until_s if now_s < until_s]
    return bool(holder.until_s) or _has_even_part(holder, per_s, entries, now_s)


def use_permit(holder: Holder, now_s: float) -> None:
    """Take a permit for a request that is about to be sent."""
    if holder.until_s:
        holder.until_s.pop(0)
    else:
        holder.even_s = now_s


def _has_even_part(holder, per_s, entries, now_s):
    """Tell whether an entry that reaches no issuer may send one request by itself.

    It can't know of the others, so it takes no more than each of them could.
    """
    if holder.unanswered_s is None or now_s - holder.unanswered_s < UNANSWERED_S:
        return False
    since_s = max(holder.even_s, holder.unanswered_s)
    return (now_s - since_s) * SAFE_SHARE * per_s >= max(1, entries)


def may_request(holder: Holder, now_s: float) -> bool:
    """Tell whether the issuer may have a permit."""
    return now_s >= holder.not_before_s


def record_request(holder: Holder, now_s: float) -> None:
    """Count an ask that goes out."""
    if now_s - holder.asked_s > PENDING_S:
        holder.pending = 0
    if holder.unanswered_s is None or now_s - holder.asked_s > UNANSWERED_S:
        holder.unanswered_s = now_s
    holder.pending += 1
    holder.asked_s = now_s


def is_pending(holder: Holder, now_s: float) -> bool:
    """Tell whether an answer that may bring a permit is under way."""
    return (
        holder.pending > 0
        and now_s - holder.asked_s < PENDING_S
        and now_s >= holder.not_before_s
    )


def wait_s(holder: Holder, now_s: float) -> float:
    """Return the time until the next permit that nobody waits for yet."""
    return max(0.0, holder.served_s - now_s)


def record_grant(holder: Holder, grant: Grant, now_s: float) -> None:
    """Take an issuer's answer."""
    holder.pending = max(0, holder.pending - 1)
    holder.unanswered_s = None
    holder.until_s += [now_s + VALID_S] * grant.permits
    holder.served_s = now_s + grant.wait_s
    if not grant.permits:
        pause_s = max(LEAST_PAUSE_S, grant.next_s)
        holder.not_before_s = now_s + min(MOST_PAUSE_S, pause_s)
