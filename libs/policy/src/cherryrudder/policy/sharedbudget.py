"""An entry's share of the retry budget that all entries have together.

If a data centre loses an engine, all retries of the next second come from the entries
there. Divided evenly among some dozens of entries, the operators' budget leaves each a
few retries: the entries that need them give up streams, while nine tenths of the budget
are unused at the others.

Each entry reports what it has spent within the operators' window, and receives what the
others have spent (`retryledger`). Until the next report it may spend an even part of
most of what is left, less what it has spent since the others' figures were made. If an
entry got a new part with each report, entries that all need many retries would spend
the same ones two and three times over before they received each other's figures. An
entry that needs many while the others need few gets a new part as often as the figures
are renewed.

Without reports an entry keeps its part, and earns retries by its own requests. For one
window these come from the part of the budget that is never handed out, as the others
may have spent all else. Later they have to fit into its own window, and it has none of
the fixed number of retries. So entries that are cut off, and control VMs that are cut
in two, can't spend that number twice.
"""

import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from . import retries
from .retries import Attempt, RetryBudget, Verdict

# The rest stays unspent: the clocks of the entries' windows differ, and a new entry
# starts with a part of its own.
SAFE_SHARE = 0.8
# Length of a bucket of the window; a small part of the operators' window of some 10 s.
BUCKET_S = 0.1
# The rest of what is left is kept for reports that are in flight.
SPENDABLE_SHARE = 0.6
# Fraction of an entry's part that is reserved for answers that have begun. Engines that
# leave refuse the requests of that moment, and the retries of these used up the budget
# of the streams that the engines cut two seconds later. Those streams ended in the
# middle, 0.7 s after the cut, whereas a request that has not run can be refused with a
# time to come back.
RESERVED_SHARE = 0.3
# A retry of an answer that has begun needs only this much saved. 26 entries all have
# parts below one while fewer than 44 retries are left to them together. Each may then
# exceed its part by one between two reports: 26 of the 107 that `SAFE_SHARE` keeps of
# 536.
MIN_SAVED_FOR_BEGUN = 0.25
# After this long without a report, four missed ones, an entry earns retries by its own
# requests.
REPORT_TIMEOUT_S = 2.0
UNSAFE_SHARE = 1 - SAFE_SHARE
# Age written to logs for a part that was never set.
MAX_LOGGED_AGE_S = 9999.0


class RetryUsage(NamedTuple):
    """Requests for a service within the window, and their retries."""

    service: str
    # Fractions where ended entries are counted.
    requests: float
    retries: float


class _Totals(NamedTuple):
    """What the other entries had spent at the last report, and the age of that."""

    by_service: dict[str, RetryUsage]
    age_s: float
    received_s: float


class _Bucket:
    def __init__(self, begins_s):
        self.begins_s = begins_s
        self.requests = 0
        self.retries = 0


class _Service:
    def __init__(self, max_saved, now_s):
        self.budget = RetryBudget(max_saved=max_saved)
        # This entry's part after the last report, and when that was received, or when
        # the service was first used.
        self.part = 0.0
        self.updated_s = now_s
        self.buckets: deque[_Bucket] = deque()


class SharedBudget:
    """One entry's share of the operators' retry budget, for each service."""

    def __init__(self, ratio: float, slack: float, window_s: float, entries: float):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.entries = entries
        self.totals: _Totals | None = None
        self.services: dict[str, _Service] = {}


def record_request(shared: SharedBudget, service: str, now_s: float) -> None:
    """Count a client's request for a service."""
    known = _service(shared, service, now_s)
    _bucket(shared, known, now_s).requests += 1
    silent_s = now_s - known.updated_s
    if silent_s <= REPORT_TIMEOUT_S:
        # A report counts the requests of all entries. If own requests earned retries as
        # well, every entry could send one retry between two reports even with nothing
        # left.
        return
    budget = known.budget
    if silent_s <= shared.window_s:
        budget.saved += UNSAFE_SHARE * shared.ratio
        return
    own = _usage(service, known)
    left = SAFE_SHARE * shared.ratio * own.requests - own.retries
    budget.saved = min(left, budget.saved + SAFE_SHARE * shared.ratio)


def record_retry_sent(
    shared: SharedBudget, service: str, charged_s: float, now_s: float
) -> None:
    """Move a retry that was charged some time ago to the moment at which it is sent.

    Retries that wait for an endpoint are sent together once there is one.
    """
    known = _service(shared, service, now_s)
    for bucket in reversed(known.buckets):
        if bucket.begins_s <= charged_s:
            bucket.retries = max(0, bucket.retries - 1)
            break
    _bucket(shared, known, now_s).retries += 1


