"""Why requests were not answered in time, each by one cause, from the processes' logs.

An operator who sees a tenth of the answers late has to know which of many mechanisms to
look at: too little room, a range of layers that nobody held, an engine that died, one
that was slow. Each request gets the first of these that explains its loss, in the order
of its life: refused, late before its first event, late by a pause, broken off.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from .requestlog import Line

IN_TIME = "in time"
# What happened to an engine this long before a pause was over may explain it. Silence
# is found within 0.3 s, and a prompt is read again in some 0.1 s.
BEFORE_S = 1.5
# Part of the objective past which a wait for a chain explains a late first event.
WAIT_SHARE = 0.5
# A retry is logged with the reason of the attempt before it.
DIED = ("died", "reset", "closed", "silent", "broken", "refused the connection")


class Loss(NamedTuple):
    """One request, when it arrived, and what it was lost by; `cause` may be IN_TIME."""

    request_id: str
    vm: str
    arrived_s: float
    route: str
    account: str
    outcome: str
    cause: str


class Count(NamedTuple):
    """How many requests had a cause, and which part of all that is."""

    cause: str
    requests: int
    share: float


def attribute(lines: Iterable[Line]) -> list[Loss]:
    """Return what became of each request, in the order of their arrival."""
    own: dict[tuple[str, str], list[Line]] = collections.defaultdict(list)
    slow: dict[str, list[float]] = collections.defaultdict(list)
    addresses: dict[str, str] = {}
    for line in lines:
        if line.part == "request":
            own[line.vm, line.tells("request_id")].append(line)
        elif line.event == "endpoint":
            addresses[line.tells("engine_id")] = line.tells("address")
        elif line.event in ("engine-pace", "pace"):
            slow[addresses.get(line.tells("engine_id"), "")].append(line.time_s)
    found = [_loss(request_id, told, slow) for (_, request_id), told in own.items()]
    return sorted(found, key=lambda loss: loss.arrived_s)


def count(losses: Iterable[Loss]) -> list[Count]:
    """Return the causes, the most frequent first."""
    counts = collections.Counter(loss.cause for loss in losses)
    total = sum(counts.values())
    return [Count(cause, n, n / total) for cause, n in counts.most_common()]


def by_second(losses: Iterable[Loss], width_s: float) -> dict[int, list[Count]]:
    """Return the causes in each stretch of time, by its number since the first."""
    losses = list(losses)
    begins_s = min((loss.arrived_s for loss in losses), default=0.0)
    stretches: dict[int, list[Loss]] = collections.defaultdict(list)
    for loss in losses:
        stretches[int((loss.arrived_s - begins_s) / width_s)].append(loss)
    return {number: count(stretches[number]) for number in sorted(stretches)}


def _loss(request_id, told, slow):
    told = sorted(told, key=lambda line: line.time_s)
    first, end = told[0], _last(told, "ended")
    admitted = _last(told, "admitted") or first
    arrived_s = first.time_s
    if end is not None:
        arrived_s = end.time_s - (end.tells("total_s") or 0.0)
    return Loss(
        request_id,
        first.vm,
        arrived_s,
        admitted.tells("route"),
        admitted.tells("account"),
        end.tells("outcome") if end is not None else "",
        _cause(told, end, arrived_s, slow),
    )


def _cause(told, end, arrived_s, slow):
    refused = _last(told, "refused")
    if refused is not None:
        return f"refused {refused.tells('status')}: {refused.tells('reason')}"
    if end is None:
        return "no end: the entry was killed, or it was under way"
    outcome = end.tells("outcome")
    if not outcome.startswith("status 2"):
        return outcome
    first_s, objective_s = end.tells("first_byte_s", None), end.tells("objective_s", 0)
    if first_s is not None and objective_s and first_s > objective_s:
        return _late_cause(told, end, arrived_s, slow)
    gap_s = end.tells("gap_s", 0)
    if gap_s and end.tells("longest_pause_s", 0) > gap_s:
        until_s = arrived_s + end.tells("paused_at_s", 0)
        return "paused: " + _event_cause(told, until_s, slow)
    return IN_TIME


def _late_cause(told, end, arrived_s, slow):
    """Return what kept a first event from being in time."""
    if end.tells("waited_s", 0) > WAIT_SHARE * end.tells("objective_s"):
        return f"late: waited, {end.tells('waited_for') or 'for its turn'}"
    return "late: " + _event_cause(told, arrived_s + end.tells("first_byte_s"), slow)


def _event_cause(told, until_s, slow):
    """Return what happened to the engines of a request before a time."""
    near = [one for one in told if until_s - BEFORE_S <= one.time_s <= until_s + 0.01]
    retry = _last(near, "retry")
    if retry is not None:
        reason = retry.tells("reason")
        return "an engine died" if any(word in reason for word in DIED) else reason
    reroute = _last(near, "reroute")
    if reroute is not None:
        return "moved away" if reroute.tells("is_move", False) else "an engine died"
    if _has_slow_engine(told, until_s, slow):
        return "an engine was slow"
    return "engines were busy"


def _has_slow_engine(told, until_s, slow):
    sent = _last(told, "sent")
    parts = sent.tells("chain").split(",") if sent is not None else []
    return any(
        abs(told_s - until_s) < BEFORE_S
        for part in parts
        for told_s in slow.get(part.partition("=")[0], ())
    )


def _last(lines, event):
    found = [line for line in lines if line.event == event]
    return found[-1] if found else None
