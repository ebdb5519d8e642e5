"""Statistics of a load run, calculated from its samples."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from .samples import Result, Sample

MICROSECONDS = 1_000_000
MAX_TIME_US = 3600 * MICROSECONDS
DIGITS = 3
REFUSALS = (429, 503)
BAD = (Result.CUT, Result.NO_OUTCOME, Result.WRONG, Result.TRANSPORT)


class Percentiles(NamedTuple):
    """Percentiles and maximum of a distribution of times."""

    p50_s: float
    p95_s: float
    p99_s: float
    max_s: float


class Figures(NamedTuple):
    """Results of one customer, or of all customers together.

    Goodput counts only the tokens of complete and correct answers.
    """

    customer: str
    sent: int
    results: dict[str, int]
    statuses: dict[int, int]
    first_token: Percentiles
    between_tokens: Percentiles
    total: Percentiles
    goodput_tokens_per_s: float
    goodput_requests_per_s: float
    refusal: Percentiles
    retry_after: Percentiles
    # Refusals without Retry-After, which the guarantees forbid.
    no_retry_after: int


class Report(NamedTuple):
    """Report of a load run; Jain's index is over goodput per weight."""

    customers: list[Figures]
    together: Figures
    jain: float
    elapsed_s: float
    # The longest delay of the tool behind its plan. Above some milliseconds the figures
    # measure the tool instead of the system.
    late_start_s: float


def percentiles(times_s: Iterable[float]) -> Percentiles:
    """Return the percentiles of times, to three significant digits."""
    histogram = HdrHistogram(1, MAX_TIME_US, DIGITS)
    for time_s in times_s:
        histogram.record_value(min(MAX_TIME_US, max(1, round(time_s * MICROSECONDS))))
    if not histogram.get_total_count():
        return Percentiles(0.0, 0.0, 0.0, 0.0)
    points = (histogram.get_value_at_percentile(point) for point in (50, 95, 99, 100))
    return Percentiles(*(point / MICROSECONDS for point in points))


def jain_index(shares: list[float]) -> float:
    """Return Jain's index: 1 if all n shares are equal, 1/n if only one is not 0."""
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 1.0


def figures(name: str, samples: list[Sample], elapsed_s: float) -> Figures:
    """Return the statistics of the given samples."""
    done = [sample for sample in samples if sample.result == Result.DONE]
    refused = [sample for sample in samples if sample.status in REFUSALS]
    waits_s = [sample.retry_after_s for sample in refused if sample.retry_after_s]
    tokens = sum(len(sample.text.split()) for sample in done)
    gaps_s = (gap_s for sample in done for gap_s in sample.token_gaps_s)
    return Figures(
        name,
        len(samples),
        dict(Counter(str(sample.result) for sample in samples)),
        dict(Counter(sample.status for sample in samples)),
        percentiles(sample.first_token_s for sample in done),
        percentiles(gaps_s),
        percentiles(sample.total_s for sample in done),
        tokens / elapsed_s,
        len(done) / elapsed_s,
        percentiles(sample.total_s for sample in refused),
        percentiles(waits_s),
        len(refused) - len(waits_s),
    )


def summarize(samples: list[Sample], elapsed_s: float, late_start_s: float) -> Report:
    """Return the report of a run that took `elapsed_s`."""
    by_customer = {}
    for sample in samples:
        by_customer.setdefault(sample.arrival.customer, []).append(sample)
    customers, shares = [], []
    for customer, own in sorted(by_customer.items()):
        customers.append(figures(customer.name, own, elapsed_s))
        shares.append(customers[-1].goodput_tokens_per_s / customer.weight)
    together = figures("all", samples, elapsed_s)
    return Report(customers, together, jain_index(shares), elapsed_s, late_start_s)


def format_report(report: Report) -> str:
    """Return the report as a text table."""
    heads = ("customer", "sent", "done", "not-run", "unknown", "bad", "tokens/s")
    heads += ("ttft p50", "p99", "tbt p50", "p99", "refusal p99", "retry-after")
    lines = [f"{heads[0]:14}" + "".join(f"{head:>12}" for head in heads[1:])]
    lines += [_row(row) for row in (*report.customers, report.together)]
    lines.append(
        f"Jain's index {report.jain:.3f}, {report.elapsed_s:.1f} s, "
        f"latest start {report.late_start_s * 1000:.1f} ms after plan"
    )
    bad = {kind: n for kind, n in report.together.results.items() if kind in BAD}
    if bad:
        lines.append(f"bad: {', '.join(f'{n} {kind}' for kind, n in bad.items())}")
    if report.together.no_retry_after:
        lines.append(f"refusals without Retry-After: {report.together.no_retry_after}")
    return "\n".join(lines)


def _row(row):
    counts = [row.results.get(name, 0) for name in ("done", "not-run", "unknown")]
    cells = [row.sent, *counts, row.sent - sum(counts)]
    cells.append(f"{row.goodput_tokens_per_s:.1f}")
    for times in (row.first_token, row.between_tokens):
        cells += [f"{times.p50_s * 1000:.1f} ms", f"{times.p99_s * 1000:.1f} ms"]
    cells.append(f"{row.refusal.p99_s * 1000:.1f} ms")
    cells.append(f"{row.retry_after.p50_s:.2f} s")
    return f"{row.customer:14}" + "".join(f"{cell:>12}" for cell in cells)
