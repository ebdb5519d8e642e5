"""One attempt of a request at one engine, over one connection."""

import anyio

from cherryrudder.platform import messages
from cherryrudder.platform.messages import AnswerFacts, ForwardHeaders
from cherryrudder.policy import sharedbudget
from cherryrudder.policy.retries import Attempt, Verdict
from cherryrudder.relay import pool
from cherryrudder.relay.client import EngineConnection, Head
from cherryrudder.relay.errors import AnswerBroken
from cherryrudder.replica.clock import now_s

from . import backpressure
from .job import Failed, Job, Whole

# A connection in the same region is there within some milliseconds. One lost packet is
# repeated after a second; another endpoint is there sooner.
CONNECT_S = 0.3
# An engine that crashes breaks all its streams at once, more than the entries of its
# data centre may send again at that moment. Each gets a new part of the budget with the
# next word of the control VMs, twice a second.
BUDGET_WAIT_S = 0.7
BUDGET_POLL_S = 0.1
# A success without the engine's seal is none of its answers.
FIRST_OK, LAST_OK = 200, 299
# The status of an engine that isn't the incarnation that was asked for.
OTHER_INCARNATION = 421
# To clients these statuses promise that the request has not run and never will.
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})


async def open_connection(job: Job, address: str) -> EngineConnection:
    """Return a connection for one attempt; raises ConnectFailed.

    A request that may not be repeated never goes out on a kept connection: the engine
    may close it at that moment, and nobody could tell whether the request has run.
    """
    timeout_s = max(0.0, min(CONNECT_S, job.left_s()))
    if not job.is_idempotent:
        return await pool.acquire_new(job.state.pool, address, timeout_s, now_s())
    connection, _ = await pool.acquire(job.state.pool, address, timeout_s, now_s())
    return connection


async def send(job: Job, connection: EngineConnection, sending: ForwardHeaders) -> None:
    """Send the request; raises AnswerBroken."""
    request = job.exchange.request
    headers = job.engine_headers(sending)
    job.sent_s = now_s()
    await connection.send(request.method, request.target, headers, request.body)


def is_foreign(job: Job, facts: AnswerFacts) -> bool:
    """Tell whether an answer names another request than this one."""
    return bool(facts.request_id) and facts.request_id != job.facts.request_id


def check_seal(head: Head, facts: AnswerFacts) -> None:
    """Refuse a success that its engine has not sealed; raises AnswerBroken."""
    if FIRST_OK <= head.status <= LAST_OK and not facts.is_sealed:
        raise AnswerBroken("a success without a seal")


async def read_own_head(
    job: Job, connection: EngineConnection, engine_id: str, timeout_s: float
) -> tuple[Head, AnswerFacts]:
    """Return the answer's head, past late answers to other requests.

    What it asks of its senders is taken in. Raises AnswerBroken, AnswerLate.
    """
    end_s = now_s() + timeout_s
    while True:
        head = await connection.read_head(end_s - now_s())
        facts = messages.read_answer(head.headers)
        if not is_foreign(job, facts):
            check_seal(head, facts)
            if head.status != OTHER_INCARNATION:
                backpressure.note_answer(job, engine_id, head.status, facts, now_s())
            return head, facts
        job.note("foreign-answer", address=connection.address)
        while await connection.read() is not None:
            pass
        connection.skip_answer()


async def may_retry(
    job: Job,
    failed: Failed,
    ran: int,
    most_runs: int,
    expected_s: float,
    has_begun: bool | None = None,
) -> bool:
    """Tell whether another attempt may go out, and count it against the budget.

    `ran` is how many attempts count against `most_runs`, the route's own bound. Waits
    a little for a new part of the budget where this entry's is spent; an answer that
    has begun waits until its client leaves, since it can't be refused any more.
    """
    if not failed.is_sent:
        # Nothing has left; another endpoint costs no retry.
        return job.left_s() > expected_s
    attempt = Attempt(
        attempts=ran,
        is_idempotent=job.is_idempotent,
        is_certain_not_run=failed.is_not_run,
        expected_s=expected_s,
        deadline_s=job.end_s,
        max_attempts=most_runs,
    )
    budget, service = job.state.retry_budget, job.service.name
    until_s = job.leaves_s() if has_begun else now_s() + BUDGET_WAIT_S
    verdict = sharedbudget.may_retry(budget, service, attempt, now_s(), has_begun)
    while verdict is Verdict.NO_BUDGET and now_s() < until_s:
        await anyio.sleep(BUDGET_POLL_S)
        verdict = sharedbudget.may_retry(budget, service, attempt, now_s(), has_begun)
    job.note("retry", verdict=str(verdict), reason=failed.reason)
    return verdict is Verdict.RETRY


def failure_of(whole: Whole, is_idempotent: bool) -> Failed | None:
    """Return why an engine's answer is not passed on at once, None when it is.

    For an engine that doesn't vouch that the request has not run. A status that would
    promise so to the client never passes, also for a request that may be repeated: the
    promise would be a guess.
    """
    if whole.status in PROMISES_NOT_RUN:
        return Failed(f"status {whole.status} after a run", is_not_run=False)
    if whole.status >= 500 and is_idempotent:
        return Failed(f"status {whole.status}", is_not_run=False, whole=whole)
    return None
