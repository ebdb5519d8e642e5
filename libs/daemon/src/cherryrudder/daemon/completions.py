"""`POST /v1/completions`: one request through a chain of engines."""

from collections.abc import AsyncIterator
from functools import partial
from typing import NamedTuple

import anyio
from loguru import logger

from cherryrudder.model import jsoncodec
from cherryrudder.model.errors import RequestError
from cherryrudder.model.outcomes import Outcome
from cherryrudder.pipeline.messages import Start
from cherryrudder.pipeline.plan import stage_of
from cherryrudder.policy.admission import Offer
from cherryrudder.policy.dispatch import Work
from cherryrudder.wire.asgi import Request, StreamReply, json_reply

from .callers import OUTCOME_HEADER, Caller, failure_reply, identify, refusal_reply
from .clock import new_id, now_s
from .dataplane import PipelineBroken
from .requestdispatch import RequestRefused

# Tokens that a chain may be ahead of its caller. Some seconds at 33 ms a token keep the
# accelerators busy through a brief stall of the caller's network.
WINDOW_TOKENS = 64
# Prompts with the same first tokens can share an engine's cached prefix. This many
# tokens distinguish a customer's templates.
PREFIX_TOKENS = 16
DONE_EVENT = b"data: [DONE]\n\n"

log = logger.bind(part="completions")


class Completion(NamedTuple):
    """The body of a completion request."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False
    priority: int = 0


class DeadlinePassed(Exception):
    """The caller's deadline passed before the answer was complete."""


class CallerGone(Exception):
    """The caller closed its connection before the answer."""


class Completions:
    """Handles the completion requests of one entry."""

    def __init__(self, entry):
        self.entry = entry
        self.metrics = entry.process.metrics
        self.in_flight = 0

    async def handle(self, request: Request):
        """Answer one request, as one reply or as a stream of events."""
        arrived_s = now_s()
        caller = identify(request, self.entry.contracts, arrived_s)
        body = await request.json(Completion)
        check(body, caller)
        if self.entry.is_closed:
            return refusal_reply(self.entry.closed_refusal())
        self.in_flight += 1
        flow, is_streamed = None, False
        try:
            flow = await self._start(request, body, caller)
            chunks = self._tokens(flow, caller, arrived_s)
            if not body.stream:
                whole = self._whole(flow, body, chunks)
                return await _while_connected(request, whole)
            is_streamed = True
            events = self._events(flow, body, chunks)
            return StreamReply(events, partial(self._end, flow), _stream_headers())
        except RequestRefused as error:
            return refusal_reply(error.refusal)
        except CallerGone:
            # Only a request that was not placed yet has certainly not run.
            outcome = Outcome.NOT_RUN if flow is None else Outcome.UNKNOWN
            return failure_reply(400, "disconnected", "the caller went away", outcome)
        finally:
            if not is_streamed:
                self._end(flow)

    def _end(self, flow):
        """End a request; frees its engines if it is still running."""
        if flow is not None:
            self.entry.plane.cancel(flow)
        self.in_flight -= 1

    async def _start(self, request, body, caller):
        prompt = tuple(body.prompt.split())
        offer = Offer(
            request_id=new_id(),
            customer=caller.contract.customer,
            model=body.model,
            prompt_tokens=len(prompt),
            max_tokens=body.max_tokens,
            priority=body.priority,
            deadline_s=caller.deadline_s,
        )
        work = Work(offer, prefix=" ".join(prompt[:PREFIX_TOKENS]))
        sent = await _while_connected(request, self.entry.requests.submit(work))
        began_s = now_s()
        start = Start(
            request=offer.request_id,
            generation=1,
            entry=self.entry.process.settings.listen.frames,
            stages=tuple(stage_of(stage) for stage in sent.stages),
            stage=0,
            model=body.model,
            prompt=prompt,
            max_tokens=min(body.max_tokens, caller.contract.max_tokens),
            window=WINDOW_TOKENS,
            priority=body.priority,
        )

        def ended(core):
            self.metrics.incr("tokens", len(core.tokens))
            used_tokens = len(prompt) + len(core.tokens)
            if len(core.tokens) == start.max_tokens:
                took_s = now_s() - began_s
                self.entry.requests.finish(offer.request_id, used_tokens, took_s)
            else:
                self.entry.requests.cancel(offer.request_id, used_tokens)

        def find_stage(need):
            return self.entry.requests.replace_stage(offer.request_id, need)

        return self.entry.plane.begin(start, find_stage, ended)

    async def _tokens(self, flow, caller, arrived_s) -> AsyncIterator[list[str]]:
        """Yield tokens until the end; raises DeadlinePassed, PipelineBroken."""
        tokens = self.entry.plane.tokens(flow)
        is_first = True
        while True:
            with anyio.move_on_after(caller.deadline_s - now_s()) as scope:
                try:
                    chunk = await anext(tokens)
                except StopAsyncIteration:
                    return
            if scope.cancelled_caught:
                raise DeadlinePassed
            if is_first:
                self.metrics.timing("first_token", (now_s() - arrived_s) * 1000)
                is_first = False
            yield chunk

    async def _whole(self, flow, body, chunks):
        tokens = []
        try:
            async for chunk in chunks:
                tokens += chunk
        except DeadlinePassed:
            return failure_reply(
                504, "deadline", "the deadline has passed", Outcome.UNKNOWN
            )
        except PipelineBroken as error:
            return failure_reply(502, "pipeline-broken", str(error), Outcome.UNKNOWN)
        finally:
            await chunks.aclose()
        choice = {"text": " ".join(tokens), "index": 0, "finish_reason": "length"}
        count = len(flow.core.start.prompt)
        usage = {
            "prompt_tokens": count,
            "completion_tokens": len(tokens),
            "total_tokens": count + len(tokens),
        }
        answer = {
            "id": flow.core.start.request,
            "object": "text_completion",
            "model": body.model,
            "choices": [choice],
            "usage": usage,
        }
        return json_reply(answer, headers=((OUTCOME_HEADER, Outcome.DONE),))

    async def _events(self, flow, body, chunks):
        request_id = flow.core.start.request
        is_first = True
        try:
            async for chunk in chunks:
                text = " ".join(chunk) if is_first else " " + " ".join(chunk)
                is_first = False
                yield _event(request_id, body.model, text, None)
            # A stream reports its outcome at its end, since its headers are sent before
            # the outcome is known.
            self.metrics.incr(f"outcome.{Outcome.DONE}")
            yield _event(request_id, body.model, "", "length", Outcome.DONE)
            yield DONE_EVENT
        except DeadlinePassed:
            yield self._broken("deadline", "the deadline has passed")
        except PipelineBroken as error:
            # A truncated stream must not look like a complete one.
            yield self._broken("pipeline-broken", str(error))
        finally:
            await chunks.aclose()

    def _broken(self, code, message):
        self.metrics.incr(f"outcome.{Outcome.UNKNOWN}")
        self.metrics.incr(f"failed.{code}")
        return _error_event(code, message)


