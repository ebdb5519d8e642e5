"""Send the requests of a load run and record the answers."""

import itertools

import anyio
import httpx
import msgspec

from .load_plan import Arrival, Target
from .samples import (
    Result,
    Sample,
    error_of,
    outcome_of,
    retry_after_of,
    text_of,
)
from .sse import EventParser, feed

STREAM_END = "[DONE]"
# Errors that the HTTP and JSON libraries raise for a broken or missing answer.
ANSWER_ERRORS = (httpx.HTTPError, httpx.StreamError, msgspec.DecodeError, LookupError)


class Run:
    """State of a load run: its target and the samples so far."""

    def __init__(self, client: httpx.AsyncClient, target: Target, run_id: str):
        self.client = client
        self.target = target
        self.entries = itertools.cycle(target.entries)
        self.run_id = run_id
        self.start_s = 0.0
        self.late_start_s = 0.0
        self.samples = []


async def run_load(run: Run, arrivals: list[Arrival]):
    """Send each request at its planned time and wait for the last answer."""
    run.start_s = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        for arrival in arrivals:
            planned_s = run.start_s + arrival.at_s
            await anyio.sleep_until(planned_s)
            late_s = anyio.current_time() - planned_s
            run.late_start_s = max(run.late_start_s, late_s)
            tasks.start_soon(send, run, arrival)


async def send(run: Run, arrival: Arrival):
    """Send one request and record its sample."""
    streams = run.target.stream and not run.target.service
    try:
        sample = await (send_stream if streams else send_whole)(run, arrival)
    except ANSWER_ERRORS:
        sample = Sample(arrival, Result.TRANSPORT)
    run.samples.append(sample._replace(total_s=elapsed_s(run, arrival)))


async def send_whole(run: Run, arrival: Arrival) -> Sample:
    """Send a request whose answer is not streamed."""
    answer = await run.client.send(request_of(run, arrival))
    sample = refusal_or_none(arrival, answer)
    if sample is not None:
        return sample
    value = answer.json()
    text = value["text"] if run.target.service else value["choices"][0]["text"]
    first_s = elapsed_s(run, arrival)
    result = outcome_of(answer.headers)
    return Sample(arrival, result, answer.status_code, text, first_s)


async def send_stream(run: Run, arrival: Arrival) -> Sample:
    """Send a request whose answer is streamed token by token."""
    answer = await run.client.send(request_of(run, arrival), stream=True)
    try:
        sample = refusal_or_none(arrival, answer)
        if sample is not None:
            return sample
        return await read_stream(run, arrival, answer)
    finally:
        await answer.aclose()


async def read_stream(run: Run, arrival: Arrival, answer) -> Sample:
    """Read a stream until it ends, reports an error or breaks off."""
    parser, texts, times_s = EventParser(), [], []
    result = Result.CUT
    try:
        async for line in answer.aiter_lines():
            event = feed(parser, line)
            if event is None:
                continue
            if event.data == STREAM_END:
                result = Result.DONE
                break
            if event.kind == "error":
                result = error_of(event)
                break
            text = text_of(event)
            # The last event has the finish reason and no token.
            if text:
                texts.append(text)
                times_s.append(elapsed_s(run, arrival))
    except httpx.HTTPError:
        # The connection broke during the stream without an error event: also a cut.
        pass
    gaps_s = tuple(later - sooner for sooner, later in itertools.pairwise(times_s))
    first_s = times_s[0] if times_s else 0.0
    text = "".join(texts)
    return Sample(arrival, result, answer.status_code, text, first_s, gaps_s)


def request_of(run: Run, arrival: Arrival) -> httpx.Request:
    """Return the HTTP request of an arrival, for the next entry in turn."""
    target = run.target
    headers = {"Authorization": f"Bearer {arrival.customer.key}"}
    if target.deadline_s:
        headers["X-Request-Deadline-Ms"] = str(round(target.deadline_s * 1000))
    if target.service:
        headers["Idempotency-Key"] = f"{run.run_id}-{arrival.number}"
        path, body = f"/services/{target.service}/filings", {"text": arrival.prompt}
    else:
        path, body = "/v1/completions", completion_of(target, arrival)
    url = next(run.entries) + path
    return run.client.build_request("POST", url, json=body, headers=headers)


def completion_of(target: Target, arrival: Arrival) -> dict:
    """Return the body of a completion request."""
    return {
        "model": target.model,
        "prompt": arrival.prompt,
        "max_tokens": arrival.max_tokens,
        "stream": target.stream,
        "priority": arrival.customer.priority,
    }


def refusal_or_none(arrival: Arrival, answer) -> Sample | None:
    """Return the sample of an answer other than 200, or None for 200."""
    if answer.status_code == httpx.codes.OK:
        return None
    return Sample(
        arrival,
        outcome_of(answer.headers),
        answer.status_code,
        retry_after_s=retry_after_of(answer.headers),
    )


def elapsed_s(run: Run, arrival: Arrival) -> float:
    """Return the time since the planned arrival.

    Measuring from the time of sending would omit the delay of a tool that has fallen
    behind its plan, and make an overloaded system look fast.
    """
    return anyio.current_time() - run.start_s - arrival.at_s
