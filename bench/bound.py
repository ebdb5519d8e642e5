"""Measure a customer's throughput against its contract's bound under overload.

Real processes on loopback. One customer sends far above its bound, first through one
entry and then through all, while other customers stay below theirs. Prints what each
customer received, which shows whether the others are affected.
Run: python bench/bound.py
"""

import random
import sys
import tempfile

import anyio

from cherryrudder.fakes.deployment import Deployment, EngineSpec
from cherryrudder.fakes.load import measure
from cherryrudder.fakes.load_plan import (
    Shape,
    Target,
    parse_customer,
    plan_arrivals,
)
from cherryrudder.model.contracts import Contract, digest_key

MODEL = "briefing"
LAYERS = 6
DURATION_S = 15.0
ANSWER_TOKENS = 16
PROMPT_TOKENS = 8
# Tokens that one request is charged for: its prompt and its answer.
REQUEST_TOKENS = PROMPT_TOKENS + ANSWER_TOKENS
QUIET = ("quiet-1", "quiet-2", "quiet-3")


def make_contract(customer, tokens_per_s):
    """Return a contract whose only effective limit is its token rate."""
    return Contract(
        customer,
        digest_key(customer),
        (MODEL,),
        (),
        requests_per_s=1000.0,
        tokens_per_s=tokens_per_s,
        concurrent_requests=100,
        max_wait_s=2.0,
    )


def run_load(deployment, entries, rates):
    """Send Poisson load at each customer's requests per second; return the report."""
    customers = [parse_customer(f"{c}:{c}:{rate}") for c, rate in rates.items()]
    shape = Shape((PROMPT_TOKENS,), (ANSWER_TOKENS,), 0)
    arrivals = plan_arrivals(customers, shape, DURATION_S, random.Random(1))
    bases = tuple(f"http://{e.addresses['caller']}" for e in entries)
    target = Target(bases, MODEL, LAYERS, True, "", 0.0)
    return anyio.run(measure, arrivals, target)


def main():
    engines = [
        EngineSpec(f"{chain}-{stage}", stage * 3, stage * 3 + 3, LAYERS, tokens_per_s=s)
        for chain, s in (("a", 400.0), ("b", 400.0), ("c", 200.0), ("d", 200.0))
        for stage in range(2)
    ]
    bound = float(sys.argv[1]) if len(sys.argv) > 1 else 300.0
    with (
        tempfile.TemporaryDirectory(prefix="cherryrudder-") as folder,
        Deployment(folder, engines=engines) as deployment,
    ):
        deployment.start()
        deployment.wait_endpoints(len(engines))
        deployment.put_contract(make_contract("flood", bound))
        for customer in QUIET:
            deployment.put_contract(make_contract(customer, bound))
        anyio.run(anyio.sleep, 3.0)
        quiet = dict.fromkeys(QUIET, 0.3 * bound / REQUEST_TOKENS)
        for name, entries in (
            ("one entry", deployment.entries[:1]),
            ("both entries", deployment.entries),
        ):
            for factor in (2, 10):
                flood = factor * bound / REQUEST_TOKENS
                report = run_load(deployment, entries, quiet | {"flood": flood})
                print(f"== {name}, flood at {factor} times its bound of {bound}")
                print_report(report, bound)


def print_report(report, bound):
    """Print what each customer received."""
    for row in report.customers:
        done = row.results.get("done", 0)
        served = row.goodput_requests_per_s * REQUEST_TOKENS
        print(
            f"  {row.customer}: sent {row.sent}, done {done}, {row.results}, "
            f"{100 * served / bound:.0f}% of its bound, "
            f"first token p50 {row.first_token.p50_s:.3f} "
            f"p95 {row.first_token.p95_s:.3f} s, "
            f"between tokens p95 {1000 * row.between_tokens.p95_s:.0f} ms, "
            f"refused within {row.refusal.p95_s:.3f} s (p95)"
        )


if __name__ == "__main__":
    main()
