"""The sidecar of a plain service: forwards calls, claimed ones at most once."""

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

# After this timeout the outcome of a call is unknown.
CALL_TIMEOUT_S = 30.0
# Wait of a query for the claim's run, which normally arrives within a round trip. The
# timeout is far longer than that, and still short for the caller.
RUN_ARRIVAL_TIMEOUT_S = 0.3

log = logger.bind(part="service")


class ServiceHost:
    """The calls of one plain service."""

    def __init__(self, process):
        self.process = process
        self.back_end = process.settings.sidecar.back_end.rstrip("/")
        self.gate = Gate(process.incarnation)
        # The service has no use for the system's keys and must not get them.
        self.client = Client()
        self.port = FramePort(process, DATA_MESSAGES, self._on_messages)
        self.credits = CreditGranter(process, self.port.links)
        self.leaving = False
        self.forwarding = 0
        self._finished: dict[str, anyio.Event] = {}

    def start(self) -> None:
        """Start listening for entries' reports."""
        self.port.start()

    def set_leaving(self, leaving: bool) -> None:
        """Refuse new calls, or accept them again."""
        self.leaving = leaving
        self.credits.set_leaving(leaving, now_s())

    def in_flight(self) -> int:
        """Return the number of calls that have not ended."""
        return len(self.gate.running) + self.forwarding

    def dump(self) -> dict:
        """Return the gate's state for the dump."""
        return {
            "running": sorted(self.gate.running),
            "remembered": len(self.gate.verdicts),
            "floor": self.gate.floor,
        }

    def routes(self) -> Routes:
        """Return the routes that entries call."""
        return {
            ("POST", "/v1/run"): self._run,
            ("POST", "/v1/run/query"): self._query,
            ("POST", "/v1/forward"): self._forward,
        }

    def _on_messages(self, peer, messages):
        for message in messages:
            if isinstance(message, CreditReport):
                self.credits.handle_report(message, now_s())

    async def _run(self, request: Request):
        run = await request.json(Run)
        if self.leaving and run.claim.attempt_id not in self.gate.running:
            # Record a tombstone instead of only refusing: the entry relies on it when
            # it answers "not run".
            verdict = gate.query(self.gate, run.claim)
        else:
            verdict = gate.admit(self.gate, run.claim)
        if verdict.action == "run":
            self._finished[run.claim.attempt_id] = anyio.Event()
            # A task of its own, so that the call continues and its answer is recorded
            # when the entry's connection breaks.
            self.process.group.start_soon(self._execute, run)
            verdict = Verdict("wait")
        return json_reply(await self._wait_for_verdict(run.claim, verdict))

    async def _query(self, request: Request):
        claim = await request.json(Claim)
        await self._wait_for_run(claim)
        return json_reply(
            await self._wait_for_verdict(claim, gate.query(self.gate, claim))
        )

    async def _wait_for_run(self, claim):
        # The entry that holds the claim may be about to send its run. Two entries that
        # each record a tombstone for the other's attempt would never run the call.
        with anyio.move_on_after(RUN_ARRIVAL_TIMEOUT_S):
            while not gate.is_known(self.gate, claim):
                await anyio.sleep(RUN_ARRIVAL_TIMEOUT_S / 10)

    async def _wait_for_verdict(self, claim, verdict):
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
                gate.record_answer(self.gate, run.claim, NO_ANSWER, "")
            else:
                # The service refused the connection, so it cannot have run the call.
                gate.record_not_sent(self.gate, run.claim)
        else:
            gate.record_answer(self.gate, run.claim, status, body)
        self._finished.pop(run.claim.attempt_id).set()

    async def _forward(self, request: Request):
        """Forward an idempotent call, which needs no claim."""
        if self.leaving:
            raise RequestError(503, "leaving", "the endpoint takes no new work")
        call = await request.json(Call)
        self.forwarding += 1
        try:
            status, body = await self._call(call)
        except WireError as error:
            code = "no-answer" if error.may_have_run else "not-sent"
            raise RequestError(502, code, str(error)) from error
        finally:
            self.forwarding -= 1
        return json_reply(Verdict("replay", status, body))

    async def _call(self, call):
        headers = [("content-type", call.content_type)]
        if call.idempotency_key:
            headers.append(("idempotency-key", call.idempotency_key))
        mark = object()
        self.credits.record_call_start(mark, now_s())
        try:
            reply = await self.client.send(
                call.method,
                self.back_end + call.path,
                call.body.encode(),
                headers,
                CALL_TIMEOUT_S,
            )
        finally:
            self.credits.record_call_end(mark, 0, now_s())
        return reply.status_code, reply.text
