"""`/services/NAME/...`: calls to plain services, those that may not be repeated too.

A call that may not be repeated is claimed in the log for one incarnation of one
sidecar before any byte of it is sent. Whoever finds an open claim asks that sidecar
and never runs the call itself, so that no interleaving of callers, entries and lost
answers runs it twice.
"""

import hashlib
import itertools
from typing import NamedTuple

from loguru import logger

from cherryrudder.model.errors import RequestError
from cherryrudder.model.outcomes import Outcome
from cherryrudder.policy.admission import Offer
from cherryrudder.policy.dispatch import Work
from cherryrudder.state.commands import Claim, CloseClaim, OpenClaim
from cherryrudder.wire.asgi import Reply, Request
from cherryrudder.wire.errors import StatusError, WireError

from .callers import OUTCOME, fail, identify, refuse
from .clock import new_id, now_s
from .controlcalls import CALL_S
from .errors import NoQuorum
from .frontdoor import GivenUp, TurnedAway
from .gate import NO_ANSWER, Call, Run, Verdict

KEY_HEADER = "idempotency-key"
MAX_KEY_CHARS = 200
# A sidecar answers a query from memory, unless the call is running.
RUN_S = 35.0
QUERY_S = 35.0
# The caller has its result already; the record is for a later resend.
CLOSE_S = 1.0

log = logger.bind(part="services")


class Filing(NamedTuple):
    """A call that may not be repeated, as its caller sent it."""

    customer: str
    key: str
    body_sha256: str
    service: str
    call: Call
    deadline_s: float


class Services:
    """The service calls of one entry."""

    def __init__(self, entry):
        self.entry = entry
        self.in_flight = 0

    async def handle(self, request: Request):
        """Answer one call to a service."""
        caller = identify(request, self.entry.contracts, now_s())
        name, path = split_path(request)
        if name not in caller.contract.services:
            message = f"the contract has no service {name!r}"
            raise RequestError(404, "unknown-service", message)
        call = Call(
            request.method,
            path,
            read_text(await request.body()),
            request.headers.get("content-type", "application/json"),
            request.headers.get(KEY_HEADER, ""),
        )
        if self.entry.is_closed:
            return refuse(self.entry.closed_refusal())
        self.in_flight += 1
        try:
            if self._may_repeat(name, request.method):
                return await self._repeatable(caller, name, call)
            filing = read_filing(request, caller, name, call)
            return await self._file(filing)
        except TurnedAway as error:
            return refuse(error.refusal)
        except GivenUp as error:
            return fail(502, "no-answer", str(error), error.outcome)
        finally:
            self.in_flight -= 1

    def _may_repeat(self, name, method):
        announced = self.entry.fleet.service(name)
        # While no endpoint is known, the safe side: it may not be repeated.
        methods = announced.idempotent_methods if announced else ("GET", "HEAD")
        return method in methods

    async def _repeatable(self, caller, name, call):
        work = work_for(caller.contract.customer, name, caller.deadline_s, True)
        return await self._send(work, lambda to: self._forward(to, call))

    async def _file(self, filing):
        work = work_for(filing.customer, filing.service, filing.deadline_s, False)
        return await self._send(work, lambda to: self._attempt(filing, to))

    async def _send(self, work, attempt):
        """Make attempts until one gives an answer; raises TurnedAway, GivenUp."""
        request_id = work.offer.request_id
        may_have_run = False
        sent = await self.entry.door.enter(work)
        for number in itertools.count(1):
            began_s = now_s()
            endpoint = sent.stages[0]
            try:
                reply = await attempt(endpoint)
            except BaseException:
                self.entry.door.cancel(request_id, 1)
                raise
            if reply is not None:
                self.entry.door.finish(request_id, 1, now_s() - began_s)
                return reply
            # An attempt without an answer may be repeated, and then may have run, or it
            # has certainly not run: its sidecar has said so.
            log.info(
                "{}: attempt {} at {} failed.", request_id, number, endpoint.endpoint
            )
            may_have_run = may_have_run or work.is_idempotent
            sent = await self._retry(request_id, endpoint.endpoint, may_have_run)

    async def _retry(self, request_id, endpoint, may_have_run):
        try:
            return await self.entry.door.retry(request_id, endpoint, not may_have_run)
        except TurnedAway as error:
            # The second attempt was refused before it ran; of the first one nobody can
            # say so, and "not run" would be a guess.
            if may_have_run:
                raise GivenUp(Outcome.UNKNOWN, str(error)) from error
            raise

    async def _forward(self, announcement, call) -> Reply | None:
        try:
            return answer_of(await self._post(announcement, "forward", call, RUN_S))
        except WireError as error:
            log.info("{} failed: {}.", announcement.endpoint, error)
            return None

    async def _attempt(self, filing, announcement) -> Reply | None:
        """Return the final answer, or None when this attempt certainly did not run."""
        command = OpenClaim(
            customer=filing.customer,
            key=filing.key,
            body_sha256=filing.body_sha256,
            attempt_id=new_id(),
            service=filing.service,
            endpoint=announcement.endpoint,
            incarnation=announcement.incarnation,
            address=announcement.address,
        )
        try:
            timeout_s = min(CALL_S, filing.deadline_s - now_s())
            answer = await self.entry.controls.open_claim(command, timeout_s)
        except (NoQuorum, StatusError) as error:
            # The claim may be committed after this, but only this entry could ever
            # send its attempt, and it does not: "not run" is certain.
            return not_run(str(error))
        if answer.code == "granted":
            return await self._run(answer.claim, filing.call)
        if answer.code == "body-differs":
            raise RequestError(
                422, "body-differs", "the key was used with another body", KEY_HEADER
            )
        if answer.code == "exists":
            return await self._earlier(answer.claim)
        return not_run(f"the claim was refused: {answer.code}")

    async def _run(self, claim, call):
        """Send a granted claim's call, once."""
        try:
            verdict = await self._post_claim(claim, "run", Run(claim, call), RUN_S)
        except WireError as error:
            if not error.may_have_run:
                # No byte left, and nobody else sends a claim granted to this entry.
                await self._close(claim, Outcome.NOT_RUN)
                return None
            return await self._ask(claim)
        if verdict.action == "forgotten":
            # The only copy of this attempt met a gate that refused it.
            verdict = Verdict("tombstone")
        return await self._conclude(claim, verdict)

    async def _earlier(self, claim):
        """Answer a resend whose key was claimed before."""
        if claim.outcome == Outcome.DONE:
            return answer_of(Verdict("replay", claim.status, claim.body))
        if claim.outcome == Outcome.UNKNOWN:
            return unknown()
        if claim.outcome == Outcome.NOT_RUN:
            # The state opens a key again only so many times.
            return not_run("this key has been tried too often; use another one")
        return await self._ask(claim)

    async def _ask(self, claim):
        try:
            verdict = await self._post_claim(claim, "run/query", claim, QUERY_S)
        except WireError:
            # Said at once: the sidecar may be dead, and waiting would not tell.
            return unknown()
        return await self._conclude(claim, verdict)

    async def _conclude(self, claim, verdict):
        if verdict.action == "tombstone":
            await self._close(claim, Outcome.NOT_RUN)
            return None
        if verdict.action != "replay" or verdict.status == NO_ANSWER:
            return unknown()
        await self._close(claim, Outcome.DONE, verdict)
        return answer_of(verdict)

    async def _close(self, claim: Claim, outcome, verdict=None):
        command = CloseClaim(claim.customer, claim.key, claim.attempt_id, outcome)
        if verdict is not None:
            command = command._replace(status=verdict.status, body=verdict.body)
        try:
            await self.entry.controls.close_claim(command, CLOSE_S)
        except (NoQuorum, StatusError) as error:
            # The sidecar still has the answer, and a resend asks it.
            log.warning("Outcome of {} is not recorded: {}.", claim.key, error)

    async def _post_claim(self, claim, path, value, timeout_s):
        url = f"http://{claim.address}/v1/{path}"
        client = self.entry.process.client
        return await client.call("POST", url, value, Verdict, timeout_s)

    async def _post(self, announcement, path, value, timeout_s):
        url = f"http://{announcement.address}/v1/{path}"
        client = self.entry.process.client
        return await client.call("POST", url, value, Verdict, timeout_s)


