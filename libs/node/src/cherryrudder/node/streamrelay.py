"""Relay streams through chains of engines, and resume them when an engine dies.

There are three ways to resume inside the same answer, tried in this order. The first
engine reroutes the request over another chain, so that only the new parts read it
again. Or another chain resumes after the last event that the client has. Or a request
without any event yet is sent again.
"""

from cherryrudder.platform import engines, messages
from cherryrudder.relay import events, pool
from cherryrudder.relay.errors import AnswerBroken, AnswerLate, ConnectFailed
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import hangs
from cherryrudder.routing.authorization import Refused
from cherryrudder.routing.crashbook import FINISHED, MIN_PASSED_EVENTS

from . import (
    attempts,
    brokenruns,
    crashes,
    entrystate,
    heldrequests,
    streamchains,
    supervision,
    unframedruns,
)
from .job import FailedAttempt, Job, WholeAnswer
from .stream import FIRST_ENGINE_EXCLUSION_S, Stream
from .streamchains import BACKING_OFF, LIMITED, NO_CHAIN, NO_ROOM
from .supervision import StreamSupervisor

# A second attempt is worth sending while this much time is left: a prompt is read
# within 0.1 s, and some events are better than none.
EXPECTED_S = 0.3
# Missing layers are back once an engine has loaded them. All layers take 14 s, one
# engine's range 1 to 2 s.
NO_CHAIN_RETRY_S = 3.0
# Room becomes free as streams end; a stream lasts 2.2 s on average. Most clients retry
# only once, so too short a time costs them the answer.
NO_ROOM_RETRY_S = 2.0
# Clients shorten a Retry-After of more than a third of their time left (some 6 s) to
# that third.
MAX_RETRY_AFTER_S = 5.0
# Sends beyond the route's attempts, for engines that refuse a request without running
# it or die while running it. They don't count against the route, but each loads the
# remaining engines. A request without an answer can be refused with Retry-After
# instead; one whose answer has begun is resumed as long as the retry budget lasts.
MAX_EXTRA_SENDS = 4
# How long a request avoids an engine that refused it for lack of room: as long as a
# usual answer takes.
REFUSAL_EXCLUSION_S = 2.0

RETRY_AFTER_S = {
    NO_CHAIN: NO_CHAIN_RETRY_S,
    NO_ROOM: NO_ROOM_RETRY_S,
    LIMITED: 0.0,
    BACKING_OFF: 0.0,
}


async def serve(job: Job, supervisor: StreamSupervisor) -> None:
    """Serve a stream: run attempts until its answer has ended or none may follow."""
    stream = Stream(job, supervisor)
    failed = FailedAttempt(NO_CHAIN, is_not_run=True, is_sent=False)
    has_run = False
    while True:
        await crashes.delay_suspect(job)
        is_resumed = stream.position() > 0
        if not await heldrequests.wait_for_turn(job, stream.has_begun, is_resumed):
            held = heldrequests.refusal(job, has_run, now_s())
            failed = held._replace(answer=failed.answer)
            break
        if await crashes.confirm_block(job):
            await _refuse_permanently(stream)
            return
        chain = await streamchains.wait_for_chain(stream)
        if chain is None:
            failed = failed._replace(reason=stream.refusal or failed.reason)
            break
        may_send = heldrequests.may_send(job, now_s(), is_resumed)
        if crashes.is_blocked(job, now_s()) or not may_send:
            streamchains.release(stream)
            continue
        if (trial := heldrequests.begin(job, chain[0].engine_id, now_s())) is not None:
            supervisor.stalls.uplink.publish_crashes(trial)
        result = await _attempt(stream)
        if result is None:
            return
        if result.is_broken:
            await crashes.wait_for_engine_verdict(job, chain[0].engine_id)
        if await crashes.confirm_block(job):
            await _refuse_permanently(stream)
            return
        if not result.is_not_run:
            stream.ran_engine_ids.append(chain[0].engine_id)
        has_run = has_run or not result.is_not_run
        failed = result._replace(is_not_run=not has_run)
        if not await _may_retry(stream, result):
            break
    await _give_up(stream, failed)


async def _may_retry(stream, failed):
    """Return whether the stream may be sent again.

    The route limits the engines that a request runs on, not how often it is sent. That
    limit is applied where a chain is chosen (`streamchains.allowed_first_engines`), so
    no run is counted here.
    """
    job, max_runs = stream.job, stream.job.route.max_attempts
    if not stream.has_begun and job.attempts >= max_runs + MAX_EXTRA_SENDS:
        return False
    return await attempts.may_retry(
        job, failed, 0, max_runs, EXPECTED_S, has_begun=stream.has_begun
    )


