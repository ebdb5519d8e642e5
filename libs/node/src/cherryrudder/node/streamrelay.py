"""Streams through chains of engines, carried on inside one answer when an engine dies.

Three ways to go on, in this order: the first engine carries the request on over another
chain, so that only the new parts read it again; another chain goes on behind the last
event that the client has; a request without any event yet is sent once more.
"""

import math

from cherryrudder.layers.chains import Chain
from cherryrudder.platform import engines, messages
from cherryrudder.relay import events, pool
from cherryrudder.relay.client import EngineConnection
from cherryrudder.relay.errors import AnswerBroken, AnswerLate, ConnectFailed
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import hangs
from cherryrudder.routing.gatekeeping import Refused

from . import attempts, entrystate, streamchains, supervision
from .job import Failed, Job, Whole
from .streamchains import NO_CHAIN, NO_ROOM
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
}


class Stream:
    """A stream on its way from engines to its client."""

    def __init__(self, job: Job, watch: Watch):
        self.job = job
        self.watch = watch
        self.stalls = watch.stalls
        self.tokens = expected_tokens(job)
        self.chain: Chain = ()
        # The chain's engines are counted as having this stream.
        self.is_counted = False
        self.splitter = events.EventSplitter()
        # Number of the last event that was passed on, None before the first.
        self.last_event: int | None = None
        self.has_begun = False
        # First engines of the attempts that may have run.
        self.ran_at: list[str] = []
        # The chain that has yet to read the prompt, for all that is known.
        self.unread_chain: Chain = ()
        # The connection of the present attempt.
        self.connection: EngineConnection | None = None
        self.progressed_s = now_s()
        # The usual pause between pieces, and what it should be over this chain.
        self.pause_s = 0.0
        self.expected_pause_s = 0.0
        # When it is to be moved away from engines that leave; 0 while none does.
        self.moves_s = 0.0
        # When this entry last complained of the chain's pace.
        self.complained_s = float("-inf")
        self.silence_s = supervision.FIRST_SILENCE_S
        self.is_looked_at = False
        # Why there was no chain, and when there may be one.
        self.refusal = ""
        self.retry_after_s = 0.0
        # Why the watch broke the present attempt off, and whether for want of time.
        self.broken = ""
        self.is_late = False
        # The present attempt's engine has begun it, or refused it.
        self.has_head = False
        # When that engine began it, None before.
        self.head_s: float | None = None
        # Until when this request is not to meet an engine, by address.
        self._excluded_until_s: dict[str, float] = {}

    def note_sent(self) -> None:
        """Count the prompt as on its way through the chain."""
        self.unread_chain = self.chain
        tokens = self.job.facts.prompt_tokens
        entrystate.prompt_sent(self.job.state, self.unread_chain, tokens)

    def note_read(self) -> None:
        """Count the prompt as read, if it isn't yet."""
        chain, self.unread_chain = self.unread_chain, ()
        entrystate.prompt_read(self.job.state, chain, self.job.facts.prompt_tokens)

    def exclude(self, address: str, until_s: float = math.inf) -> None:
        """Keep the request away from an engine, for good unless a time is given."""
        known_s = self._excluded_until_s.get(address, 0.0)
        self._excluded_until_s[address] = max(known_s, until_s)

    def excluded(self, now: float) -> set[str]:
        """Return the addresses of the engines that the request is not to meet."""
        until_s = self._excluded_until_s
        return {address for address in until_s if now < until_s[address]}

    def break_off(self, why: str) -> None:
        """End the present attempt; its reader finds the connection closed."""
        self.broken = why
        if self.connection is not None:
            self.connection.close()


def expected_tokens(job: Job) -> int:
    """Return the room that a request will take: its prompt and a likely answer."""
    facts, model = job.facts, job.service.model
    answer = facts.guessed_answer_tokens or model.usual_answer_tokens
    if facts.max_answer_tokens:
        answer = min(answer, facts.max_answer_tokens)
    return math.ceil(facts.prompt_tokens + answer)


async def serve(job: Job, watch: Watch) -> None:
    """See a stream to its end."""
    stream = Stream(job, watch)
    failed = Failed(NO_CHAIN, is_not_run=True, is_sent=False)
    has_run = False
    while True:
        chain = await streamchains.wait_for_chain(stream)
        if chain is None:
            failed = failed._replace(reason=stream.refusal or failed.reason)
            break
        result = await _attempt(stream)
        if result is None:
            return
        if not result.is_not_run:
            stream.ran_at.append(chain[0].engine_id)
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
        connection = await attempts.open_for(job, first.address)
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
        if not stream.broken:
            # All streams of an engine that crashes break at the same moment. Each would
            # go straight back to it, and spend its last attempt on a reset connection.
            supervision.lose_first(stream, str(error), is_unreached=False)
            _note_break(stream, error)
        reason = stream.broken or str(error)
        return Failed(reason, is_not_run=False, is_late=stream.is_late)
    finally:
        stream.connection = None
        stream.note_read()
        hangs.ended(job.state.hangs, first.engine_id, job.facts.request_id)
        stream.watch.streams.discard(stream)
        if is_kept:
            pool.give_back(job.state.pool, connection, now_s())
        else:
            connection.close()


def _note_sent(stream):
    job, now = stream.job, now_s()
    stream.note_sent()
    hangs.sent(
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
    hangs.begun(job.state.hangs, engine_id, request_id, now)
    stream.has_head = True
    stream.head_s = now


def _note_break(stream, error):
    """Log how far a run had come when its engine broke it off."""
    head_s = stream.head_s
    stream.job.note(
        "run-broken",
        True,
        fingerprint=stream.job.fingerprint,
        engine_id=stream.chain[0].engine_id,
        run_s=None if head_s is None else round(now_s() - head_s, 3),
        last_event=stream.last_event,
        reason=str(error),
    )


def _watch(stream, connection):
    stream.connection = connection
    stream.broken = ""
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
    head, facts = await attempts.read_own_head(job, connection, job.left_s())
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
        await job.exchange.send(b"".join(event.data for event in fresh))
    if stream.splitter.rest:
        raise AnswerBroken("the stream ended inside an event")
    await job.exchange.end()


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
