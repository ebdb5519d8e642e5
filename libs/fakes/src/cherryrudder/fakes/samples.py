"""Results of the requests of a load run, read from their answers."""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from . import fold
from .load_plan import Arrival, Target
from .sse import ServerEvent


class Result(StrEnum):
    """Result of a request for its caller."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    # The guarantees forbid these three: a stream that ends without an end or error
    # event, an answer without an outcome, and a text that the model does not generate.
    CUT = "cut"
    NO_OUTCOME = "no-outcome"
    WRONG = "wrong"
    # The connection broke or the load tool's timeout expired.
    TRANSPORT = "transport"


class Sample(NamedTuple):
    """A request as its caller saw it; times are since the planned arrival."""

    arrival: Arrival
    result: Result
    status: int = 0
    text: str = ""
    first_token_s: float = 0.0
    token_gaps_s: tuple[float, ...] = ()
    total_s: float = 0.0
    retry_after_s: float = 0.0


def outcome_of(headers) -> Result:
    """Return the outcome in the headers of an answer."""
    text = headers.get("cherryrudder-outcome", "")
    known = (Result.DONE, Result.NOT_RUN, Result.UNKNOWN)
    return Result(text) if text in known else Result.NO_OUTCOME


def retry_after_of(headers) -> float:
    """Return the Retry-After time of an answer in seconds, 0 if it has none."""
    try:
        return float(headers.get("retry-after", "0"))
    except ValueError:
        return 0.0


def text_of(event: ServerEvent) -> str:
    """Return the text in an event of a stream."""
    return msgspec.json.decode(event.data)["choices"][0]["text"]


def error_of(event: ServerEvent) -> Result:
    """Return the outcome in the error event of a broken stream."""
    outcome = msgspec.json.decode(event.data).get("outcome", "")
    return outcome_of({"cherryrudder-outcome": outcome})


def check(sample: Sample, target: Target) -> Sample:
    """Return the sample, with result `wrong` if its text is not the expected one."""
    if sample.result != Result.DONE:
        return sample
    arrival = sample.arrival
    expected = arrival.prompt.split()
    if not target.service:
        expected = fold.generate(
            target.model, target.model_layers, arrival.prompt, arrival.max_tokens
        )
    if sample.text.split() == expected:
        return sample
    return sample._replace(result=Result.WRONG)
