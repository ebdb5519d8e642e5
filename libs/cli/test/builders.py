"""Builders of test data for the command-line tool's tests."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

import httpx

from cherryrudder.cli.main import main
from cherryrudder.model.contractfiles import format_contract
from cherryrudder.model.contracts import Contract, digest_key

KEY = "operator-key"
ADDRESSES = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")


def a_contract(customer="petra", **changes):
    """Return a contract that passes every check."""
    contract = Contract(
        customer=customer,
        key_sha256=digest_key("secret"),
        models=("briefing",),
        services=(),
        requests_per_s=10.0,
        tokens_per_s=500.0,
        concurrent_requests=8,
        max_wait_s=5.0,
    )
    return contract._replace(**changes)


class FakeControl:
    """Control VMs that share one state; `faults` are used up in order, one per call.

    A fault is `down`, `no-leader` or `lost` (the change is made, the answer is not
    seen). `after_read` runs once after a read, as another operator's change would.
    """

    def __init__(self):
        self.contracts = {}
        self.stops = {}
        self.answers = {}
        self.calls = []
        self.faults = {}
        self.after_read = lambda: None
        self.lags = 0

    def handle(self, request):
        address = f"{request.url.host}:{request.url.port}"
        body = json.loads(request.content) if request.content else None
        self.calls.append((address, request.method, request.url.path, body))
        waiting = self.faults.get(address, [])
        fault = waiting.pop(0) if waiting else ""
        if fault == "down":
            raise httpx.ConnectError("refused")
        if fault == "no-leader":
            return httpx.Response(503, json={"error": {"code": "no-leader"}})
        if request.headers["authorization"] != f"Bearer {KEY}":
            return httpx.Response(401, json={"error": {"code": "key"}})
        answer = self.answer(request.method, request.url.path, body)
        if fault == "lost":
            raise httpx.ReadTimeout("timed out")
        status = {"conflict": 409, "invalid": 400}.get(answer.get("code"), 200)
        return httpx.Response(status, json=answer)

    def answer(self, method, path, body):
        if path == "/v1/changes":
            return self.change(body)
        if path == "/v1/voters":
            return self.voters(body)
        if path == "/v1/contracts":
            rows = [{"version": v, "contract": c} for v, c in self.contracts.values()]
            self.after_read()
            self.after_read = lambda: None
            return {"revision": 1, "contracts": rows}
        if path == "/v1/stops":
            return {"stops": list(self.stops.values())}
        if path == "/v1/endpoints":
            place = {"vm": "vm-1", "data_centre": "amman-1"}
            return {"endpoints": [{"endpoint": "e1", "kind": "engine", "place": place}]}
        return {"role": "leader", "term": 3, "voters": ["vm-1"]}

    def change(self, body):
        if body["change_id"] not in self.answers:
            self.answers[body["change_id"]] = self.make_change(body)
        return self.answers[body["change_id"]]

    def make_change(self, body):
        if body["kind"] == "announce-stop":
            self.stops[body["stop"]["stop_id"]] = body["stop"]
            return {"code": "ok"}
        if body["kind"] == "cancel-stop":
            known = self.stops.pop(body["stop_id"], None)
            return {"code": "ok"} if known else {"code": "invalid", "message": "none"}
        return self.put(body["contract"], body["expected_version"])

    def put(self, contract, expected_version):
        name = contract["customer"]
        version = self.contracts.get(name, (0, None))[0]
        if version != expected_version:
            return {"code": "conflict", "message": f"version is {version}"}
        self.contracts[name] = (version + 1, contract)
        return {"code": "ok", "version": version + 1, "revision": 1}

    def voters(self, body):
        if body["action"] == "promote" and self.lags:
            self.lags -= 1
            return {"code": "conflict", "message": "the learner lags"}
        return {"code": "ok"}


class CliTestCase(unittest.TestCase):
    """A fake platform, a folder of contract files and the tool in front of them."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "contracts"
        self.folder.mkdir()
        self.key_file = Path(folder.name) / "operator.key"
        self.key_file.write_text(f"{KEY}\n")
        self.control = FakeControl()

    def write(self, *contracts):
        """Write a contract file for each, and return the last one's path."""
        for contract in contracts:
            path = self.folder / f"{contract.customer}.ini"
            path.write_text(format_contract(contract))
        return str(path)

    def run_tool(self, *arguments, expect=0):
        """Run the tool; return what it printed on standard output and error."""
        environment = {
            "CHERRYRUDDER_CONTROL": ",".join(ADDRESSES),
            "CHERRYRUDDER_OPERATOR_KEY_FILE": str(self.key_file),
        }
        out, err = io.StringIO(), io.StringIO()
        transport = httpx.MockTransport(self.control.handle)
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main(list(arguments), environment, transport)
        self.assertEqual(code, expect, out.getvalue() + err.getvalue())
        return out.getvalue() + err.getvalue()

    def changes(self):
        """Return the change calls as address, change id and kind."""
        return [
            (address, body["change_id"], body["kind"])
            for address, _, path, body in self.control.calls
            if path == "/v1/changes"
        ]
