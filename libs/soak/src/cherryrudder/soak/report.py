"""Report of a run's answers by kind of request, by entry and over time."""

import statistics
from collections.abc import Iterable
from typing import TypedDict

from .guarantees import Answer, Disturbance, History

WINDOW_S = 1.0
# Latency objectives. On idle stand-ins a whole stream takes 0.2 s and a filing 0.02 s,
# so a slower request than these had to wait.
IN_TIME_S = {"stream": 1.0, "filing": 0.25, "query": 0.25}
OUTCOMES = ("in_time", "late", "denied", "refused", "failed")


OUTCOME_BY_STATUS = {401: "denied", 429: "refused", 503: "refused"}


class Counts(TypedDict):
    """Number of requests by outcome, and latency of the answered ones."""

    asked: int
    in_time: int
    late: int
    # Rejected because their key was revoked.
    denied: int
    refused: int
    failed: int
    p50_s: float
    p99_s: float


class Window(TypedDict):
    """The requests sent in one second, and the faults active in it."""

    begins_s: float
    counts: Counts
    faults: list[str]


class Report(TypedDict):
    """Report of one run, as written to JSON."""

    title: str
    by_kind: dict[str, Counts]
    by_entry: dict[str, Counts]
    windows: list[Window]


def outcome(answer: Answer) -> str:
    """Return the outcome of a request as its caller saw it."""
    if answer.status == 200 and answer.is_whole:
        took_s = answer.ended_s - answer.sent_s
        return "in_time" if took_s <= IN_TIME_S[answer.kind] else "late"
    return OUTCOME_BY_STATUS.get(answer.status, "failed")


def count(answers: Iterable[Answer]) -> Counts:
    """Return the outcome counts and latencies of the given answers."""
    answers = list(answers)
    ends = [outcome(answer) for answer in answers]
    served = [a.ended_s - a.sent_s for a in answers if a.status == 200 and a.is_whole]
    counts = {name: ends.count(name) for name in OUTCOMES}
    return Counts(
        asked=len(answers),
        p50_s=round(_quantile(served, 50), 3),
        p99_s=round(_quantile(served, 99), 3),
        **counts,
    )


def _quantile(values, percent):
    if len(values) < 2:
        return values[0] if values else 0.0
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]


def summarise(title: str, history: History) -> Report:
    """Return the report of a run."""
    answers = sorted(history.answers, key=lambda answer: answer.sent_s)
    return Report(
        title=title,
        by_kind=_grouped(answers, lambda answer: answer.kind),
        by_entry=_grouped(answers, lambda answer: answer.node),
        windows=_windows(answers, history.disturbances),
    )


def _grouped(answers, key):
    names = sorted({key(answer) for answer in answers})
    return {name: count(a for a in answers if key(a) == name) for name in names}


def _windows(answers: list[Answer], disturbances: Iterable[Disturbance]):
    if not answers:
        return []
    first_s = answers[0].sent_s
    length = int((answers[-1].sent_s - first_s) / WINDOW_S) + 1
    return [
        _window(answers, disturbances, first_s, number * WINDOW_S)
        for number in range(length)
    ]


def _window(answers, disturbances, first_s, at_s):
    begins_s, ends_s = first_s + at_s, first_s + at_s + WINDOW_S
    return Window(
        begins_s=at_s,
        counts=count(a for a in answers if begins_s <= a.sent_s < ends_s),
        faults=sorted(
            {
                str(one.kind)
                for one in disturbances
                if one.begins_s < ends_s and begins_s < one.ends_s
            }
        ),
    )


def table(report: Report) -> str:
    """Return a report as a text table."""
    lines = [report["title"], _row("", ("asked", *OUTCOMES, "p50 s", "p99 s"))]
    for part in ("by_kind", "by_entry"):
        lines += [_row(name, _cells(counts)) for name, counts in report[part].items()]
    for window in report["windows"]:
        name = f"second {window['begins_s']:.0f}"
        faults = ", ".join(window["faults"])
        lines.append(f"{_row(name, _cells(window['counts']))}  {faults}".rstrip())
    return "\n".join(lines)


def compare(one: Report, other: Report) -> str:
    """Return a table of two runs' outcome percentages, in the order of OUTCOMES."""
    lines = [_row("of 100 asked", (one["title"], other["title"]), 26)]
    for part in ("by_kind", "by_entry"):
        for name in sorted({*one[part], *other[part]}):
            cells = [_shares(report[part].get(name)) for report in (one, other)]
            lines.append(_row(name, cells, 26))
    return "\n".join(lines)


def _shares(counts):
    if not counts or not counts["asked"]:
        return "none asked"
    return " ".join(f"{100 * counts[name] / counts['asked']:.1f}" for name in OUTCOMES)


def _cells(counts):
    return [counts[name] for name in ("asked", *OUTCOMES, "p50_s", "p99_s")]


def _row(name, cells, width=9):
    return f"{name:<12}" + "".join(f"{cell!s:>{width}}" for cell in cells)
