"""One attempt of a request at one engine, over one connection, and its retry."""

import math
from collections.abc import Callable
from typing import NamedTuple

import anyio

from cherryrudder.platform import messages
from cherryrudder.platform.messages import AnswerFacts, ForwardHeaders
from cherryrudder.policy import sharedbudget
from cherryrudder.policy.retries import Attempt, Verdict
from cherryrudder.relay import pool
from cherryrudder.relay.client import EngineConnection, Head
from cherryrudder.relay.errors import AnswerBroken, ConnectFailed
from cherryrudder.replica.clock import now_s

from . import backpressure, enginecalls
from .errors import EngineCallFailed
from .job import FailedAttempt, Job, WholeAnswer

# A connection in the same region is open within some milliseconds. A lost packet is
# retransmitted after a second; trying another endpoint is faster.
CONNECT_TIMEOUT_S = 0.3
# An engine that crashes breaks all its streams at once, more than the retry budgets of
# the entries in its data centre allow. Each entry gets a new share of the budget with
# the control VMs' next answer, twice a second.
BUDGET_WAIT_S = 0.7
BUDGET_POLL_S = 0.1
# Statuses that need the engine's seal: without it the answer is not the engine's own.
FIRST_OK, LAST_OK = 200, 299
# Status of an engine that is another incarnation than the one addressed.
WRONG_INCARNATION_STATUS = 421
# Statuses that promise to clients that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A longer answer is passed on as it comes, and can't be retried from then on.
MAX_HELD_ANSWER_BYTES = 1024 * 1024


async def open_connection(job: Job, address: str) -> EngineConnection:
    """Return a connection for one attempt; raises ConnectFailed.

    A request that may not be repeated is never sent on a kept-alive connection. The
    engine may close it at that moment, and then it is uncertain whether the request
    ran.
    """
    kept, limit_s = job.state.pool, job.left_s()
    if not job.is_idempotent:
        return await pool.acquire_new(
            kept, address, CONNECT_TIMEOUT_S, now_s(), limit_s
        )
    connection, _ = await pool.acquire(
        kept, address, CONNECT_TIMEOUT_S, now_s(), limit_s
    )
    return connection


async def send(job: Job, connection: EngineConnection, sending: ForwardHeaders) -> None:
    """Send the request, within the time left; raises AnswerBroken, AnswerLate."""
    request = job.exchange.request
    headers = job.engine_headers(sending)
    job.sent_s = now_s()
    if job.retry_charged_s is not None:
        sharedbudget.record_retry_sent(
            job.state.retry_budget, job.service.name, job.retry_charged_s, job.sent_s
        )
        job.retry_charged_s = None
    await connection.send(
        request.method, request.target, headers, request.body, job.left_s()
    )


class Body(NamedTuple):
    """What has been read of an answer's body."""

    data: bytes
    # False if there was no room for the rest.
    is_whole: bool


async def read_body(
    connection: EngineConnection,
    end_s: float,
    silence_s: float = math.inf,
    hold: Callable[[int], bool] = lambda size: True,
) -> Body:
    """Read an answer's body, as far as it may be held.

    `hold` returns whether there is room for more bytes. Raises AnswerBroken, or
    AnswerLate if the answer isn't complete at `end_s`, or if nothing of it has come for
    `silence_s`.
    """
    body = bytearray()
    while True:
        data = await connection.read_in_time(min(silence_s, end_s - now_s()))
        if data is None:
            return Body(bytes(body), True)
        body += data
        if len(body) > MAX_HELD_ANSWER_BYTES or not hold(len(data)):
            return Body(bytes(body), False)


async def read_failure(job: Job, connection: EngineConnection) -> bytes:
    """Return the body of an engine's failure.

    Raises AnswerLate, and AnswerBroken also if it is too long to be held.
    """
    end_s = now_s() + job.left_s()
    body = await read_body(connection, end_s, hold=job.exchange.hold)
    if not body.is_whole:
        raise AnswerBroken("the engine's failure is too long")
    return body.data


async def skip_body(connection: EngineConnection, end_s: float) -> None:
    """Read the rest of an answer and discard it; raises AnswerBroken, AnswerLate."""
    while await connection.read_in_time(end_s - now_s()) is not None:
        pass


