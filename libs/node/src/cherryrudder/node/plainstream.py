"""Relay streams of plain services event by event, and resume them elsewhere.

An answer is held back until its first event, so that another endpoint's can replace
it. From then on each event goes on as it comes. If the stream breaks off, one of a
resumable route goes on elsewhere after the last event that its client has.
"""

import math

from cherryrudder.platform import messages
from cherryrudder.relay import events
from cherryrudder.relay.client import EngineConnection, Head
from cherryrudder.relay.errors import AnswerBroken
from cherryrudder.replica.clock import now_s
from cherryrudder.routing.configuration import RouteKind

from .job import Job

EVENT_STREAM = b"text/event-stream"
# Part of the time that a client waits for an event after which an endpoint is given up
# for another, which still has time to send one.
SILENCE_SHARE = 0.5


class EventRelay:
    """The events of one answer, over all its attempts."""

    def __init__(self, job: Job):
        self.job = job
        # Number of the last event that the client got, None before the first.
        self.last_event: int | None = None
        # No other endpoint can tell what follows an event without a number.
        self.has_unnumbered = False
        # Bytes of an incomplete event that are counted as held.
        self.held_bytes = 0

    @property
    def may_resume(self) -> bool:
        """Return whether another endpoint can go on with what has begun."""
        has_place = self.last_event is not None and not self.has_unnumbered
        return self.job.is_idempotent and has_place

    @property
    def resumed_after(self) -> str:
        """Return the id after which an endpoint is to go on, empty for the start."""
        return "" if self.last_event is None else str(self.last_event)


def is_event_stream(job: Job, head: Head) -> bool:
    """Return whether an answer is a stream of events; its type may be missing."""
    if job.route.kind is not RouteKind.STREAM or head.status != 200:
        return False
    kind = dict(head.headers).get(b"content-type", EVENT_STREAM)
    return kind.partition(b";")[0].strip().lower() == EVENT_STREAM


async def relay(
    stream: EventRelay, connection: EngineConnection, head: Head, timeout_s: float
) -> None:
    """Relay whole events until the stream's complete end.

    `timeout_s` limits the wait for the first event. Raises AnswerBroken, AnswerLate.
    """
    job, splitter = stream.job, events.EventSplitter()
    is_resumed = stream.last_event is not None
    while True:
        silence_s = _silence_s(stream) if job.exchange.has_begun else timeout_s
        data = await connection.read_in_time(min(silence_s, job.left_s()))
        if data is None:
            break
        received = events.split(splitter, data)
        _hold_rest(stream, len(splitter.rest))
        fresh = [event for event in received if _is_new(stream, event, is_resumed)]
        if not fresh:
            continue
        await _begin(job, head)
        job.record_chunk(now_s())
        await job.exchange.send(b"".join(event.data for event in fresh))
    if splitter.rest:
        raise AnswerBroken("the stream ended inside an event")


async def end(job: Job, head: Head) -> None:
    """End an answer whose engine has ended it completely."""
    await _begin(job, head)
    await job.exchange.end()


async def _begin(job, head):
    if job.exchange.has_begun:
        return
    job.outcome = f"status {head.status}"
    headers = messages.answer_headers(head.headers)
    # A stream that is resumed at another endpoint may have another length.
    headers = [pair for pair in headers if pair[0] != b"content-length"]
    await job.exchange.begin(head.status, headers)
    job.exchange.connection.is_patient = True


def _hold_rest(stream, size):
    """Count an incomplete event as held for the client; raises AnswerBroken."""
    if size > stream.held_bytes:
        if not stream.job.exchange.hold(size - stream.held_bytes):
            raise AnswerBroken("no room for an event")
        stream.held_bytes = size


def _is_new(stream, event, is_resumed):
    """Return whether the client lacks an event, and record that it gets it."""
    if event.number is None:
        stream.has_unnumbered = True
        return True
    last = -math.inf if stream.last_event is None else stream.last_event
    if is_resumed and event.number <= last:
        return False
    stream.last_event = max(last, event.number)
    return True


def _silence_s(stream):
    """Return how long an endpoint whose answer has begun may send nothing."""
    job = stream.job
    if not stream.may_resume or job.attempts >= job.route.max_attempts:
        return job.left_s()
    return SILENCE_SHARE * job.client_timeout_s()