async def _refuse_permanently(stream):
    if stream.has_begun:
        crashes.log_refused(stream.job, now_s())
        stream.job.outcome = f"broken off: {crashes.REFUSED_AS_CRASHING.reason}"
        return
    await stream.job.refuse_permanently()


async def _give_up(stream, failed):
    job = stream.job
    if stream.has_begun:
        # The connection closes without an end, so that the answer doesn't look
        # complete.
        job.outcome = f"broken off: {failed.reason}"
        return
    if failed.is_not_run and failed.reason in RETRY_AFTER_S:
        usual_s = RETRY_AFTER_S[failed.reason]
        retry_after_s = min(MAX_RETRY_AFTER_S, max(usual_s, stream.retry_after_s))
        await job.refuse(Refused(503, failed.reason, retry_after_s))
        return
    await job.fail(failed)


async def _attempt(stream: Stream) -> FailedAttempt | None:
    """Run the stream over its chain; return None once its answer has ended."""
    result = None
    try:
        result = await _exchange(stream)
        return result
    finally:
        streamchains.release(stream)
        if result is None or not result.is_broken:
            stream.stalls.uplink.publish_crashes(heldrequests.end(stream.job, now_s()))


async def _exchange(stream):
    job, first = stream.job, stream.chain[0]
    try:
        connection = await attempts.open_connection(job, first.address)
    except ConnectFailed as error:
        if error.is_unclear:
            stream.exclude(first.address, now_s() + FIRST_ENGINE_EXCLUSION_S)
        else:
            supervision.mark_first_dead(stream, str(error))
        return FailedAttempt(str(error), is_not_run=True, is_sent=False)
    job.attempts += 1
    is_kept = False
    _start_watching(stream, connection)
    try:
        sending = job.sending(
            first.engine_id, last_event=_resumed_after(stream), chain=stream.chain
        )
        job.log_event(
            "sent",
            chain=engines.write_chain(stream.chain),
            engine_id=first.engine_id,
            last_event=sending.last_event,
        )
        _record_sent(stream)
        await attempts.send(job, connection, sending)
        failed = await _relay(stream, connection)
        is_kept = failed is None or failed.is_not_run
        return failed
    except (AnswerLate, AnswerBroken) as error:
        is_broken = isinstance(error, AnswerBroken)
        is_broken = is_broken and (not stream.break_reason or stream.has_lost_first)
        reason = stream.break_reason or str(error)
        if not stream.break_reason:
            # When an engine crashes, all its streams break at once. Without this, each
            # would return to it at once and spend its last attempt on a reset
            # connection.
            supervision.mark_first_dead(stream, reason, is_unreached=False)
        if not stream.break_reason or stream.has_lost_first:
            _record_break(stream, reason, is_broken)
        return FailedAttempt(
            reason,
            is_not_run=False,
            is_late=stream.is_late,
            is_broken=is_broken,
        )
    finally:
        stream.connection = None
        stream.record_prompt_read()
        hangs.record_end(job.state.hangs, first.engine_id, job.facts.request_id)
        stream.supervisor.streams.discard(stream)
        if is_kept:
            pool.release(job.state.pool, connection, now_s())
        else:
            connection.close()


def _record_sent(stream):
    job, now = stream.job, now_s()
    stream.record_prompt_sent()
    hangs.record_sent(
        job.state.hangs,
        stream.chain[0].engine_id,
        job.facts.request_id,
        job.route.objective_s,
        now,
    )


def _record_head(stream):
    """Record that the first engine has begun the request, or refused it."""
    job, now = stream.job, now_s()
    engine_id, request_id = stream.chain[0].engine_id, job.facts.request_id
    hangs.record_start(job.state.hangs, engine_id, request_id, now)
    brokenruns.record_answer(job.state.broken, engine_id, now)
    stream.has_head = True
    stream.head_s = now


def _record_break(stream, reason, is_broken):
    """Record how far a run got when its engine broke it off."""
    job, engine_id, head_s = stream.job, stream.chain[0].engine_id, stream.head_s
    if is_broken and head_s is not None:
        update = crashes.record_broken_run(
            job, engine_id, stream.position(), now_s(), stream.run_events, head_s
        )
        stream.stalls.uplink.publish_crashes(update)
    job.log_event(
        "run-broken",
        True,
        fingerprint=job.fingerprint,
        prompt_parts=[part.label for part in job.parts],
        engine_id=engine_id,
        run_s=None if head_s is None else round(now_s() - head_s, 3),
        last_event=stream.last_event,
        run_events=stream.run_events,
        reason=reason,
    )