async def check_unframed_end(
    job: Job, connection: EngineConnection, engine_id: str
) -> None:
    """Raise AnswerBroken if the engine has died that ended an answer by closing.

    Without a length or chunks, a crash between two pieces looks like the end. Another
    incarnation may be at the address by now, as this process may have been stopped
    meanwhile.
    """
    if connection.has_length:
        return
    model = job.service.model
    try:
        if model is not None and model.layers:
            limit_s = min(enginecalls.CALL_TIMEOUT_S, job.left_s())
            report = await enginecalls.get_report(connection.address, limit_s)
            started_ms = report.started_ms
        else:
            await _probe(job, connection.address)
            started_ms = 0
    except (ConnectFailed, EngineCallFailed) as error:
        raise AnswerBroken("the engine ended with its answer") from error
    entry = job.state.endpoints.table.entries.get(engine_id)
    if entry is None:
        return
    starts_ms = {started_ms, entry.announcement.started_ms} - {0}
    if entry.is_gone or len(starts_ms) > 1:
        raise AnswerBroken("another incarnation is at the engine's address")


async def _probe(job, address):
    """Connect to a plain endpoint, which gives no reports; raises ConnectFailed."""
    probe = await pool.acquire_new(
        job.state.pool, address, CONNECT_TIMEOUT_S, now_s(), job.left_s()
    )
    probe.close()


def is_for_other_request(job: Job, facts: AnswerFacts) -> bool:
    """Return whether an answer is marked as the answer to another request."""
    return bool(facts.request_id) and facts.request_id != job.facts.request_id


def check_seal(head: Head, facts: AnswerFacts) -> None:
    """Raise AnswerBroken for a success without its engine's seal."""
    if FIRST_OK <= head.status <= LAST_OK and not facts.is_sealed:
        raise AnswerBroken("success status without the engine's seal")


async def read_matching_head(
    job: Job, connection: EngineConnection, engine_id: str, timeout_s: float
) -> tuple[Head, AnswerFacts]:
    """Return the answer's head, skipping late answers to other requests.

    Limits, backoffs and a notice to leave in the answer are recorded. Raises
    AnswerBroken, AnswerLate.
    """
    end_s = now_s() + timeout_s
    while True:
        head = await connection.read_head(end_s - now_s())
        facts = messages.read_answer(head.headers)
        if not is_for_other_request(job, facts):
            check_seal(head, facts)
            if head.status != WRONG_INCARNATION_STATUS:
                backpressure.record_answer(job, engine_id, head.status, facts, now_s())
            return head, facts
        job.log_event("foreign-answer", address=connection.address)
        await skip_body(connection, end_s)
        connection.skip_answer()


async def may_retry(
    job: Job,
    failed: FailedAttempt,
    runs: int,
    max_runs: int,
    expected_s: float,
    has_begun: bool | None = None,
) -> bool:
    """Return whether another attempt may be sent, and charge it to the retry budget.

    `runs` attempts count against `max_runs`, the route's own limit. If this entry's
    share of the budget is spent, wait up to BUDGET_WAIT_S for a new one. An answer that
    has begun waits until its client's timeout, since it can't be refused any more.
    """
    if not failed.is_sent:
        # Nothing was sent, so trying another endpoint is no retry.
        return job.left_s() > expected_s
    attempt = Attempt(
        attempts=runs,
        is_idempotent=job.is_idempotent,
        is_certain_not_run=failed.is_not_run,
        expected_s=expected_s,
        deadline_s=job.end_s,
        max_attempts=max_runs,
    )
    budget, service = job.state.retry_budget, job.service.name
    until_s = job.client_leaves_s() if has_begun else now_s() + BUDGET_WAIT_S
    verdict = sharedbudget.may_retry(budget, service, attempt, now_s(), has_begun)
    while verdict is Verdict.NO_BUDGET and now_s() < until_s:
        await anyio.sleep(BUDGET_POLL_S)
        verdict = sharedbudget.may_retry(budget, service, attempt, now_s(), has_begun)
    charge = sharedbudget.describe(budget, service, now_s())
    job.log_event(
        "retry", verdict=str(verdict), reason=failed.reason, service=service, **charge
    )
    if verdict is Verdict.RETRY:
        # It is sent once there is an endpoint for it.
        job.retry_charged_s = now_s()
    return verdict is Verdict.RETRY


def failure_of(whole: WholeAnswer, is_idempotent: bool) -> FailedAttempt | None:
    """Return why an engine's answer is not relayed at once, None if it is.

    This is for answers that don't state that the request has not run. A status that
    would promise so to the client is never relayed, also for a request that may be
    repeated, since the promise could be wrong.
    """
    if whole.status in NOT_RUN_STATUSES:
        return FailedAttempt(f"status {whole.status} after a run", is_not_run=False)
    if whole.status >= 500 and is_idempotent:
        return FailedAttempt(f"status {whole.status}", is_not_run=False, answer=whole)
    return None