def may_retry(
    shared: SharedBudget,
    service: str,
    attempt: Attempt,
    now_s: float,
    has_begun: bool | None = None,
) -> Verdict:
    """Decide whether a failed attempt may be retried, and count the retry.

    `has_begun` is whether the caller already has a part of the answer; None if answers
    of this service are never passed on in parts.
    """
    known = _service(shared, service, now_s)
    credit = _credit(known, has_begun)
    known.budget.saved += credit
    verdict = retries.may_retry(known.budget, attempt, now_s)
    known.budget.saved -= credit
    if verdict is Verdict.RETRY:
        _bucket(shared, known, now_s).retries += 1
    return verdict


def has_retries(
    shared: SharedBudget, service: str, count: int, has_begun: bool | None = None
) -> bool:
    """Return whether this entry may send that many retries now, without counting them.

    `has_begun` is as for `may_retry`.
    """
    known = _service(shared, service, float("-inf"))
    return known.budget.saved + _credit(known, has_begun) >= count


def describe(shared: SharedBudget, service: str, now_s: float) -> dict[str, float]:
    """Return what a decision on a retry rests on, for log lines."""
    known = _service(shared, service, now_s)
    _drop_old(shared, known, now_s)
    return {
        "saved": round(known.budget.saved, 2),
        "share": round(known.part, 2),
        "share_age_s": round(min(now_s - known.updated_s, MAX_LOGGED_AGE_S), 3),
        "own_requests": sum(bucket.requests for bucket in known.buckets),
        "own_retries": sum(bucket.retries for bucket in known.buckets),
        "entries": shared.entries if math.isfinite(shared.entries) else 0,
    }


def _credit(known, has_begun):
    if has_begun is None:
        return 0.0
    return 1.0 - MIN_SAVED_FOR_BEGUN if has_begun else -RESERVED_SHARE * known.part


def count_usage(shared: SharedBudget, now_s: float) -> tuple[RetryUsage, ...]:
    """Return this entry's requests and retries within the window, by service."""
    sums = []
    for name, known in shared.services.items():
        _drop_old(shared, known, now_s)
        if known.buckets:
            sums.append(_usage(name, known))
    return tuple(sums)


def share_of(usage: RetryUsage, ratio: float, slack: float, entries: int) -> float:
    """Return an entry's share of what all have left, given the usage of all."""
    left = SAFE_SHARE * (ratio * usage.requests + slack) - usage.retries
    return max(0.0, SPENDABLE_SHARE * left / max(1, entries))


def update_share(
    shared: SharedBudget,
    others: Iterable[RetryUsage],
    entries: int,
    now_s: float,
    age_s: float = 0.0,
) -> None:
    """Set this entry's part of what all entries have left.

    `others` is what the other entries have spent; `age_s` is the mean age of these
    figures. What the others spent since then is unknown. Each entry, this one too,
    spends at most one part in that time.
    """
    shared.entries = max(1, entries)
    by_service = {one.service: one for one in others}
    shared.totals = _Totals(by_service, age_s, now_s)
    for name, known in shared.services.items():
        _drop_old(shared, known, now_s)
        _set_share(shared, name, known)


def _set_share(shared, name, known):
    """Set the part of a service by the last report."""
    by_service, age_s, received_s = shared.totals
    own = _usage(name, known)
    other = by_service.get(name, RetryUsage(name, 0, 0))
    total = RetryUsage(name, own.requests + other.requests, own.retries + other.retries)
    known.part = share_of(total, shared.ratio, shared.slack, shared.entries)
    known.updated_s = received_s
    spent = _spent_since(known, received_s - age_s)
    known.budget.saved = max(0.0, known.part - spent)


def _usage(name, known):
    requests = sum(bucket.requests for bucket in known.buckets)
    repeats = sum(bucket.retries for bucket in known.buckets)
    return RetryUsage(name, requests, repeats)


def _spent_since(known, since_s):
    return sum(b.retries for b in known.buckets if b.begins_s > since_s)


def _even_part(shared):
    """Return what an entry has before the first report."""
    return SAFE_SHARE * shared.slack / shared.entries


def _service(shared, name, now_s):
    known = shared.services.get(name)
    if known is None:
        known = shared.services[name] = _Service(_even_part(shared), now_s)
        if shared.totals is not None:
            _set_share(shared, name, known)
    return known


def _bucket(shared, known, now_s):
    _drop_old(shared, known, now_s)
    if not known.buckets or now_s - known.buckets[-1].begins_s >= BUCKET_S:
        known.buckets.append(_Bucket(now_s))
    return known.buckets[-1]


def _drop_old(shared, known, now_s):
    while known.buckets and now_s - known.buckets[0].begins_s > shared.window_s:
        known.buckets.popleft()
