"""Builders of test data for the command-line tool's tests."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

import httpx

from cherryrudder.cli import requestlog
from cherryrudder.cli.main import main
from cherryrudder.cli.records import Status, Voter
from cherryrudder.cli.requestlog import Line
from cherryrudder.model import jsoncodec
from cherryrudder.model.contractfiles import format_contract
from cherryrudder.model.contracts import Contract, digest_key
from cherryrudder.model.endpoints import Announcement, Kind, Place

KEY = "operator-key"
STATUS_OF_CODE = {
    "conflict": 409,
    "refused": 409,
    "reused": 409,
    "unknown": 404,
    "invalid": 400,
}
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


def a_line(time_s, event, part="request", vm="front-1", role="entry", **fields):
    """Return a log line; request lines get the id `r1` unless another is given."""
    if part == "request":
        fields = {"request_id": "r1"} | fields
    return Line(time_s, vm, role, part, event, fields)


def a_log_file(lines, *texts):
    """Return the path of a log file that holds the texts, then the lines."""
    texts = [*texts]
    for line in lines:
        head = dict(zip(requestlog.COMMON_FIELDS, line[:5], strict=True))
        texts.append(json.dumps(head | line.fields))
    path = Path(tempfile.mkdtemp()) / "entry.log"
    path.write_text("\n".join(texts))
    return str(path)


def a_voter(number):
    """Return a control VM with its disk."""
    return Voter(f"vm-{number}", f"disk-{number}", f"127.0.0.1:{number}")


class FakeControl:
    """Control VMs that share one state; each call to an address uses up one fault.

    A fault is `down`, `no-leader` or `lost` (the change is made, the answer is lost).
    `after_read` runs once after the next read of contracts, to simulate a change by
    another operator.
    """

    def __init__(self):
        self.contracts = {}
        self.stops = {}
        self.cancelled = set()
        self.answers = {}
        self.calls = []
        self.faults = {}
        self.after_read = lambda: None
        self.voters = [a_voter(n) for n in (1, 2, 3)]
        self.learners = []
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
            return httpx.Response(503, json={"error": {"code": "no-quorum"}})
        if request.headers["authorization"] != f"Bearer {KEY}":
            return httpx.Response(401, json={"error": {"code": "wrong-key"}})
        answer = self.answer(request.url.path, body, request.url.port)
        if fault == "lost":
            raise httpx.ReadTimeout("timed out")
        code = answer.get("code") or answer.get("error", {}).get("code")
        status = STATUS_OF_CODE.get(code, 200)
        return httpx.Response(status, json=answer)

    def answer(self, path, body, port):
        if path == "/v1/changes":
            return self.change(body)
        if path == "/v1/voters":
            return self.change_voters(body["action"], Voter(**body["voter"]))
        if path == "/v1/contracts":
            rows = [
                {"version": version, "revision": 1, "contract": contract}
                for version, contract in self.contracts.values()
            ]
            self.after_read()
            self.after_read = lambda: None
            return {"revision": 1, "contracts": rows}
        if path == "/v1/stops":
            stops = [{"revision": 1, "stop": stop} for stop in self.stops.values()]
            return {"stops": stops}
        if path == "/v1/endpoints":
            place = Place("vm-9", "amman-1", "jordan")
            engine = Announcement("e1", Kind.ENGINE, "i", 0, place, "127.0.0.1:8")
            own = engine._replace(endpoint=f"e{port % 3}", sequence=port)
            rows = [engine._replace(leaving=True), own._replace(leaving=port == 3)]
            return {"endpoints": jsoncodec.plain(rows)}
        status = Status("vm-1", "disk-1", "leader", 3, "vm-1", 9, 9)
        status = status._replace(voters=self.voters, learners=self.learners)
        return jsoncodec.plain(status) | {"added_later": 1}

    def change(self, body):
        if body["change_id"] not in self.answers:
            self.answers[body["change_id"]] = self.make_change(body)
        return self.answers[body["change_id"]]

    def make_change(self, body):
        if body["kind"] == "announce-stop":
            name = body["stop"]["stop_id"]
            if name in self.cancelled:
                return {"code": "conflict", "message": "cancelled before"}
            self.stops[name] = body["stop"]
            return {"code": "ok"}
        if body["kind"] == "cancel-stop":
            if self.stops.pop(body["stop_id"], None):
                self.cancelled.add(body["stop_id"])
            known = body["stop_id"] in self.cancelled
            return {"code": "ok"} if known else {"code": "unknown", "message": "none"}
        return self.put(body["contract"], body["expected_version"])

    def put(self, contract, expected_version):
        name = contract["customer"]
        version = self.contracts.get(name, (0, None))[0]
        if version != expected_version:
            return {"code": "conflict", "message": f"version is {version}"}
        self.contracts[name] = (version + 1, contract)
        return {"code": "ok", "version": version + 1, "revision": 1}

    def change_voters(self, action, voter):
        if action == "add-learner" and voter not in self.learners + self.voters:
            self.learners.append(voter)
        elif action == "promote" and voter in self.learners and not self.lags:
            self.learners.remove(voter)
            self.voters.append(voter)
        elif action == "remove" and voter in self.voters:
            self.voters.remove(voter)
        else:
            self.lags = max(0, self.lags - 1)
            return {"error": {"code": "refused", "message": "the leader refused"}}
        return {"done": True}


class CliTestCase(unittest.TestCase):
    """Base of tests that run the tool on contract files and a fake platform."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "contracts"
        self.folder.mkdir()
        self.key_file = Path(folder.name) / "operator.key"
        self.key_file.write_text(f"{KEY}\n")
        self.control = FakeControl()

    def write(self, *contracts):
        """Write a contract file for each contract and return the last one's path."""
        for contract in contracts:
            path = self.folder / f"{contract.customer}.ini"
            path.write_text(format_contract(contract))
        return str(path)

    def run_tool(self, *arguments, expect=0):
        """Run the tool; return its standard output followed by its standard error."""
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
        """Return the change requests received, as address, change id and kind."""
        return [
            (address, body["change_id"], body["kind"])
            for address, _, path, body in self.control.calls
            if path == "/v1/changes"
        ]
