"""Load generator: `python -m cherryrudder.fakes.load`."""

import random
import sys
import uuid

import anyio
import defopt
import httpx
import msgspec

from .load_client import Run, run_load
from .load_plan import Arrival, Shape, Target, parse_customer, plan_arrivals
from .load_stats import Report, format_report, summarize
from .samples import check

# Real callers give up by then; it also limits the duration of the tool's run.
ANSWER_TIMEOUT_S = 120.0
BAD_INPUT = 2
# Avoids a division by zero for a run without arrivals.
MIN_RUN_S = 0.001


async def measure(
    arrivals: list[Arrival],
    target: Target,
    transport: httpx.AsyncBaseTransport | None = None,
) -> Report:
    """Send the arrivals to the entries in turn and return a report of the answers."""
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=None)
    async with httpx.AsyncClient(
        limits=limits, timeout=ANSWER_TIMEOUT_S, transport=transport, trust_env=False
    ) as client:
        # Idempotency keys must differ from those of earlier runs.
        run = Run(client, target, run_id=uuid.uuid4().hex)
        await run_load(run, arrivals)
    elapsed_s = max(MIN_RUN_S, anyio.current_time() - run.start_s)
    # The texts are checked after the run, so that hashing does not slow it down.
    samples = [check(sample, target) for sample in run.samples]
    return summarize(samples, elapsed_s, run.late_start_s)


def main(
    *,
    entries: list[str],
    customers: list[str],
    duration_s: float = 10.0,
    model: str = "briefing",
    model_layers: int = 12,
    prompt_tokens: list[int] = (16,),
    max_tokens: list[int] = (16,),
    shared_prefix_tokens: int = 0,
    stream: bool = True,
    service: str = "",
    deadline_s: float = 0.0,
    seed: int = 1,
    json: bool = False,
):
    """Send open-loop Poisson load to entries and print what callers received.

    :param entries: base addresses, http://IP:PORT, taken in turn
    :param customers: NAME:KEY:REQUESTS_PER_S[:WEIGHT[:PRIORITY]] each
    :param prompt_tokens: prompt lengths to draw from
    :param max_tokens: answer lengths to draw from
    :param shared_prefix_tokens: tokens that all prompts of a customer start with
    :param service: plain service to send filings to, instead of completions
    :param deadline_s: deadline that each request carries, 0 for none
    :param json: print JSON instead of a table
    """
    try:
        parsed = [parse_customer(text) for text in customers]
        if not entries or not parsed:
            raise ValueError("at least one entry and one customer are needed")
    except ValueError as error:
        print(error, file=sys.stderr)
        sys.exit(BAD_INPUT)
    shape = Shape(tuple(prompt_tokens), tuple(max_tokens), shared_prefix_tokens)
    arrivals = plan_arrivals(parsed, shape, duration_s, random.Random(seed))

    target = Target(tuple(entries), model, model_layers, stream, service, deadline_s)
    report = anyio.run(measure, arrivals, target)
    text = msgspec.json.encode(report_fields(report)).decode()
    print(text if json else format_report(report))


def report_fields(value):
    """Return a report with its NamedTuples as dicts, for JSON with field names."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {key: report_fields(item) for key, item in value._asdict().items()}
    if isinstance(value, list):
        return [report_fields(item) for item in value]
    return value


if __name__ == "__main__":
    defopt.run(main)
