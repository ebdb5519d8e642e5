"""`/services/NAME/...`: idempotent and non-idempotent calls to plain services.

A non-idempotent call is claimed in the log for one incarnation of one sidecar before
any byte of it is sent. An entry that finds an open claim queries that sidecar and never
runs the call itself, so that no interleaving of callers, entries and lost answers runs
the call twice.
"""

import hashlib
import itertools
from typing import NamedTuple

from loguru import logger

from cherryrudder.model.endpoints import Announcement
from cherryrudder.model.errors import RequestError
from cherryrudder.model.outcomes import Outcome
from cherryrudder.policy.admission import Offer
from cherryrudder.policy.dispatch import Work
from cherryrudder.state.commands import Claim, CloseClaim, OpenClaim
from cherryrudder.wire.asgi import Reply, Request
from cherryrudder.wire.errors import StatusError, WireError

from .callers import OUTCOME_HEADER, failure_reply, identify, refusal_reply
from .clock import new_id, now_s
from .controlclient import CALL_TIMEOUT_S
from .errors import NoQuorum
from .gate import NO_ANSWER, Call, Run, Verdict
from .requestdispatch import RequestFailed, RequestRefused

KEY_HEADER = "idempotency-key"
MAX_KEY_CHARS = 200
# A sidecar answers a query from memory, unless the call is still running.
RUN_TIMEOUT_S = 35.0
QUERY_TIMEOUT_S = 35.0
# Short, since the record only serves a later resend: the outcome is already known.
CLOSE_TIMEOUT_S = 1.0
# Errors of a sidecar that did not send an idempotent call to its service.
NOT_FORWARDED_CODES = frozenset({"leaving", "not-sent"})

log = logger.bind(part="services")


class ClaimedCall(NamedTuple):
    """A non-idempotent call, as its caller sent it."""

    customer: str
    key: str
    body_sha256: str
    service: str
    call: Call
    deadline_s: float


