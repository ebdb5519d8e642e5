"""Demonstrate request relaying with real processes on loopback (`make demo`).

Exits with 0 only if every check passed. Stops the processes that it started, by pid.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(path) for path in sorted(ROOT.glob("libs/*/src"))]
os.environ["PYTHONPATH"] = ":".join(sys.path[: len(list(ROOT.glob("libs/*/src")))])

from checklist import Checklist  # noqa: E402

from cherryrudder.fakes import fold  # noqa: E402
from cherryrudder.fakes.deployment import (  # noqa: E402
    Deployment,
    EngineSpec,
    ServiceSpec,
    wait_for,
)
from cherryrudder.model.contracts import Contract, digest_key  # noqa: E402

MODEL = "briefing"
LAYERS = 12
# Two chains of engines of different speed.
ENGINES = [
    EngineSpec(f"{chain}-{stage}", stage * 4, stage * 4 + 4, tokens_per_s=speed)
    for chain, speed in (("fast", 400.0), ("slow", 150.0))
    for stage in range(3)
]
SERVICES = [ServiceSpec(f"filing-{number}") for number in range(3)]
CUSTOMERS = ("petra-tours", "ministry-of-works")
LONG_TOKENS = 60
PROMPT = "weather hold at the pad in wadi rum"


def make_contract(customer):
    """Return a contract whose key is the customer's name (for the demo only)."""
    return Contract(
        customer=customer,
        key_sha256=digest_key(customer),
        models=(MODEL,),
        services=("slots",),
        requests_per_s=50.0,
        tokens_per_s=5000.0,
        concurrent_requests=16,
        max_wait_s=10.0,
    )


def run_tool(deployment, *arguments):
    """Run the operators' command-line tool and return the finished process."""
    addresses = ",".join(n.addresses["operator"] for n in deployment.controls)
    environment = os.environ | {
        "CHERRYRUDDER_CONTROL": addresses,
        "CHERRYRUDDER_OPERATOR_KEY_FILE": str(deployment.folder / "operator.key"),
    }
    command = [sys.executable, "-m", "cherryrudder.cli", *arguments]
    return subprocess.run(command, env=environment, capture_output=True, text=True)


def stream(deployment, entry, max_tokens, at_token=None, act=None):
    """Stream a completion and return its text and outcome.

    `act` is called once `at_token` chunks have arrived.
    """
    url = f"http://{deployment.entries[entry].addresses['caller']}/v1/completions"
    headers = {"authorization": f"Bearer {CUSTOMERS[0]}"}
    body = {
        "model": MODEL,
        "prompt": PROMPT,
        "max_tokens": max_tokens,
        "stream": True,
    }
    parts = []
    with deployment.http.stream(
        "POST", url, json=body, headers=headers, timeout=60.0
    ) as reply:
        for line in reply.iter_lines():
            if line == "data: [DONE]":
                return "".join(parts), "done"
            if line.startswith("event: error"):
                return "".join(parts), "broken"
            if line.startswith("data: "):
                parts.append(json.loads(line[6:])["choices"][0]["text"])
                if len(parts) == at_token:
                    act()
    return "".join(parts), f"status {reply.status_code}"


def show_complete_stream(deployment, checklist):
    """Check that a streamed completion equals the text of a single engine."""
    text, outcome = stream(deployment, 0, LONG_TOKENS)
    expected = " ".join(fold.generate(MODEL, LAYERS, PROMPT, LONG_TOKENS))
    checklist.check(
        "a streamed briefing is whole", (text, outcome) == (expected, "done")
    )


def show_filing(deployment, checklist):
    """Check that a filing sent twice with one idempotency key runs once.

    Each copy is sent through another entry.
    """
    answers = []
    for entry in deployment.entries:
        url = f"http://{entry.addresses['caller']}/services/slots/filings"
        headers = {
            "authorization": f"Bearer {CUSTOMERS[1]}",
            "idempotency-key": "slot-17",
        }
        body = {"text": "slot 17 confirmed"}
        answers.append(deployment.http.post(url, json=body, headers=headers).text)
    runs = sum(count_filings(deployment, spec.name) for spec in SERVICES)
    checklist.check("a resent filing gets the same answer", answers[0] == answers[1])
    checklist.check("and ran once", runs == 1)


