"""Streams through chains of engines, carried on inside one answer when an engine dies.

Three ways to go on, in this order: the first engine carries the request on over another
chain, so that only the new parts read it again; another chain goes on behind the last
event that the client has; a request without any event yet is sent once more.
"""

from cherryrudder.platform import engines, messages
from cherryrudder.relay import events, pool
from cherryrudder.relay.errors import AnswerBroken, AnswerLate, ConnectFailed
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import hangs
from cherryrudder.routing.authorization import Refused
from cherryrudder.routing.crashbook import FINISHED

from . import attempts, brokenruns, crashes, entrystate, streamchains, supervision
from .job import Failed, Job, Whole
from .stream import Stream
from .streamchains import BACKING_OFF, LIMITED, NO_CHAIN, NO_ROOM
from .supervision import Watch

# A second attempt is worth sending while this much is left: a prompt is read within
# 0.1 s, and some events are better than none.
EXPECTED_S = 0.3
# The chains that a hole in the layers leaves without are back after a load: a part of
# 14 s for all layers, 1 to 2 s for one engine's range.
HOLE_RETRY_S = 3.0
# Room comes back as streams end; one lasts 2.2 s on the average. Most clients come back
# once only, so that a time which is too short to help costs them the answer.
ROOM_RETRY_S = 2.0
# A client counts a time to come back that is longer than a third of the time left, some
# 6 s, as that third.
MOST_RETRY_S = 5.0
# Sends beyond the route's attempts that engines may refuse unrun, or die under. They
# don't count against the route, but each is work for the engines that are left. A
# request without an answer can be told to come back instead; one whose answer has begun
# goes on as long as the retry budget lasts.
MAX_EXTRA_SENDS = 4

# How long a request keeps away from an engine that refused it for want of room: as long
# as a usual answer takes to end there.
REFUSED_S = 2.0

RETRY_AFTER_S = {
    NO_CHAIN: HOLE_RETRY_S,
    NO_ROOM: ROOM_RETRY_S,
    LIMITED: 0.0,
    BACKING_OFF: 0.0,
}


async def serve(job: Job, watch: Watch) -> None:
    """See a stream to its end."""
    stream = Stream(job, watch)
    failed = Failed(NO_CHAIN, is_not_run=True, is_sent=False)
    has_run = False
    while True:
        await crashes.delay_suspect(job)
        chain = await streamchains.wait_for_chain(stream)
        if chain is None:
            failed = failed._replace(reason=stream.refusal or failed.reason)
            break
        if crashes.is_blocked(job, now_s()):
            streamchains.release(stream)
            await _refuse_for_good(stream)
            return
        result = await _attempt(stream)
        if result is None:
            return
        if result.is_broken:
            await crashes.wait_for_engine_verdict(job, chain[0].engine_id)
        if crashes.is_blocked(job, now_s()):
            await _refuse_for_good(stream)
            return
        if not result.is_not_run:
            stream.ran_engine_ids.append(chain[0].engine_id)
        has_run = has_run or not result.is_not_run
        failed = result._replace(is_not_run=not has_run)
        if not await _may_retry(stream, result):
            break
    await _give_up(stream, failed)


async def _may_retry(stream, failed):
    """Tell whether the stream may go out once more.

    The route bounds the engines that a request runs on, not how often it goes out, and
    that bound is kept where a chain is chosen (`streamchains.bounding_firsts`): here no
    run counts against it.
    """
    job, most_runs = stream.job, stream.job.route.max_attempts
    if not stream.has_begun and job.attempts >= most_runs + MAX_EXTRA_SENDS:
        return False
    return await attempts.may_retry(
        job, failed, 0, most_runs, EXPECTED_S, has_begun=stream.has_begun
    )


async def _refuse_for_good(stream):
    if stream.has_begun:
        crashes.log_refused(stream.job, now_s())
        stream.job.outcome = f"broken off: {crashes.REFUSED_AS_CRASHING.reason}"
        return
    await stream.job.refuse_for_good()


async def _give_up(stream, failed):
    job = stream.job
    if stream.has_begun:
        # The connection closes without an end, so that the answer can't look complete.
        job.outcome = f"broken off: {failed.reason}"
        return
    if failed.is_not_run and failed.reason in RETRY_AFTER_S:
        usual_s = RETRY_AFTER_S[failed.reason]
        retry_after_s = min(MOST_RETRY_S, max(usual_s, stream.retry_after_s))
        await job.refuse(Refused(503, failed.reason, retry_after_s))
        return
    await job.fail(failed)


async def _attempt(stream: Stream) -> Failed | None:
    """Run the stream over its chain; return None once its answer has ended."""
    try:
        return await _exchange(stream)
    finally:
        streamchains.release(stream)


async def _exchange(stream):
    job, first = stream.job, stream.chain[0]
    try:
        connection = await attempts.open_connection(job, first.address)
    except ConnectFailed as error:
        supervision.lose_first(stream, str(error))
        return Failed(str(error), is_not_run=True, is_sent=False)
    job.attempts += 1
    is_kept = False
    _watch(stream, connection)
    try:
        sending = job.sending(
            first.engine_id, last_event=_last_event(stream), chain=stream.chain
        )
        job.note(
            "sent",
            chain=engines.write_chain(stream.chain),
            engine_id=first.engine_id,
            last_event=sending.last_event,
        )
        _note_sent(stream)
        await attempts.send(job, connection, sending)
        failed = await _relay(stream, connection)
        is_kept = failed is None or failed.is_not_run
        return failed
    except (AnswerLate, AnswerBroken) as error:
        is_broken = isinstance(error, AnswerBroken)
        is_broken = is_broken and (not stream.broken or stream.has_lost_first)
        reason = stream.broken or str(error)
        if not stream.broken:
            # All streams of an engine that crashes break at the same moment. Each would
            # go straight back to it, and spend its last attempt on a reset connection.
            supervision.lose_first(stream, reason, is_unreached=False)
        if not stream.broken or stream.has_lost_first:
            _note_break(stream, reason, is_broken)
        return Failed(
            reason,
            is_not_run=False,
            is_late=stream.is_late,
            is_broken=is_broken,
        )
    finally:
        stream.connection = None
        stream.note_read()
        hangs.record_end(job.state.hangs, first.engine_id, job.facts.request_id)
        stream.watch.streams.discard(stream)
        if is_kept:
            pool.release(job.state.pool, connection, now_s())
        else:
            connection.close()