def check(body: Completion, caller: Caller) -> None:
    """Check a request against the caller's contract; raises RequestError."""
    contract = caller.contract
    if body.model not in contract.models:
        message = f"the contract has no model {body.model!r}"
        raise RequestError(404, "unknown-model", message, "model")
    if not body.prompt.strip():
        raise RequestError(400, "bad-field", "the prompt is empty", "prompt")
    if not 0 < body.max_tokens <= contract.max_tokens:
        message = f"not between 1 and {contract.max_tokens}"
        raise RequestError(400, "bad-field", message, "max_tokens")
    if not 0 <= body.priority < contract.priorities:
        message = f"not between 0 and {contract.priorities - 1}"
        raise RequestError(400, "bad-field", message, "priority")


async def _while_connected(request, working):
    """Return the result of the work; cancels it when the caller disconnects."""
    result = []
    failure = []

    async def work():
        try:
            result.append(await working)
        except RequestRefused as error:
            failure.append(error)
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(work)
        await request.wait_disconnected()
        group.cancel_scope.cancel()
    if failure:
        raise failure[0]
    if not result:
        raise CallerGone
    return result[0]


def _stream_headers():
    return (
        ("content-type", "text/event-stream"),
        ("cache-control", "no-store"),
    )


def _event(request_id, model, text, finish_reason, outcome=None):
    choice = {"text": text, "index": 0, "finish_reason": finish_reason}
    value = {"id": request_id, "object": "text_completion", "model": model}
    value["choices"] = [choice]
    if outcome is not None:
        value["outcome"] = outcome
    return b"data: " + jsoncodec.encode(value) + b"\n\n"


def _error_event(code, message):
    value = {"error": {"code": code, "message": message}, "outcome": Outcome.UNKNOWN}
    return b"event: error\ndata: " + jsoncodec.encode(value) + b"\n\n"