def count_filings(deployment, name):
    """Return the number of filings in a stand-in service's ledger."""
    ledger = deployment.http.get(deployment.back_end(f"{name}.service") + "/ledger")
    return len(ledger.json()["filings"])


def show_killed_stage(deployment, checklist):
    """Check that a stream completes when a stage and its engine are killed."""
    killed = []

    def kill():
        busy = [n for n in deployment.engines if deployment.dump(n)["in_flight"]]
        killed.append(busy[1].name)
        deployment.nodes[killed[0]].kill()
        deployment.nodes[f"{killed[0]}.engine"].kill()

    started_s = time.monotonic()
    text, outcome = stream(deployment, 0, LONG_TOKENS, 15, kill)
    took_s = time.monotonic() - started_s
    expected = " ".join(fold.generate(MODEL, LAYERS, PROMPT, LONG_TOKENS))
    complete = (text, outcome) == (expected, "done")
    checklist.check(f"{killed[0]} killed mid-stream: whole in {took_s:.1f} s", complete)
    deployment.restart(f"{killed[0]}.engine")
    deployment.restart(killed[0])


def show_planned_stop(deployment, checklist):
    """Check that a planned stop cuts no stream and the endpoint gets no new work."""
    stopped_names = []

    def announce():
        busy = [n for n in deployment.engines if deployment.dump(n)["in_flight"]]
        stopped_names.append(busy[0].name)
        result = run_tool(
            deployment, "stop", "announce", "--scope", "endpoint", stopped_names[0]
        )
        checklist.check("the stop is announced", result.returncode == 0)

    text, outcome = stream(deployment, 1, LONG_TOKENS, 10, announce)
    expected = " ".join(fold.generate(MODEL, LAYERS, PROMPT, LONG_TOKENS))
    checklist.check(
        "a planned stop cuts nothing", (text, outcome) == (expected, "done")
    )
    node = deployment.nodes[stopped_names[0]]
    wait_for(lambda: not deployment.dump(node)["in_flight"], 10, "drained")
    before = count_steps(deployment, stopped_names[0])
    for _ in range(3):
        stream(deployment, 0, 5)
    after = count_steps(deployment, stopped_names[0])
    checklist.check(f"{stopped_names[0]} got no new work", before == after)


def count_steps(deployment, name):
    """Return the number of layer runs in a stand-in engine's ledger."""
    url = deployment.back_end(f"{name}.engine") + "/v1/ledger"
    return len(deployment.http.get(url).json()["runs"])


def main():
    checklist = Checklist()
    started_s = time.monotonic()
    with (
        tempfile.TemporaryDirectory(prefix="cherryrudder-") as folder,
        Deployment(folder, engines=ENGINES, services=SERVICES) as deployment,
    ):
        deployment.start()
        deployment.wait_endpoints(len(ENGINES) + len(SERVICES))
        print(f"{len(deployment.nodes)} processes are up.", flush=True)
        contracts = deployment.write_contracts([make_contract(c) for c in CUSTOMERS])
        applied = run_tool(deployment, "apply", str(contracts))
        print(applied.stdout, applied.stderr, end="")
        checklist.check("two contracts are applied", applied.returncode == 0)
        again = run_tool(deployment, "apply", str(contracts))
        checklist.check("a second apply changes nothing", again.returncode == 0)
        wait_for(
            lambda: all(
                len(deployment.dump(e)["contracts"]) == 2 for e in deployment.entries
            ),
            5,
            "contracts in force",
        )
        show_complete_stream(deployment, checklist)
        show_filing(deployment, checklist)
        show_killed_stage(deployment, checklist)
        show_planned_stop(deployment, checklist)
        dump = deployment.dump(deployment.entries[0])
        print(f"entry-0 is at revision {dump['revision']}; its endpoints:")
        for name, seen in sorted(dump["endpoints"].items()):
            state = "leaving" if seen["leaving"] else f"{seen['credits']} credits"
            print(f"  {name}: {state}, {seen['in_flight']} in flight")
    took_s = time.monotonic() - started_s
    print(f"{checklist.failed} not held, {took_s:.0f} s")
    return 1 if checklist.failed else 0


if __name__ == "__main__":
    sys.exit(main())
