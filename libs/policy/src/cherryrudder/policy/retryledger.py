"""What all entries have spent of the retry budget, as a control VM adds it up.

Load pattern: engines fail for seconds while entries and control VMs restart or are cut
off. If only live entries counted, an entry's retries would be forgotten with its
process, and the next process would spend them again. A control VM that has just started
would divide the budget among the few entries that it has heard.

So a process that ends, or falls silent, counts on: what it reported for one window, and
one more share, which it may have spent since. A control VM gives no totals until it has
known all that for a window, by itself or from another one. Entries without totals keep
to what `sharedbudget` lets them earn.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .sharedbudget import RetryUsage, share_of

# A control VM that starts waits this long for the reports of all entries, and for those
# of an entry that reports only presence yet.
SETTLE_S = 2.0


class BudgetBound(NamedTuple):
    """The operators' budget: retries of a service within a window, at all entries."""

    ratio: float
    slack: float
    window_s: float


class EndedUsage(NamedTuple):
    """What a process had spent at its last report, `age_s` ago, and may have since."""

    address: str
    boot: str
    reported: tuple[RetryUsage, ...]
    # At most this much was spent after the last report, and counts for `left_s` more.
    unreported: tuple[RetryUsage, ...]
    age_s: float
    left_s: float


class _Report(NamedTuple):
    boot: str
    usage: tuple[RetryUsage, ...]
    # Each entry's share of what was left, by service, when the report came.
    shares: dict[str, float]
    at_s: float


class _Ended(NamedTuple):
    reported: tuple[RetryUsage, ...]
    unreported: tuple[RetryUsage, ...]
    reported_s: float
    until_s: float


class RetryLedger:
    """The reports of entries at one control VM.

    `is_first` states that no process of the system ran before this one.
    """

    def __init__(
        self,
        bound: BudgetBound,
        live_s: float,
        started_s: float,
        is_first: bool = False,
    ):
        self.bound = bound
        self.live_s = live_s
        self.started_s = started_s
        # Since when no ended process is unknown here.
        self.known_since_s = float("-inf") if is_first else started_s
        self.reports: dict[str, _Report] = {}
        # By address and boot.
        self.ended: dict[tuple[str, str], _Ended] = {}
        # When processes that haven't reported their usage were first seen.
        self.silent_since_s: dict[tuple[str, str], float] = {}
        self._shares: dict[str, float] = {}


def record_report(
    ledger: RetryLedger,
    address: str,
    boot: str,
    usage: tuple[RetryUsage, ...] | None,
    now_s: float,
) -> None:
    """Record an entry's report; `usage` is None if it is only present."""
    known = ledger.reports.get(address)
    if known is not None and known.boot != boot:
        _end(ledger, address, now_s + ledger.bound.window_s)
        known = None
    if usage is None:
        if known is None:
            ledger.silent_since_s.setdefault((address, boot), now_s)
        return
    ledger.silent_since_s.pop((address, boot), None)
    ledger.ended.pop((address, boot), None)
    ledger.reports[address] = _Report(boot, usage, ledger._shares, now_s)


def sum_others(
    ledger: RetryLedger, address: str, now_s: float
) -> tuple[RetryUsage, ...] | None:
    """Return what all but one entry have spent; None if some of it may be unknown."""
    sweep(ledger, now_s)
    everything = [*ledger.reports.values(), *_ended_usage(ledger, now_s)]
    _update_shares(ledger, everything)
    if not _is_certain(ledger, address, now_s):
        return None
    own = ledger.reports.get(address)
    return _sum(one for one in everything if one is not own)


def sweep(ledger: RetryLedger, now_s: float) -> None:
    """End the entries that have fallen silent, and drop what counts no more."""
    window_s = ledger.bound.window_s
    for address, report in list(ledger.reports.items()):
        if now_s - report.at_s >= ledger.live_s:
            # It may be cut off and spend its share at any time of a window.
            _end(ledger, address, report.at_s + 2 * window_s)
    for key, one in list(ledger.ended.items()):
        if now_s >= max(one.until_s, one.reported_s + window_s):
            del ledger.ended[key]
    for key, since_s in list(ledger.silent_since_s.items()):
        if now_s - since_s > window_s:
            del ledger.silent_since_s[key]


def report_ended(ledger: RetryLedger, now_s: float) -> tuple[EndedUsage, ...]:
    """Return the ended processes that still count, for other control VMs."""
    return tuple(
        EndedUsage(
            *key,
            one.reported,
            one.unreported,
            now_s - one.reported_s,
            one.until_s - now_s,
        )
        for key, one in ledger.ended.items()
    )


def known_s(ledger: RetryLedger, now_s: float) -> float:
    """Return for how long no ended process is unknown here, a window at most."""
    return min(ledger.bound.window_s, now_s - ledger.known_since_s)


def merge_ended(
    ledger: RetryLedger, ended: Iterable[EndedUsage], known_s: float, now_s: float
) -> None:
    """Record the ended processes that another control VM has known for a time."""
    for one in ended:
        live = ledger.reports.get(one.address)
        if live is not None and live.boot == one.boot:
            continue
        merged = _Ended(
            one.reported, one.unreported, now_s - one.age_s, now_s + one.left_s
        )
        known = ledger.ended.get((one.address, one.boot))
        if known is None or _unreported(known) < _unreported(merged):
            ledger.ended[one.address, one.boot] = merged
    ledger.known_since_s = min(ledger.known_since_s, now_s - known_s)


def _unreported(ended):
    return sum(one.retries for one in ended.unreported)


def _is_certain(ledger, address, now_s):
    """Return whether no entry's usage is missing in the totals."""
    if now_s - ledger.started_s < SETTLE_S:
        return False
    if known_s(ledger, now_s) < ledger.bound.window_s:
        return False
    return all(
        now_s - since_s >= SETTLE_S or silent == address
        for (silent, _), since_s in ledger.silent_since_s.items()
    )


def _end(ledger, address, until_s):
    report, now = ledger.reports.pop(address), ledger._shares
    unreported = tuple(
        RetryUsage(one.service, 0, max(_share(report.shares, one), _share(now, one)))
        for one in report.usage
    )
    ended = _Ended(report.usage, unreported, report.at_s, until_s)
    ledger.ended[address, report.boot] = ended


def _share(shares, usage):
    return shares.get(usage.service, 0.0)


def _ended_usage(ledger, now_s):
    """Return the parts of ended processes' usage that still count.

    Requests leave the window evenly, as more of them allow more retries; retries count
    to its end.
    """
    window_s = ledger.bound.window_s
    for one in ledger.ended.values():
        left = 1 - (now_s - one.reported_s) / window_s
        if left > 0:
            usage = tuple(u._replace(requests=left * u.requests) for u in one.reported)
            yield _Report("", usage, {}, one.reported_s)
        if now_s < one.until_s:
            yield _Report("", one.unreported, {}, one.reported_s)


def _update_shares(ledger, reports):
    bound, entries = ledger.bound, len(ledger.reports)
    ledger._shares = {
        one.service: share_of(one, bound.ratio, bound.slack, entries)
        for one in _sum(reports)
    }


def _sum(reports):
    sums: dict[str, list[float]] = {}
    for report in reports:
        for one in report.usage:
            known = sums.setdefault(one.service, [0, 0])
            known[0] += one.requests
            known[1] += one.retries
    return tuple(RetryUsage(name, *counts) for name, counts in sums.items())
