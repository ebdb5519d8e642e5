"""An entry's service calls in one process, over a real state machine and real gates.

Requests to control VMs and sidecars are function calls, so that a test decides which of
them fail and in which order.
"""

import hashlib
from types import SimpleNamespace

import anyio
from builders import CUSTOMER, a_contract

from cherryrudder.daemon import gate
from cherryrudder.daemon.callers import (
    DEADLINE_HEADER,
    OUTCOME_HEADER,
    contracts_by_key,
)
from cherryrudder.daemon.errors import NoQuorum
from cherryrudder.daemon.fleet import FleetView
from cherryrudder.daemon.gate import Gate, Verdict
from cherryrudder.daemon.requestdispatch import RequestDispatch
from cherryrudder.daemon.services import KEY_HEADER, Services
from cherryrudder.model.endpoints import Announcement, Kind, Place
from cherryrudder.policy import admission
from cherryrudder.state import claims
from cherryrudder.state.commands import OpenClaim
from cherryrudder.state.records import State
from cherryrudder.wire.asgi import Request
from cherryrudder.wire.errors import ConnectFailed, WireError

SERVICE = "slots"
PATH = "/filings"
KEY = "k"
BODY = "{}"
RUN = "run-1"
CALL_S = 20.0
PLACE = Place("vm", "dc-1", "region-1")


def a_service(endpoint):
    """Return a service's announcement; its address is its name."""
    announcement = Announcement(endpoint, Kind.SERVICE, RUN, 1, PLACE, endpoint)
    return announcement._replace(service=SERVICE, slots=4, idempotent_methods=("GET",))


class Controls:
    """The claims of the control VMs; `lost_closes` requests to close one get lost."""

    def __init__(self):
        self.state = State()
        self.index = 0
        self.lost_closes = 0

    async def open_claim(self, command, timeout_s):
        """Apply the command as the log's next record."""
        self.index += 1
        return claims.open_claim(self.state, self.index, command)

    async def close_claim(self, command, timeout_s):
        """Apply the command, or lose it."""
        if self.lost_closes:
            self.lost_closes -= 1
            raise NoQuorum("no control VM answered in time")
        return claims.close_claim(self.state, command)


class Sidecars:
    """The sidecars of some services; some services or sidecars refuse connections."""

    def __init__(self, names):
        self.gates = {name: Gate(RUN) for name in names}
        self.dead_services: set[str] = set()
        self.dead_sidecars: set[str] = set()
        # Sidecars for which a claimed call, or the answer to it, is lost.
        self.lost_runs: set[str] = set()
        self.lost_answers: set[str] = set()
        # Errors of calls that may be repeated, after the service ran them.
        self.forward_errors: dict[str, Exception] = {}
        # Sidecars that were sent the call, and services that ran it, in order.
        self.called: list[str] = []
        self.ran: list[str] = []

    async def call(self, method, url, value, kind, timeout_s):
        """Answer an entry's request to a sidecar."""
        name, _, path = url.removeprefix("http://").partition("/v1/")
        if path in ("run", "forward"):
            self.called.append(name)
        if name in self.dead_sidecars:
            raise ConnectFailed(f"{url}: ConnectTimeout")
        if path == "run":
            if name in self.lost_runs:
                raise WireError(f"{url}: ReadError")
            verdict = self._run(name, value)
            if name in self.lost_answers:
                raise WireError(f"{url}: ReadError")
            return verdict
        if path == "forward":
            self.ran.append(name)
            if name in self.forward_errors:
                raise self.forward_errors[name]
            return Verdict("replay", 200, BODY)
        return gate.query(self.gates[name], value)

    def _run(self, name, run):
        verdict = gate.admit(self.gates[name], run.claim)
        if verdict.action != "run":
            return verdict
        if name in self.dead_services:
            gate.record_not_sent(self.gates[name], run.claim)
        else:
            self.ran.append(name)
            gate.record_answer(self.gates[name], run.claim, 200, BODY)
        return gate.query(self.gates[name], run.claim)


class ServiceEntry:
    """One entry before some services, which it tries in the order of their names."""

    def __init__(self, *names):
        self.is_closed = False
        self.controls = Controls()
        self.sidecars = Sidecars(names)
        settings = SimpleNamespace(entry=SimpleNamespace(max_queued=100), place=PLACE)
        self.process = SimpleNamespace(
            incarnation=RUN, settings=settings, client=self.sidecars
        )
        self.fleet = FleetView(self.process)
        self.fleet.update([a_service(name) for name in names], ())
        self.requests = RequestDispatch(
            self.process, self.fleet, lambda: None, lambda *_: None
        )
        contract = a_contract()
        self.contracts = contracts_by_key([contract])
        admission.set_contract(self.requests.admission, contract, 1.0, 0.0)
        self.services = Services(self)

    def call(self, method="POST"):
        """Make one call and return its outcome."""
        return anyio.run(self._call, method)

    def failures(self, name):
        """Return the failures in a row that are counted against an endpoint."""
        return self.fleet.fleet.members[name].health.failures

    async def _call(self, method):
        async with anyio.create_task_group() as group:
            self.process.group = group
            self.requests.start()
            reply = await self.services.handle(a_request(method))
            group.cancel_scope.cancel()
        return dict(reply.headers)[OUTCOME_HEADER]


def a_request(method):
    """Return a caller's request to the service."""
    headers = {
        "authorization": f"Bearer {CUSTOMER}",
        KEY_HEADER: KEY,
        DEADLINE_HEADER: str(CALL_S * 1000),
    }
    scope = {
        "method": method,
        "path": f"/services/{SERVICE}{PATH}",
        "query_string": b"",
        "headers": [(name.encode(), text.encode()) for name, text in headers.items()],
    }

    async def receive():
        return {"type": "http.request", "body": BODY.encode()}

    return Request(scope, receive, 1000)


def claim_as_another_entry(entry, endpoint):
    """Open a claim of the call's key as another entry, which then sends nothing."""
    content = "\n".join((SERVICE, "POST", PATH, BODY))
    command = OpenClaim(
        customer=CUSTOMER,
        key=KEY,
        body_sha256=hashlib.sha256(content.encode()).hexdigest(),
        attempt_id="another entry's",
        service=SERVICE,
        endpoint=endpoint,
        incarnation=RUN,
        address=endpoint,
    )
    entry.controls.index += 1
    claims.open_claim(entry.controls.state, entry.controls.index, command)
