"""Requests to plain services: whole answers, and another attempt only where it is safe.

An answer is passed on once it is there in full, so that one which breaks off can still
be repeated for an idempotent request.
"""

from collections.abc import Callable

import anyio

from cherryrudder.relay import pool
from cherryrudder.relay.errors import AnswerBroken, AnswerLate, ConnectFailed
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import backoffs, picking, suspicion
from cherryrudder.routing.crashbook import FINISHED
from cherryrudder.routing.picking import EndpointLoad

from . import attempts, backpressure, brokenruns, crashes, ratelimiter
from .entrystate import ToldLoad, is_suspect, serving_endpoints
from .gossip import CrashUpdate
from .job import ANSWER_MARGIN_S, Failed, Job, Whole

# Part of the time left that an idempotent request waits for one endpoint while another
# could still answer in time: of the objective, and once that has passed, of the time
# that its client waits.
PATIENCE_SHARE = 0.4
# Time that a second attempt needs to be worth sending: the work is 20 to 70 ms.
EXPECTED_S = 0.05
# Between two looks for a permit at endpoints that limit their requests.
LEAST_PAUSE_S = 0.01
NO_ENDPOINT = Failed("no endpoint", is_not_run=True, is_sent=False)
BARRED = Failed("endpoints take no more requests", is_not_run=True, is_sent=False)


async def serve(job: Job, tell: Callable[[CrashUpdate | None], None]) -> None:
    """See a request to its answer; `tell` spreads what it shows of engines' ends."""
    excluded: set[str] = set()
    failed = NO_ENDPOINT
    has_run = False
    while True:
        place = await _choose(job, excluded)
        if isinstance(place, Failed):
            if failed is NO_ENDPOINT:
                failed = place
            break
        result = await _attempt(job, place)
        if isinstance(result, Whole):
            brokenruns.record_answer(job.state.broken, place.engine_id, now_s())
            tell(crashes.record_progress(job, FINISHED, now_s()))
            await job.pass_on(result)
            return
        if result.is_broken:
            tell(crashes.record_broken_run(job, place.engine_id, 0, now_s()))
            await crashes.wait_for_engine_verdict(job, place.engine_id)
        has_run = has_run or not result.is_not_run
        failed = result._replace(
            is_not_run=not has_run, whole=result.whole or failed.whole
        )
        excluded.add(place.engine_id)
        if not await attempts.may_retry(
            job, result, job.attempts, job.route.max_attempts, EXPECTED_S
        ):
            break
        await crashes.delay_suspect(job)
        if crashes.is_blocked(job, now_s()):
            await job.refuse_for_good()
            return
    await job.fail(failed)


async def _choose(job, excluded):
    """Return the endpoint for the next attempt, or why there is none."""
    state = job.state
    while True:
        barred: set[str] = set()
        while (place := _pick(job, excluded | barred)) is not None:
            if await _takes_it(state, place.engine_id):
                backpressure.record_request(state, place.engine_id, now_s())
                return place
            barred.add(place.engine_id)
        if not barred:
            return NO_ENDPOINT
        now = now_s()
        wait_s = backpressure.wait_s(state, barred, now)
        if now + wait_s > job.arrived_s + job.route.objective_s - EXPECTED_S:
            retry_after_s = backpressure.retry_after_s(state, wait_s)
            return BARRED._replace(retry_after_s=retry_after_s)
        await anyio.sleep(max(LEAST_PAUSE_S, wait_s))


async def _takes_it(state, engine_id):
    """Tell whether an endpoint takes a request; ask for a permit if it needs one."""
    if not backoffs.may_send(state.backoffs, engine_id, now_s()):
        return False
    await ratelimiter.acquire(state, [engine_id])
    return backpressure.may_begin(state, engine_id, now_s())