def _note_sent(stream):
    job, now = stream.job, now_s()
    stream.note_sent()
    hangs.record_sent(
        job.state.hangs,
        stream.chain[0].engine_id,
        job.facts.request_id,
        job.route.objective_s,
        now,
    )


def _note_head(stream):
    """Take note that the first engine has begun the request, or refused it."""
    job, now = stream.job, now_s()
    engine_id, request_id = stream.chain[0].engine_id, job.facts.request_id
    hangs.record_start(job.state.hangs, engine_id, request_id, now)
    brokenruns.record_answer(job.state.broken, engine_id, now)
    stream.has_head = True
    stream.head_s = now


def _note_break(stream, reason, is_broken):
    """Keep how far a run had come when its engine broke it off."""
    job, engine_id, head_s = stream.job, stream.chain[0].engine_id, stream.head_s
    if is_broken and head_s is not None:
        news = crashes.record_broken_run(job, engine_id, stream.position(), now_s())
        stream.stalls.uplink.publish_crashes(news)
    job.note(
        "run-broken",
        True,
        fingerprint=job.fingerprint,
        engine_id=engine_id,
        run_s=None if head_s is None else round(now_s() - head_s, 3),
        last_event=stream.last_event,
        reason=reason,
    )


def _watch(stream, connection):
    stream.connection = connection
    stream.broken = ""
    stream.has_lost_first = False
    stream.has_head = False
    stream.head_s = None
    supervision.progressed(stream, now_s())
    stream.watch.streams.add(stream)


def _last_event(stream):
    if stream.last_event is None:
        return stream.job.facts.last_event
    return str(stream.last_event)


async def _relay(stream, connection):
    """Pass an engine's answer on; return what kept it from its end, if anything."""
    job = stream.job
    head, facts = await attempts.read_own_head(
        job, connection, stream.chain[0].engine_id, job.left_s()
    )
    _note_head(stream)
    if facts.is_not_run:
        await _read_rest(connection)
        _avoid(stream, head.status, facts)
        _note_refusal(stream, head, facts)
        return Failed(f"status {head.status} from the engine", is_not_run=True)
    if head.status != 200:
        body = await _read_rest(connection)
        return await _pass_failure(stream, Whole(head.status, head.headers, body))
    if not stream.has_begun:
        await _begin(stream, head)
    await _pass_events(stream, connection)
    job.outcome = "status 200"
    return None


def _avoid(stream, status, facts):
    """Keep away from the engine that refused: the named one, else the first itself.

    One that is full has room again soon; one that lacks the layers does not.
    """
    address, now = facts.fault_address or stream.chain[0].address, now_s()
    if status == 421:
        stream.exclude(address)
        return
    stream.exclude(address, now + REFUSED_S)
    entrystate.note_full(stream.job.state, address, now)


async def _begin(stream, head):
    job = stream.job
    headers = messages.answer_headers(head.headers)
    # A stream that is carried on by another engine may have another length.
    headers = [pair for pair in headers if pair[0] != b"content-length"]
    stream.has_begun = True
    await job.exchange.begin(head.status, headers)


async def _pass_failure(stream, whole):
    """Pass an engine's own failure on, unless it is to be tried once more."""
    job = stream.job
    if stream.has_begun:
        return Failed(f"status {whole.status} in a resumed stream", is_not_run=False)
    failed = attempts.failure_of(whole, job.is_idempotent)
    if failed is not None:
        return failed
    await job.pass_on(whole)
    return None


async def _pass_events(stream, connection):
    """Pass whole events on until the stream's complete end."""
    job = stream.job
    stream.splitter = events.EventSplitter()
    while True:
        data = await connection.read()
        if data is None:
            break
        supervision.progressed(stream, now_s())
        stream.note_read()
        fresh = [e for e in events.split(stream.splitter, data) if _is_new(stream, e)]
        if not fresh:
            continue
        job.note_piece(now_s())
        _note_reached(stream, stream.position())
        await job.exchange.send(b"".join(event.data for event in fresh))
    if stream.splitter.rest:
        raise AnswerBroken("the stream ended inside an event")
    _note_reached(stream, FINISHED)
    await job.exchange.end()


def _note_reached(stream, event):
    stream.stalls.uplink.publish_crashes(
        crashes.record_progress(stream.job, event, now_s())
    )


def _is_new(stream, event):
    """Tell whether the client lacks an event, and take note that it gets it."""
    if event.number is None:
        return True
    if stream.last_event is not None and event.number <= stream.last_event:
        return False
    stream.last_event = event.number
    return True


def _note_refusal(stream, head, facts):
    stream.job.note(
        "engine-refused",
        status=head.status,
        fault_address=facts.fault_address,
        chain=engines.write_chain(stream.chain),
    )


async def _read_rest(connection):
    pieces = []
    while (data := await connection.read()) is not None:
        pieces.append(data)
    return b"".join(pieces)