class AttemptResult(NamedTuple):
    """How an attempt ended; `reply` is None if the call may be sent again."""

    reply: Reply | None
    detail: str
    may_have_run: bool = False


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
            return refusal_reply(self.entry.closed_refusal())
        self.in_flight += 1
        try:
            if self._is_idempotent(name, request.method):
                return await self._run_idempotent(caller, name, call)
            claimed = read_claimed_call(request, caller, name, call)
            return await self._run_once(claimed)
        except RequestRefused as error:
            return refusal_reply(error.refusal)
        except RequestFailed as error:
            return failure_reply(502, "no-answer", str(error), error.outcome)
        finally:
            self.in_flight -= 1

    def _is_idempotent(self, name, method):
        announced = self.entry.fleet.service(name)
        # While no endpoint is known, only GET and HEAD are taken for idempotent.
        methods = announced.idempotent_methods if announced else ("GET", "HEAD")
        return method in methods

    async def _run_idempotent(self, caller, name, call):
        work = work_for(caller.contract.customer, name, caller.deadline_s, True)
        return await self._send(work, lambda to: self._forward(to, call))

    async def _run_once(self, claimed):
        work = work_for(claimed.customer, claimed.service, claimed.deadline_s, False)
        not_run_ids = set()
        return await self._send(
            work, lambda to: self._attempt(claimed, to, not_run_ids)
        )

    async def _send(self, work, attempt):
        """Retry until an attempt is answered; raises RequestRefused, RequestFailed."""
        request_id = work.offer.request_id
        may_have_run = False
        sent = await self.entry.requests.submit(work)
        for number in itertools.count(1):
            began_s = now_s()
            endpoint = sent.stages[0]
            try:
                result = await attempt(endpoint)
            except BaseException:
                self.entry.requests.cancel(request_id, 1)
                raise
            took_s = now_s() - began_s
            log_attempt(request_id, number, endpoint.endpoint, took_s, result)
            if result.reply is not None:
                self.entry.requests.finish(request_id, 1, took_s)
                return result.reply
            may_have_run = may_have_run or result.may_have_run
            sent = await self._retry(request_id, endpoint.endpoint, may_have_run)

    async def _retry(self, request_id, endpoint, may_have_run):
        try:
            return await self.entry.requests.retry(
                request_id, endpoint, not may_have_run
            )
        except RequestFailed as error:
            log.info("{}: {} ({}).", request_id, error, error.outcome)
            raise
        except RequestRefused as error:
            log.info("{}: not sent again: {}.", request_id, error)
            # The second attempt was refused before it ran, but the first one may have
            # run, so "not run" could be false.
            if may_have_run:
                raise RequestFailed(Outcome.UNKNOWN, str(error)) from error
            raise

    async def _forward(self, announcement, call) -> AttemptResult:
        try:
            verdict = await self._post(announcement, "forward", call, RUN_TIMEOUT_S)
        except WireError as error:
            log.info("{} failed: {}.", announcement.endpoint, error)
            return AttemptResult(None, f"no answer: {error}", may_have_run(error))
        return service_result(verdict)

    async def _attempt(self, claimed, announcement, not_run_ids) -> AttemptResult:
        """Return the final answer, or none when this attempt certainly did not run.

        `not_run_ids` are attempts of this key that certainly did not run. A claim that
        one of them still holds is closed first, so that this attempt is made here.
        """
        while True:
            command = open_command(claimed, announcement)
            try:
                answer = await self.entry.controls.open_claim(
                    command, claim_timeout_s(claimed, now_s())
                )
                log.debug(
                    "{}: claim {} is {}.", claimed.key, command.attempt_id, answer.code
                )
                if answer.code == "exists" and not answer.claim.outcome:
                    result = await self._close_earlier(
                        claimed, answer.claim, not_run_ids
                    )
                    if result is None:
                        continue
                    return result
            except (NoQuorum, StatusError) as error:
                # The claim may still be committed, but only this entry may send its
                # attempt and it does not, so "not run" is certain.
                return not_run_result(str(error))
            if answer.code == "granted":
                # A retry follows only if this attempt did not run.
                not_run_ids.add(command.attempt_id)
                return await self._run(answer.claim, claimed.call)
            if answer.code == "body-differs":
                raise RequestError(
                    422,
                    "body-differs",
                    "the key was used with another body",
                    KEY_HEADER,
                )
            if answer.code == "exists":
                return recorded_result(answer.claim)
            return not_run_result(f"the claim was refused: {answer.code}")

    async def _close_earlier(self, claimed, claim, not_run_ids):
        """Return the reply of an earlier attempt, or None if it did not run."""
        if claim.attempt_id in not_run_ids:
            # The first request to close it got no answer.
            command = close_command(claim, Outcome.NOT_RUN)
            timeout_s = claim_timeout_s(claimed, now_s())
            await self.entry.controls.close_claim(command, timeout_s)
            return None
        result = await self._query(claim)
        if result.reply is not None:
            return result
        log.info("{}: {}; it is claimed again.", claimed.key, result.detail)
        not_run_ids.add(claim.attempt_id)
        return None

    async def _run(self, claim, call):
        """Send the call of a granted claim, once."""
        try:
            verdict = await self._post_claim(
                claim, "run", Run(claim, call), RUN_TIMEOUT_S
            )
        except WireError as error:
            if not error.may_have_run:
                # No byte was sent, and no other entry sends this entry's claim.
                await self._close(claim, Outcome.NOT_RUN)
                return AttemptResult(None, f"{claim.key} was not sent: {error}")
            return await self._query(claim)
        if verdict.action == "forgotten":
            # The gate refused the only copy of this attempt, so it has not run.
            verdict = Verdict("tombstone")
        return await self._apply_verdict(claim, verdict)

    async def _query(self, claim):
        try:
            verdict = await self._post_claim(claim, "run/query", claim, QUERY_TIMEOUT_S)
        except WireError as error:
            # Reply at once: the sidecar may be dead, and waiting would not help.
            return unknown_result(f"query of {claim.endpoint}: {error}")
        return await self._apply_verdict(claim, verdict)

    async def _apply_verdict(self, claim, verdict):
        if verdict.action == "tombstone":
            await self._close(claim, Outcome.NOT_RUN)
            detail = f"{claim.endpoint} did not run {claim.key}, {claim.attempt_id}"
            return AttemptResult(None, detail)
        if verdict.action != "replay" or verdict.status == NO_ANSWER:
            return unknown_result(f"{claim.endpoint}: {verdict.action} without answer")
        await self._close(claim, Outcome.DONE, verdict)
        return service_result(verdict)

    async def _close(self, claim: Claim, outcome, verdict=None):
        command = close_command(claim, outcome, verdict)
        try:
            await self.entry.controls.close_claim(command, CLOSE_TIMEOUT_S)
        except (NoQuorum, StatusError) as error:
            # The sidecar still has the answer, and a resend queries it.
            log.warning("The outcome of {} was not recorded: {}.", claim.key, error)

    async def _post_claim(self, claim, path, value, timeout_s):
        url = f"http://{claim.address}/v1/{path}"
        client = self.entry.process.client
        return await client.call("POST", url, value, Verdict, timeout_s)

    async def _post(self, announcement, path, value, timeout_s):
        url = f"http://{announcement.address}/v1/{path}"
        client = self.entry.process.client
        return await client.call("POST", url, value, Verdict, timeout_s)