def _pick(job, excluded):
    """Return the best endpoint; far ones that take nothing now only in need."""
    state, now = job.state, now_s()
    places, home_zone = _places(job), state.settings.vm_zone
    far = {
        place.engine_id
        for place in places
        if place.vm_zone != home_zone
        and not backpressure.may_begin(state, place.engine_id, now)
    }
    place = picking.pick(places, home_zone, excluded | far, state.rng)
    return place or picking.pick(places, home_zone, excluded, state.rng)


def _places(job):
    state, now = job.state, now_s()
    return [
        _place(state, announcement, now)
        for announcement in serving_endpoints(state, job.service.name, now)
    ]


def _place(state, announcement, now):
    engine_id = announcement.engine_id
    told = state.told.get(engine_id, ToldLoad(0.0, now))
    return EndpointLoad(
        engine_id=engine_id,
        address=announcement.address,
        vm_zone=announcement.vm_zone,
        slots=announcement.slots,
        own_in_flight=state.running.get(announcement.address, 0),
        reported_load=told.load,
        report_age_s=now - told.told_s,
        is_suspect=is_suspect(state, engine_id, now),
    )


async def _attempt(job: Job, place: EndpointLoad) -> Whole | Failed:
    state = job.state
    state.running[place.address] = state.running.get(place.address, 0) + 1
    state.tokens.setdefault(place.address, 0)
    try:
        result = await _exchange(job, place)
    finally:
        state.running[place.address] -= 1
        if not state.running[place.address]:
            del state.running[place.address], state.tokens[place.address]
    _judge(job, place, result)
    return result


async def _exchange(job, place):
    try:
        connection = await attempts.open_connection(job, place.address)
    except ConnectFailed as error:
        return Failed(str(error), is_not_run=True, is_sent=False)
    job.attempts += 1
    is_kept = False
    try:
        job.note("sent", address=place.address, engine_id=place.engine_id)
        await attempts.send(job, connection, job.sending(place.engine_id))
        result = await _read(job, connection, place)
        is_kept = True
        return result
    except AnswerLate as error:
        return Failed(str(error), is_not_run=False, is_late=True)
    except AnswerBroken as error:
        return Failed(str(error), is_not_run=False, is_broken=True)
    finally:
        if is_kept:
            pool.release(job.state.pool, connection, now_s())
        else:
            connection.close()


async def _read(job, connection, place):
    head, facts = await attempts.read_own_head(
        job, connection, place.engine_id, patience_s(job, now_s())
    )
    body = await _read_body(connection)
    if facts.load is not None:
        running, waiting, _ = facts.load
        job.state.told[place.engine_id] = ToldLoad(running + waiting, now_s())
    if facts.is_not_run:
        return Failed(
            f"status {head.status} from the endpoint",
            is_not_run=True,
            is_turned_away=backpressure.asks_for_backoff(head.status, facts),
        )
    whole = Whole(head.status, head.headers, body)
    return attempts.failure_of(whole, job.is_idempotent) or whole


def patience_s(job: Job, now: float) -> float:
    """Return how long the present endpoint may take until its answer begins."""
    left_s = job.end_s - now - ANSWER_MARGIN_S
    if not job.is_idempotent or job.attempts >= job.route.max_attempts:
        return left_s
    in_time_s = job.arrived_s + job.route.objective_s - now
    return PATIENCE_SHARE * min(left_s, in_time_s if in_time_s > 0 else left_s)


async def _read_body(connection):
    pieces = []
    while (data := await connection.read()) is not None:
        pieces.append(data)
    return b"".join(pieces)


def _judge(job, place, result):
    """Take what the attempt tells of the endpoint."""
    suspicions, engine_id, now = job.state.suspicions, place.engine_id, now_s()
    if isinstance(result, Failed) and result.is_turned_away:
        # It lives, and says nothing of how it serves.
        return
    if isinstance(result, Failed) and not result.is_sent:
        suspicion.record_failure(suspicions, engine_id, now)
    else:
        is_good = isinstance(result, Whole) or result.is_not_run
        suspicion.record_answer(suspicions, engine_id, is_good, now)
