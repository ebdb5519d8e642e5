"""Builders of test data and of deployments of real processes."""

import hashlib
import tempfile
import unittest
from pathlib import Path

from cherryrudder.fakes.deployment import (
    Deployment,
    EngineSpec,
    ServiceSpec,
    wait_for,
)
from cherryrudder.model.contracts import Contract, digest_key
from cherryrudder.state.commands import Claim

MODEL = "briefing"
LAYERS = 12
CUSTOMER = "petra-tours"
# Long, since CI machines may be busy; the awaited condition normally ends the wait.
WAIT_S = 60.0
# Printed of each process's log when a test fails.
LOG_LINES = 30


def a_contract(customer=CUSTOMER, **changes):
    """Return a contract whose key is the customer's name."""
    contract = Contract(
        customer=customer,
        key_sha256=digest_key(customer),
        models=(MODEL,),
        services=("slots",),
        requests_per_s=200.0,
        tokens_per_s=20000.0,
        concurrent_requests=64,
        max_wait_s=20.0,
    )
    return contract._replace(**changes)


def a_claim(attempt_id="attempt-1", index=1, **changes):
    """Return a claim for the sidecar incarnation `run-1`."""
    claim = Claim(
        customer=CUSTOMER,
        key=f"key of {attempt_id}",
        body_sha256=hashlib.sha256(b"body").hexdigest(),
        attempt_id=attempt_id,
        service="slots",
        endpoint="filing-0",
        incarnation="run-1",
        address="127.0.0.1:1",
        index=index,
    )
    return claim._replace(**changes)


def two_chains(tokens_per_s=200.0):
    """Return two chains of three engines each."""
    return [
        EngineSpec(f"{chain}-{stage}", stage * 4, stage * 4 + 4, LAYERS, MODEL, speed)
        for chain, speed in (("a", tokens_per_s), ("b", tokens_per_s))
        for stage in range(3)
    ]


def services(count):
    """Return a number of endpoints of the filing service."""
    return [ServiceSpec(f"filing-{number}") for number in range(count)]


class DeploymentTestCase(unittest.TestCase):
    """A test case with one deployment of real processes on loopback per class."""

    controls = 3
    entries = 2
    engines: list = []
    services: list = []
    contracts = (a_contract(),)

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory(prefix="cherryrudder-test-")
        cls.addClassCleanup(folder.cleanup)
        cls.deployment = Deployment(
            Path(folder.name), cls.controls, cls.entries, cls.engines, cls.services
        )
        cls.addClassCleanup(cls.deployment.close)
        cls.deployment.start()
        cls.deployment.wait_endpoints(len(cls.engines) + len(cls.services))
        for contract in cls.contracts:
            answer = cls.deployment.put_contract(contract)
            assert answer.status_code == 200, answer.text
        for entry in cls.deployment.entries:
            wait_for(
                lambda entry=entry: (
                    len(cls.deployment.dump(entry)["contracts"]) == len(cls.contracts)
                ),
                WAIT_S,
                "contracts in force",
            )

    def run(self, result=None):
        """Run a test; if it fails, print each process's exit code and last log lines.

        They are no longer available after the deployment is closed.
        """
        result = super().run(result or self.defaultTestResult())
        if any(test is self for test, _ in result.failures + result.errors):
            for node in self.deployment.nodes.values():
                code = node.process and node.process.poll()
                lines = node.log_path.read_text(errors="replace").splitlines()
                print(
                    f"--- {node.name}: exit code {code}", *lines[-LOG_LINES:], sep="\n"
                )
        return result

    def post(self, path, entry=0, customer=CUSTOMER, timeout_s=WAIT_S, **options):
        """Post to an entry as a customer."""
        headers = {"authorization": f"Bearer {customer}"}
        headers |= options.pop("headers", {})
        address = self.deployment.entries[entry].addresses["caller"]
        return self.deployment.http.post(
            f"http://{address}{path}", headers=headers, timeout=timeout_s, **options
        )

    def complete(self, prompt="a b c", max_tokens=8, entry=0, **options):
        """Request a completion and return the answer."""
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
        return self.post("/v1/completions", entry, json=body, **options)

    def file(self, key, text="slot 17", entry=0, **options):
        """Send one filing under a key and return the answer."""
        return self.post(
            "/services/slots/filings",
            entry,
            headers={"idempotency-key": key},
            json={"text": text},
            **options,
        )

    def filings(self, text):
        """Return how often a text is in the services' ledgers."""
        count = 0
        for spec in self.services:
            url = self.deployment.back_end(f"{spec.name}.service") + "/ledger"
            filed = self.deployment.http.get(url).json()["filings"]
            count += sum(filing["text"] == text for filing in filed)
        return count

    def fault(self, name, **faults):
        """Set the faults of a fake engine or service."""
        path = "/faults" if name.endswith(".service") else "/v1/faults"
        url = self.deployment.back_end(name) + path
        self.deployment.http.post(url, json=faults).raise_for_status()

    def wait(self, condition, what):
        """Wait for a condition."""
        return wait_for(condition, WAIT_S, what)
