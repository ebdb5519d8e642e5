"""Relay requests to plain services, with complete answers and safe retries.

An answer is relayed once it is complete, so that an idempotent request can still be
retried if its answer breaks off. One that is too long to be held is relayed as it
comes, at the speed of its client, and so is a stream of events (`plainstream`).
"""

from collections.abc import Callable
from typing import NamedTuple

import anyio

from cherryrudder.platform import messages
from cherryrudder.relay import pool
from cherryrudder.relay.errors import (
    AnswerBroken,
    AnswerLate,
    ConnectFailed,
)
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import backoffs, crashbook, picking, suspicion
from cherryrudder.routing.configuration import RouteKind
from cherryrudder.routing.crashbook import FINISHED
from cherryrudder.routing.picking import EndpointLoad

from . import (
    attempts,
    backpressure,
    brokenruns,
    crashes,
    heldrequests,
    plainstream,
    ratelimiter,
)
from .entrystate import ReportedLoad, is_suspect, serving_endpoints
from .gossip import CrashUpdate
from .job import ANSWER_MARGIN_S, FailedAttempt, Job, WholeAnswer
from .plainstream import EventRelay

# Part of the time left that an idempotent request waits for one endpoint, so that
# another could still answer in time. It applies to the objective, and once that has
# passed, to the client's time limit.
TIMEOUT_SHARE = 0.4
# A second attempt is worth sending while this much time is left: the work takes 20 to
# 70 ms.
EXPECTED_S = 0.05
# Minimum interval between two checks for a permit at endpoints that limit requests.
MIN_POLL_INTERVAL_S = 0.01
NO_ENDPOINT = FailedAttempt("no endpoint", is_not_run=True, is_sent=False)
BARRED = FailedAttempt(
    "endpoints take no more requests", is_not_run=True, is_sent=False
)


class PassedOn(NamedTuple):
    """A complete answer that has been relayed to the client."""

    status: int


async def serve(
    job: Job, publish_crashes: Callable[[CrashUpdate | None], None]
) -> None:
    """Serve a request until its final answer.

    `publish_crashes` sends out crashes that the request may have caused.
    """
    excluded: set[str] = set()
    failed = NO_ENDPOINT
    has_run = False
    stream = EventRelay(job)
    while True:
        has_begun = job.exchange.has_begun
        if not await heldrequests.wait_for_turn(job, has_begun, has_begun):
            held = heldrequests.refusal(job, has_run, now_s())
            failed = held._replace(answer=failed.answer)
            break
        if await crashes.confirm_block(job):
            await _refuse_permanently(job)
            return
        busy = heldrequests.busy_engines(job, now_s())
        endpoint = await _choose(job, excluded | busy)
        if isinstance(endpoint, FailedAttempt):
            if failed is NO_ENDPOINT:
                failed = endpoint
            break
        may_send = heldrequests.may_send(job, now_s(), has_begun)
        if crashes.is_blocked(job, now_s()) or not may_send:
            continue
        publish_crashes(heldrequests.begin(job, endpoint.engine_id, now_s()))
        result = None
        try:
            result = await _attempt(job, endpoint, stream)
        finally:
            if not (isinstance(result, FailedAttempt) and result.is_broken):
                publish_crashes(heldrequests.end(job, now_s()))
        if isinstance(result, WholeAnswer | PassedOn):
            brokenruns.record_answer(job.state.broken, endpoint.engine_id, now_s())
            now = now_s()
            publish_crashes(crashes.record_progress(job, FINISHED, now))
            publish_crashes(crashes.record_pass(job, endpoint.engine_id, now, now))
            if isinstance(result, WholeAnswer):
                await job.pass_on(result)
            return
        if result.is_broken:
            publish_crashes(
                crashes.record_broken_run(
                    job, endpoint.engine_id, crashbook.NO_POSITION, now_s()
                )
            )
            await crashes.wait_for_engine_verdict(job, endpoint.engine_id)
        if job.exchange.has_begun and not stream.may_resume:
            _break_off(job, result)
            return
        has_run = has_run or not result.is_not_run
        failed = result._replace(
            is_not_run=not has_run, answer=result.answer or failed.answer
        )
        excluded.add(endpoint.engine_id)
        if not await attempts.may_retry(
            job,
            result,
            job.attempts,
            job.route.max_attempts,
            EXPECTED_S,
            # Only streams are passed on in parts that another attempt may follow.
            job.exchange.has_begun if job.route.kind is RouteKind.STREAM else None,
        ):
            break
        await crashes.delay_suspect(job)
    if job.exchange.has_begun:
        _break_off(job, failed)
        return
    await job.fail(failed)


