"""How many retries an entry may send, of those that all entries may send together.

Load pattern: a data centre loses an engine, and all retries of the next second are
those of the entries there. Shared evenly among some dozens of entries, the operators'
budget leaves each a few: the entries that need retries give streams up for want of
them, while nine tenths of the budget lie unused at the others.

Each entry tells what it has spent in the operators' window, and is told what the others
have. Until the next word it may spend an even part of most of what is left, less what
it has spent since that news of the others was made. Given a new part with each word,
entries that all need much spent the same retries two and three times over before they
heard of one another. An entry that needs much where the others do not gets a new part
as often as the news is renewed.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from . import retries
from .retries import Attempt, RetryBudget, Verdict

# A part stays unspent: clocks of the entries' windows differ, and a new entry begins
# with a part of its own.
SAFE_SHARE = 0.8
# What is counted together; a small part of the operators' window of some 10 s.
BUCKET_S = 0.1
# Of what is left, for the words that are under way.
SPENDABLE_SHARE = 0.6
# Of an entry's part, kept for answers that have begun. Engines that leave refuse what
# comes in that moment, and its retries took the budget of the streams that they cut
# two seconds later: these ended in the middle, 0.7 s after the cut, where a request
# that has not run can be told when to come back.
RESERVED_SHARE = 0.3
# An answer that has begun goes on with this much of a retry saved. Worked out: 26
# entries all have parts below one while fewer than 44 are left to them together. Each
# may go over by one between two words, 26 of the 107 that `SAFE_SHARE` keeps of 536.
LEAST_FOR_BEGUN = 0.25
# Without a word for this long an entry goes by its own requests: four are missed.
UNTOLD_S = 2.0


class RetryUsage(NamedTuple):
    """Requests for a service within the window, and retries of them."""

    service: str
    requests: int
    retries: int


class _Bucket:
    def __init__(self, begins_s):
        self.begins_s = begins_s
        self.requests = 0
        self.retries = 0


class _Service:
    def __init__(self, earned, most):
        self.budget = RetryBudget(earned, most)
        # What the last word left this entry, and when it came.
        self.part = 0.0
        self.told_s = float("-inf")
        self.buckets: deque[_Bucket] = deque()


class SharedBudget:
    """One entry's part of the operators' retry budget, by service."""

    def __init__(self, ratio: float, slack: float, window_s: float, entries: int):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.entries = entries
        self.services: dict[str, _Service] = {}


def record_request(shared: SharedBudget, service: str, now_s: float) -> None:
    """Count a client's request for a service."""
    known = _service(shared, service)
    if now_s - known.told_s > UNTOLD_S:
        # A word counts the requests of all. Earned beside it, each let every entry go
        # on with one retry between two words, also when nothing was left.
        retries.record_request(known.budget)
    _bucket(shared, known, now_s).requests += 1


def may_retry(
    shared: SharedBudget,
    service: str,
    attempt: Attempt,
    now_s: float,
    has_begun: bool | None = None,
) -> Verdict:
    """Decide about a failed attempt, and count it if it is sent again.

    `has_begun` tells whether the caller has a part of the answer already; None where
    answers of this service are never passed on in parts.
    """
    known = _service(shared, service)
    credit = _credit(known, has_begun)
    known.budget.saved += credit
    verdict = retries.may_retry(known.budget, attempt, now_s)
    known.budget.saved -= credit
    if verdict is Verdict.RETRY:
        _bucket(shared, known, now_s).retries += 1
    return verdict


def _credit(known, has_begun):
    if has_begun is None:
        return 0.0
    return 1.0 - LEAST_FOR_BEGUN if has_begun else -RESERVED_SHARE * known.part


def count_usage(shared: SharedBudget, now_s: float) -> tuple[RetryUsage, ...]:
    """Return what this entry has counted within the window."""
    sums = []
    for name, known in shared.services.items():
        _drop_old(shared, known, now_s)
        if known.buckets:
            requests = sum(bucket.requests for bucket in known.buckets)
            repeats = sum(bucket.retries for bucket in known.buckets)
            sums.append(RetryUsage(name, requests, repeats))
    return tuple(sums)


def update_share(
    shared: SharedBudget,
    others: Iterable[RetryUsage],
    entries: int,
    now_s: float,
    age_s: float = 0.0,
) -> None:
    """Take this entry's part of what all entries have left.

    `age_s` is how old the news of the others is on the average. What they spent
    meanwhile isn't known; each keeps to one part for that time, this entry too.
    """
    shared.entries = max(1, entries)
    by_service = {one.service: one for one in others}
    for own in count_usage(shared, now_s):
        other = by_service.get(own.service, RetryUsage(own.service, 0, 0))
        allowed = shared.ratio * (own.requests + other.requests) + shared.slack
        left = SAFE_SHARE * allowed - own.retries - other.retries
        part = max(0.0, SPENDABLE_SHARE * left / shared.entries)
        known = shared.services[own.service]
        known.part, known.told_s = part, now_s
        budget = known.budget
        budget.saved = max(0.0, part - _spent_since(known, now_s - age_s))
        budget.max_saved = max(part, _even_part(shared))


def _spent_since(known, since_s):
    return sum(b.retries for b in known.buckets if b.begins_s > since_s)


def _even_part(shared):
    """Return what an entry may save up that hears of no others."""
    return SAFE_SHARE * shared.slack / shared.entries


def _service(shared, name):
    known = shared.services.get(name)
    if known is None:
        earned = SAFE_SHARE * shared.ratio
        known = shared.services[name] = _Service(earned, _even_part(shared))
    return known


def _bucket(shared, known, now_s):
    _drop_old(shared, known, now_s)
    if not known.buckets or now_s - known.buckets[-1].begins_s >= BUCKET_S:
        known.buckets.append(_Bucket(now_s))
    return known.buckets[-1]


def _drop_old(shared, known, now_s):
    while known.buckets and now_s - known.buckets[0].begins_s > shared.window_s:
        known.buckets.popleft()