def split_path(request: Request) -> tuple[str, str]:
    """Return a service's name and the path that it is to get."""
    name, _, rest = request.path.removeprefix("/services/").partition("/")
    query = f"?{request.query_string}" if request.query_string else ""
    return name, f"/{rest}{query}"


def work_for(customer, service, deadline_s: float, is_idempotent: bool) -> Work:
    """Return what the policy needs to know of a service call."""
    offer = Offer(
        request_id=new_id(),
        customer=customer,
        model=service,
        prompt_tokens=0,
        max_tokens=1,
        priority=0,
        deadline_s=deadline_s,
    )
    return Work(offer, service=service, is_idempotent=is_idempotent)


def read_text(body: bytes) -> str:
    """Return a body as text; raises RequestError 400."""
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise RequestError(400, "bad-encoding", f"not UTF-8: {error}") from None


def read_filing(request, caller, name, call) -> Filing:
    """Return a call that may not be repeated; raises RequestError without a key."""
    key = request.headers.get(KEY_HEADER, "")
    if not 0 < len(key) <= MAX_KEY_CHARS:
        message = f"this call needs a key of 1 to {MAX_KEY_CHARS} characters"
        raise RequestError(400, "bad-idempotency-key", message, KEY_HEADER)
    # The path is part of what was asked: the same key on another path is no resend.
    content = "\n".join((name, call.method, call.path, call.body))
    digest = hashlib.sha256(content.encode()).hexdigest()
    customer = caller.contract.customer
    return Filing(customer, key, digest, name, call, caller.deadline_s)


def answer_of(verdict: Verdict) -> Reply:
    """Return the service's own answer, first or replayed."""
    headers = (("content-type", "application/json"), (OUTCOME, Outcome.DONE))
    return Reply(verdict.status, verdict.body.encode(), headers)


def not_run(message: str) -> Reply:
    """Return the answer to a call that certainly did not run."""
    return fail(503, "not-run", message, Outcome.NOT_RUN)


def unknown() -> Reply:
    """Return the answer to a call of which nobody can tell whether it ran."""
    message = "the call may have run; a resend with the same key cannot run it twice"
    return fail(502, "unknown", message, Outcome.UNKNOWN)