def _break_off(job, failed):
    """End an answer that has begun: its connection closes without an end."""
    job.outcome = f"broken off: {failed.reason}"


async def _refuse_permanently(job):
    if job.exchange.has_begun:
        crashes.log_refused(job, now_s())
        job.outcome = f"broken off: {crashes.REFUSED_AS_CRASHING.reason}"
        return
    await job.refuse_permanently()


async def _choose(job, excluded):
    """Return the endpoint for the next attempt, or the reason why there is none."""
    state = job.state
    while True:
        barred: set[str] = set()
        while (endpoint := _pick(job, excluded | barred)) is not None:
            if await _accepts_request(state, endpoint.engine_id):
                backpressure.record_request(state, endpoint.engine_id, now_s())
                return endpoint
            barred.add(endpoint.engine_id)
        if not barred:
            return NO_ENDPOINT
        now = now_s()
        wait_s = backpressure.wait_s(state, barred, now)
        if now + wait_s > job.arrived_s + job.route.objective_s - EXPECTED_S:
            retry_after_s = backpressure.retry_after_s(state, wait_s)
            return BARRED._replace(retry_after_s=retry_after_s)
        await anyio.sleep(max(MIN_POLL_INTERVAL_S, wait_s))


async def _accepts_request(state, engine_id):
    """Return whether an endpoint takes a request; request a permit if needed."""
    if not backoffs.may_send(state.backoffs, engine_id, now_s()):
        return False
    await ratelimiter.acquire(state, [engine_id])
    return backpressure.may_send(state, engine_id, now_s())


def _pick(job, excluded):
    """Return the best endpoint; barred ones elsewhere only if there is no other."""
    state, now = job.state, now_s()
    endpoints, home_zone = _endpoint_loads(job), state.settings.vm_zone
    far = {
        endpoint.engine_id
        for endpoint in endpoints
        if endpoint.vm_zone != home_zone
        and not backpressure.may_send(state, endpoint.engine_id, now)
    }
    endpoint = picking.pick(endpoints, home_zone, excluded | far, state.rng)
    return endpoint or picking.pick(endpoints, home_zone, excluded, state.rng)


def _endpoint_loads(job):
    state, now = job.state, now_s()
    return [
        _endpoint_load(state, announcement, now)
        for announcement in serving_endpoints(state, job.service.name, now)
    ]


def _endpoint_load(state, announcement, now):
    engine_id = announcement.engine_id
    reported = state.reported_loads.get(engine_id, ReportedLoad(0.0, now))
    return EndpointLoad(
        engine_id=engine_id,
        address=announcement.address,
        vm_zone=announcement.vm_zone,
        slots=announcement.slots,
        own_in_flight=state.running.get(announcement.address, 0),
        reported_load=reported.load,
        report_age_s=now - reported.reported_s,
        is_suspect=is_suspect(state, engine_id, now),
    )


async def _attempt(
    job: Job, endpoint: EndpointLoad, stream: EventRelay
) -> WholeAnswer | PassedOn | FailedAttempt:
    state = job.state
    state.running[endpoint.address] = state.running.get(endpoint.address, 0) + 1
    state.tokens.setdefault(endpoint.address, 0)
    try:
        result = await _exchange(job, endpoint, stream)
    finally:
        state.running[endpoint.address] -= 1
        if not state.running[endpoint.address]:
            del state.running[endpoint.address], state.tokens[endpoint.address]
    _record_health(job, endpoint, result)
    return result


