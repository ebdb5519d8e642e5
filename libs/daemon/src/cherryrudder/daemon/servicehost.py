"""The sidecar beside a plain service: passes calls on, claimed ones at most once."""

import anyio
from loguru import logger

from cherryrudder.model.errors import RequestError
from cherryrudder.state.commands import Claim
from cherryrudder.wire.asgi import Request, Routes, json_reply
from cherryrudder.wire.client import Client
from cherryrudder.wire.errors import WireError

from . import gate
from .clock import now_s
from .creditgranter import CreditGranter
from .framemessages import DATA_MESSAGES, CreditReport
from .frameport import FramePort
from .gate import NO_ANSWER, Call, Gate, Run, Verdict

# A service that does not answer for this long is given up; its call's outcome is
# unknown from then on.
CALL_S = 30.0
# A granted run arrives within a round trip; far more than that, and still at once.
PATIENCE_S = 0.3

log = logger.bind(part="service")


class ServiceHost:
    """The calls of one plain service."""

    def __init__(self, process):
        self.process = process
        self.back_end = process.settings.sidecar.back_end.rstrip("/")
        self.gate = Gate(process.incarnation)
        # The service knows nothing of the system's keys and must not see them.
        self.client = Client()
        self.port = FramePort(process, DATA_MESSAGES, self._on_messages)
        self.desk = CreditGranter(process, self.port.links)
        self.leaving = False
        self.forwarding = 0
        self._finished: dict[str, anyio.Event] = {}

    def start(self) -> None:
        """Start listening for entries' reports."""
        self.port.start()

    def set_leaving(self, leaving: bool) -> None:
        """Refuse new calls, or take them again."""
        self.leaving = leaving
        self.desk.set_leaving(leaving, now_s())

    def in_flight(self) -> int:
        """Return the number of calls that have not ended."""
        return len(self.gate.running) + self.forwarding

    def dump(self) -> dict:
        """Return what the gate holds."""
        return {
            "running": sorted(self.gate.running),
            "remembered": len(self.gate.verdicts),
            "floor": self.gate.floor,
        }

    def routes(self) -> Routes:
        """Return the routes that entries use."""
        return {
            ("POST", "/v1/run"): self._run,
            ("POST", "/v1/run/query"): self._query,
            ("POST", "/v1/forward"): self._forward,
        }

    def _on_messages(self, peer, messages):
        for message in messages:
            if isinstance(message, CreditReport):
                self.desk.handle_report(message, now_s())

    async def _run(self, request: Request):
        run = await request.json(Run)
        if self.leaving and run.claim.attempt_id not in self.gate.running:
            # The tombstone and not a bare refusal: the entry tells its caller
            # "not run" on the strength of it.
            verdict = gate.query(self.gate, run.claim)
        else:
            verdict = gate.admit(self.gate, run.claim)
        if verdict.action == "run":
            self._finished[run.claim.attempt_id] = anyio.Event()
            # Its own task: the call goes on and its answer is kept when the entry's
            # connection breaks in the meantime.
            self.process.group.start_soon(self._execute, run)
            verdict = Verdict("wait")
        return json_reply(await self._settled(run.claim, verdict))

    async def _query(self, request: Request):
        claim = await request.json(Claim)
        await self._await_run(claim)
        return json_reply(await self._settled(claim, gate.query(self.gate, claim)))

    async def _await_run(self, claim):
        # The entry that holds the claim may be about to send its run. Two entries that
        # each bury the other's attempt at once would never get the call done.
        with anyio.move_on_after(PATIENCE_S):
            while not gate.is_known(self.gate, claim):
                await anyio.sleep(PATIENCE_S / 10)

    async def _settled(self, claim, verdict):
        if verdict.action == "wait":
            await self._finished[claim.attempt_id].wait()
            verdict = gate.query(self.gate, claim)
        return verdict

    async def _execute(self, run):
        try:
            status, body = await self._call(run.call)
        except WireError as error:
            log.warning("{} gave no answer: {}.", run.claim.service, error)
            if error.may_have_run:
                gate.finish(self.gate, run.claim, NO_ANSWER, "")
            else:
                # The service refused the connection, so it cannot have run the call.
                gate.never_sent(self.gate, run.claim)
        else:
            gate.finish(self.gate, run.claim, status, body)
        self._finished.pop(run.claim.attempt_id).set()

    async def _forward(self, request: Request):
        """Pass on an idempotent call, which needs no claim."""
        if self.leaving:
            raise RequestError(503, "leaving", "the endpoint takes no new work")
        call = await request.json(Call)
        self.forwarding += 1
        try:
            status, body = await self._call(call)
        except WireError as error:
            raise RequestError(502, "no-answer", str(error)) from error
        finally:
            self.forwarding -= 1
        return json_reply(Verdict("replay", status, body))

    async def _call(self, call):
        headers = [("content-type", call.content_type)]
        if call.idempotency_key:
            headers.append(("idempotency-key", call.idempotency_key))
        mark = object()
        self.desk.call_began(mark, now_s())
        try:
            reply = await self.client.send(
                call.method,
                self.back_end + call.path,
                call.body.encode(),
                headers,
                CALL_S,
            )
        finally:
            self.desk.call_ended(mark, 0, now_s())
        return reply.status_code, reply.text