def split_path(request: Request) -> tuple[str, str]:
    """Return the service's name and the path to request from it."""
    name, _, rest = request.path.removeprefix("/services/").partition("/")
    query = f"?{request.query_string}" if request.query_string else ""
    return name, f"/{rest}{query}"


def work_for(customer, service, deadline_s: float, is_idempotent: bool) -> Work:
    """Return the policy's description of a service call."""
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


def read_claimed_call(request, caller, name, call) -> ClaimedCall:
    """Return a non-idempotent call; raises RequestError without a valid key."""
    key = request.headers.get(KEY_HEADER, "")
    if not 0 < len(key) <= MAX_KEY_CHARS:
        message = f"this call needs a key of 1 to {MAX_KEY_CHARS} characters"
        raise RequestError(400, "bad-idempotency-key", message, KEY_HEADER)
    # The path is part of the digest: the same key on another path is not a resend.
    content = "\n".join((name, call.method, call.path, call.body))
    digest = hashlib.sha256(content.encode()).hexdigest()
    customer = caller.contract.customer
    return ClaimedCall(customer, key, digest, name, call, caller.deadline_s)


def may_have_run(error: WireError) -> bool:
    """Return whether a call may have run that a sidecar did not forward or answer."""
    if isinstance(error, StatusError) and isinstance(error.body, dict):
        return error.body.get("error", {}).get("code") not in NOT_FORWARDED_CODES
    return error.may_have_run


def claim_timeout_s(claimed: ClaimedCall, now_s: float) -> float:
    """Return how long a call may wait for the control VMs."""
    return min(CALL_TIMEOUT_S, claimed.deadline_s - now_s)


def open_command(claimed: ClaimedCall, announcement: Announcement) -> OpenClaim:
    """Return the command that claims a call for a new attempt at an endpoint."""
    return OpenClaim(
        customer=claimed.customer,
        key=claimed.key,
        body_sha256=claimed.body_sha256,
        attempt_id=new_id(),
        service=claimed.service,
        endpoint=announcement.endpoint,
        incarnation=announcement.incarnation,
        address=announcement.address,
    )


def close_command(
    claim: Claim, outcome: Outcome, verdict: Verdict | None = None
) -> CloseClaim:
    """Return the command that records an attempt's outcome, and its answer if any."""
    command = CloseClaim(claim.customer, claim.key, claim.attempt_id, outcome)
    if verdict is None:
        return command
    return command._replace(status=verdict.status, body=verdict.body)


def recorded_result(claim: Claim) -> AttemptResult:
    """Return the result of a call whose key was claimed before and has an outcome."""
    if claim.outcome == Outcome.DONE:
        return service_result(Verdict("replay", claim.status, claim.body))
    if claim.outcome == Outcome.UNKNOWN:
        return unknown_result("recorded as unknown")
    # The state machine limits how often a key is reopened.
    return not_run_result("this key has been tried too often; use another one")


def service_result(verdict: Verdict) -> AttemptResult:
    """Return the service's own answer, new or replayed."""
    headers = (("content-type", "application/json"), (OUTCOME_HEADER, Outcome.DONE))
    reply = Reply(verdict.status, verdict.body.encode(), headers)
    return AttemptResult(reply, f"answered with status {verdict.status}")


def not_run_result(message: str) -> AttemptResult:
    """Return the final reply to a call that certainly did not run."""
    reply = failure_reply(503, "not-run", message, Outcome.NOT_RUN)
    return AttemptResult(reply, f"not run: {message}")


def unknown_result(detail: str) -> AttemptResult:
    """Return the final reply to a call that may or may not have run."""
    message = "the call may have run; a resend with the same key cannot run it twice"
    reply = failure_reply(502, "unknown", message, Outcome.UNKNOWN)
    return AttemptResult(reply, f"unknown: {detail}")


def log_attempt(
    request_id: str, number: int, endpoint: str, took_s: float, result: AttemptResult
) -> None:
    """Log how an attempt ended; at debug level if the service answered."""
    reply = result.reply
    is_done = reply is not None and (OUTCOME_HEADER, Outcome.DONE) in reply.headers
    log.log(
        "DEBUG" if is_done else "INFO",
        "{}: attempt {} at {} {} after {:.3f} s: {}.",
        request_id,
        number,
        endpoint,
        "failed" if reply is None else "ended",
        took_s,
        result.detail,
    )