async def _exchange(job, endpoint, stream):
    try:
        connection = await attempts.open_connection(job, endpoint.address)
    except ConnectFailed as error:
        return FailedAttempt(
            str(error), is_not_run=True, is_sent=False, is_unclear=error.is_unclear
        )
    job.attempts += 1
    is_kept = False
    try:
        after = stream.resumed_after
        job.log_event(
            "sent",
            address=endpoint.address,
            engine_id=endpoint.engine_id,
            last_event=after,
        )
        sending = job.sending(endpoint.engine_id, last_event=after)
        await attempts.send(job, connection, sending)
        result = await _read(job, connection, endpoint, stream)
        is_kept = True
        return result
    except AnswerLate as error:
        return FailedAttempt(str(error), is_not_run=False, is_late=True)
    except AnswerBroken as error:
        return FailedAttempt(str(error), is_not_run=False, is_broken=True)
    finally:
        if is_kept:
            pool.release(job.state.pool, connection, now_s())
        else:
            connection.close()


async def _read(job, connection, endpoint, stream):
    timeout_s = attempt_timeout_s(job, now_s())
    head, facts = await attempts.read_matching_head(
        job, connection, endpoint.engine_id, timeout_s
    )
    # An endpoint may send the head before its work is done.
    end_s = now_s() + job.left_s()
    if facts.load is not None:
        running, waiting, _ = facts.load
        job.state.reported_loads[endpoint.engine_id] = ReportedLoad(
            running + waiting, now_s()
        )
    if facts.is_not_run:
        await attempts.skip_body(connection, min(end_s, now_s() + timeout_s))
        return FailedAttempt(
            f"status {head.status} from the endpoint",
            is_not_run=True,
            is_backoff=backpressure.asks_for_backoff(head.status, facts),
        )
    if plainstream.is_event_stream(job, head):
        await plainstream.relay(stream, connection, head, timeout_s)
        await attempts.check_unframed_end(job, connection, endpoint.engine_id)
        await plainstream.end(job, head)
        return PassedOn(head.status)
    if job.exchange.has_begun:
        await attempts.read_failure(job, connection)
        return FailedAttempt(
            f"status {head.status} in a resumed stream", is_not_run=False
        )
    body = await attempts.read_body(connection, end_s, timeout_s, job.exchange.hold)
    whole = WholeAnswer(head.status, head.headers, body.data)
    failed = attempts.failure_of(whole, job.is_idempotent)
    if body.is_whole:
        await attempts.check_unframed_end(job, connection, endpoint.engine_id)
        return failed or whole
    if failed is not None:
        raise AnswerBroken("the endpoint's failure is too long")
    return await _pass_on(job, connection, endpoint, whole)


async def _pass_on(job, connection, endpoint, begun):
    """Relay an answer of which a part has been read; raises AnswerBroken, AnswerLate.

    The client's reading limits how fast the rest is read from the endpoint.
    """
    status, data = begun.status, begun.body
    job.outcome = f"status {status}"
    job.first_byte_s = now_s()
    await job.exchange.begin(status, messages.answer_headers(begun.headers))
    job.exchange.connection.is_patient = True
    while data is not None:
        await job.exchange.send(data)
        data = await connection.read_in_time(job.left_s())
    await attempts.check_unframed_end(job, connection, endpoint.engine_id)
    await job.exchange.end()
    return PassedOn(status)


def attempt_timeout_s(job: Job, now: float) -> float:
    """Return how long the present endpoint may send nothing of its answer.

    A request without a further attempt waits until its time limit.
    """
    left_s = job.end_s - now - ANSWER_MARGIN_S
    if not job.is_idempotent or job.attempts >= job.route.max_attempts:
        return left_s
    in_time_s = job.arrived_s + job.route.objective_s - now
    return TIMEOUT_SHARE * min(left_s, in_time_s if in_time_s > 0 else left_s)


def _record_health(job, endpoint, result):
    """Record the attempt's result in the endpoint's health."""
    suspicions, engine_id, now = job.state.suspicions, endpoint.engine_id, now_s()
    if isinstance(result, FailedAttempt) and (result.is_backoff or result.is_unclear):
        # The endpoint is alive, but a backoff is no evidence of healthy answers.
        return
    if isinstance(result, FailedAttempt) and not result.is_sent:
        suspicion.record_failure(suspicions, engine_id, now)
    else:
        is_good = isinstance(result, WholeAnswer | PassedOn) or result.is_not_run
        suspicion.record_answer(suspicions, engine_id, is_good, now)
