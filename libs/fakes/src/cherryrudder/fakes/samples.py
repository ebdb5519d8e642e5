"""What one request of a load run came to, read from its answer."""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from . import fold
from .load_plan import Arrival, Target
from .sse import ServerEvent


class Result(StrEnum):
    """What the caller of one request is left with."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    # The promises forbid these three: a stream that ends without a word, an answer
    # without an outcome, and a text that is not the model's.
    CUT = "cut"
    NO_OUTCOME = "no-outcome"
    WRONG = "wrong"
    # The connection broke or the load tool gave up waiting.
    TRANSPORT = "transport"


class Sample(NamedTuple):
    """One request as its caller saw it; times count from the planned arrival."""

    arrival: Arrival
    result: Result
    status: int = 0
    text: str = ""
    first_token_s: float = 0.0
    token_gaps_s: tuple[float, ...] = ()
    total_s: float = 0.0
    retry_after_s: float = 0.0


def outcome_of(headers) -> Result:
    """Return the outcome that the headers of an answer tell."""
    text = headers.get("cherryrudder-outcome", "")
    known = (Result.DONE, Result.NOT_RUN, Result.UNKNOWN)
    return Result(text) if text in known else Result.NO_OUTCOME


def retry_after_of(headers) -> float:
    """Return the wait that the headers ask for, 0 if they name none."""
    try:
        return float(headers.get("retry-after", "0"))
    except ValueError:
        return 0.0


def text_of(event: ServerEvent) -> str:
    """Return the text that an event of a stream adds."""
    return msgspec.json.decode(event.data)["choices"][0]["text"]


def error_of(event: ServerEvent) -> Result:
    """Return the outcome that the error event of a broken stream tells."""
    outcome = msgspec.json.decode(event.data).get("outcome", "")
    return outcome_of({"cherryrudder-outcome": outcome})


def check(sample: Sample, target: Target) -> Sample:
    """Return the sample as `wrong` if it is done with another text than it should."""
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