def _start_watching(stream, connection):
    stream.connection = connection
    stream.break_reason = ""
    stream.has_lost_first = False
    stream.has_head = False
    stream.head_s = None
    stream.run_events = 0
    stream.is_whole_run = stream.position() == 0
    stream.has_passed_start = False
    supervision.record_progress(stream, now_s())
    stream.supervisor.streams.add(stream)


def _resumed_after(stream):
    """Return the id after which an engine is to go on, empty for the client's own."""
    return "" if stream.last_event is None else str(stream.last_event)


async def _relay(stream, connection):
    """Relay an engine's answer; return the failure if it did not end."""
    job = stream.job
    head, facts = await attempts.read_matching_head(
        job, connection, stream.chain[0].engine_id, job.left_s()
    )
    _record_head(stream)
    if facts.is_not_run:
        await attempts.skip_body(connection, now_s() + job.left_s())
        _exclude_refusing(stream, head.status, facts)
        _log_refusal(stream, head, facts)
        return FailedAttempt(f"status {head.status} from the engine", is_not_run=True)
    if head.status != 200:
        body = await attempts.read_failure(job, connection)
        await attempts.check_unframed_end(job, connection, stream.chain[0].engine_id)
        return await _pass_failure(stream, WholeAnswer(head.status, head.headers, body))
    if not stream.has_begun:
        await _begin(stream, head)
    await _pass_events(stream, connection)
    job.outcome = "status 200"
    return None


def _exclude_refusing(stream, status, facts):
    """Exclude the engine that refused: the one named as at fault, else the first.

    A full engine has room again soon; one without the layers is excluded for good.
    """
    address, now = facts.fault_address or stream.chain[0].address, now_s()
    if status == 421:
        stream.exclude(address)
        return
    stream.exclude(address, now + REFUSAL_EXCLUSION_S)
    entrystate.record_full(stream.job.state, address, now)


async def _begin(stream, head):
    job = stream.job
    headers = messages.answer_headers(head.headers)
    # A stream that is resumed on another engine may have another length.
    headers = [pair for pair in headers if pair[0] != b"content-length"]
    stream.has_begun = True
    await job.exchange.begin(head.status, headers)


async def _pass_failure(stream, whole):
    """Relay an engine's own failure to the client, unless the request is retried."""
    job = stream.job
    if stream.has_begun:
        return FailedAttempt(
            f"status {whole.status} in a resumed stream", is_not_run=False
        )
    failed = attempts.failure_of(whole, job.is_idempotent)
    if failed is not None:
        return failed
    await job.pass_on(whole)
    return None


async def _pass_events(stream, connection):
    """Relay whole events until the stream's complete end; raises AnswerBroken."""
    job = stream.job
    stream.splitter = events.EventSplitter()
    while True:
        data = await connection.read()
        if data is None:
            break
        supervision.record_progress(stream, now_s())
        stream.record_prompt_read()
        received = events.split(stream.splitter, data)
        stream.run_events += len(received)
        _record_start_passed(stream)
        fresh = [event for event in received if _is_new(stream, event)]
        if not fresh:
            continue
        job.record_chunk(now_s())
        _record_reached(stream, stream.position())
        await job.exchange.send(b"".join(event.data for event in fresh))
    if stream.splitter.rest:
        raise AnswerBroken("the stream ended inside an event")
    await attempts.check_unframed_end(job, connection, stream.chain[0].engine_id)
    if stream.is_whole_run and connection.has_length:
        _record_reached(stream, FINISHED)
        _record_pass(stream, FINISHED)
    elif stream.is_whole_run:
        # An engine that crashed between two events would look finished.
        unframedruns.add(job, stream.chain[0].engine_id, now_s())
    await job.exchange.end()


def _record_start_passed(stream):
    """Record the run as evidence for its prompt's parts, once it has got so far."""
    if stream.run_events < MIN_PASSED_EVENTS:
        return
    if stream.has_passed_start and not crashes.has_watched_part(stream.job):
        return
    stream.has_passed_start = True
    _record_pass(stream, stream.run_events)


def _record_pass(stream, run_events):
    engine_id, now = stream.chain[0].engine_id, now_s()
    update = crashes.record_pass(stream.job, engine_id, now, now, run_events)
    stream.stalls.uplink.publish_crashes(update)


def _record_reached(stream, event):
    stream.stalls.uplink.publish_crashes(
        crashes.record_progress(stream.job, event, now_s())
    )


def _is_new(stream, event):
    """Return whether the client lacks an event, and record that it gets it."""
    if event.number is None:
        return True
    if stream.last_event is not None and event.number <= stream.last_event:
        return False
    stream.last_event = event.number
    return True


def _log_refusal(stream, head, facts):
    stream.job.log_event(
        "engine-refused",
        status=head.status,
        fault_address=facts.fault_address,
        chain=engines.write_chain(stream.chain),
    )
