"""Attribute each late, refused or broken response to one cause, from log lines.

Without it, an operator who sees a tenth of the responses late cannot tell which
mechanism to look at: too little room, a range of layers that no engine held, an engine
that died or one that was slow. Each request gets the first cause that applies: refused,
no end logged, failed or broken off, late first event, long pause.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from .requestlog import Line

IN_TIME = "in time"
# Engine events up to this long before the end of a pause may explain it. A silent
# engine is detected within 0.3 s, and prefill is repeated in about 0.1 s.
EVENT_WINDOW_S = 1.5
# A wait for a chain explains a late first event if it took more than this share of the
# objective.
LONG_WAIT_SHARE = 0.5
# Parts of the reasons, as logged with a retry, that mean that an engine died.
DEATH_REASONS = (
    "died",
    "reset",
    "closed",
    "silent",
    "broken",
    "refused the connection",
)


class Loss(NamedTuple):
    """A request and its cause of loss; `cause` is IN_TIME if it was not lost."""

    request_id: str
    vm: str
    arrived_s: float
    route: str
    account: str
    outcome: str
    cause: str


class Count(NamedTuple):
    """The number of requests with a cause, and their share of all requests."""

    cause: str
    requests: int
    share: float


def attribute(lines: Iterable[Line]) -> list[Loss]:
    """Return the cause of each request, ordered by time of arrival."""
    lines_by_request: dict[tuple[str, str], list[Line]] = collections.defaultdict(list)
    slow_reports: dict[str, list[float]] = collections.defaultdict(list)
    addresses: dict[str, str] = {}
    for line in lines:
        if line.part == "request":
            lines_by_request[line.vm, line.get("request_id")].append(line)
        elif line.event == "endpoint":
            addresses[line.get("engine_id")] = line.get("address")
        elif line.event in ("engine-pace", "pace"):
            slow_reports[addresses.get(line.get("engine_id"), "")].append(line.time_s)
    losses = [
        _loss(request_id, own, slow_reports)
        for (_, request_id), own in lines_by_request.items()
    ]
    return sorted(losses, key=lambda loss: loss.arrived_s)


def count_causes(losses: Iterable[Loss]) -> list[Count]:
    """Return the number of requests per cause, the most frequent cause first."""
    counts = collections.Counter(loss.cause for loss in losses)
    total = sum(counts.values())
    return [Count(cause, n, n / total) for cause, n in counts.most_common()]


def count_by_interval(
    losses: Iterable[Loss], interval_s: float
) -> dict[int, list[Count]]:
    """Return the causes in each interval, by its index from the first arrival."""
    losses = list(losses)
    start_s = min((loss.arrived_s for loss in losses), default=0.0)
    intervals: dict[int, list[Loss]] = collections.defaultdict(list)
    for loss in losses:
        intervals[int((loss.arrived_s - start_s) / interval_s)].append(loss)
    return {number: count_causes(intervals[number]) for number in sorted(intervals)}


def _loss(request_id, own, slow_reports):
    own = sorted(own, key=lambda line: line.time_s)
    first, end = own[0], _last(own, "ended")
    admitted = _last(own, "admitted") or first
    arrived_s = first.time_s
    if end is not None:
        arrived_s = end.time_s - (end.get("total_s") or 0.0)
    return Loss(
        request_id,
        first.vm,
        arrived_s,
        admitted.get("route"),
        admitted.get("account"),
        end.get("outcome") if end is not None else "",
        _cause(own, end, arrived_s, slow_reports),
    )


def _cause(own, end, arrived_s, slow_reports):
    refused = _last(own, "refused")
    if refused is not None:
        return f"refused {refused.get('status')}: {refused.get('reason')}"
    if end is None:
        return "no end: the entry was killed, or it was under way"
    outcome = end.get("outcome")
    if not outcome.startswith("status 2"):
        return outcome
    first_s, objective_s = end.get("first_byte_s", None), end.get("objective_s", 0)
    if first_s is not None and objective_s and first_s > objective_s:
        return _late_cause(own, end, arrived_s, slow_reports)
    gap_s = end.get("gap_s", 0)
    if gap_s and end.get("longest_pause_s", 0) > gap_s:
        until_s = arrived_s + end.get("paused_at_s", 0)
        return "paused: " + _event_cause(own, until_s, slow_reports)
    return IN_TIME


def _late_cause(own, end, arrived_s, slow_reports):
    """Return the cause of a late first event."""
    if end.get("waited_s", 0) > LONG_WAIT_SHARE * end.get("objective_s"):
        return f"late: waited, {end.get('waited_for') or 'for its turn'}"
    return "late: " + _event_cause(
        own, arrived_s + end.get("first_byte_s"), slow_reports
    )


def _event_cause(own, until_s, slow_reports):
    """Return the engine event that explains a delay which ended at `until_s`."""
    nearby = [
        one for one in own if until_s - EVENT_WINDOW_S <= one.time_s <= until_s + 0.01
    ]
    retry = _last(nearby, "retry")
    if retry is not None:
        reason = retry.get("reason")
        return (
            "an engine died"
            if any(word in reason for word in DEATH_REASONS)
            else reason
        )
    reroute = _last(nearby, "reroute")
    if reroute is not None:
        return "moved away" if reroute.get("is_move", False) else "an engine died"
    if _has_slow_engine(own, until_s, slow_reports):
        return "an engine was slow"
    return "engines were busy"


def _has_slow_engine(own, until_s, slow_reports):
    sent = _last(own, "sent")
    parts = sent.get("chain").split(",") if sent is not None else []
    return any(
        abs(reported_s - until_s) < EVENT_WINDOW_S
        for part in parts
        for reported_s in slow_reports.get(part.partition("=")[0], ())
    )


def _last(lines, event):
    matching = [line for line in lines if line.event == event]
    return matching[-1] if matching else None
