"""The messages between the entry and the stages of one request's pipeline.

An address names the frame listener of a process. `generation` rises by one each time
the entry rebuilds the chain after a lost stage.
"""

from typing import NamedTuple


class Stage(NamedTuple):
    """One endpoint's part of a plan; `end_layer` is exclusive."""

    endpoint: str
    incarnation: str
    address: str
    first_layer: int
    end_layer: int


class Start(NamedTuple):
    """Entry to each stage: the plan. Stage 0 starts the prompt at position 0."""

    request: str
    generation: int
    entry: str
    stages: tuple[Stage, ...]
    stage: int
    model: str
    prompt: tuple[str, ...]
    max_tokens: int
    window: int
    priority: int = 0


class Step(NamedTuple):
    """Stage to next stage (the last one's goes to stage 0 as tokens)."""

    request: str
    generation: int
    position: int
    inputs: tuple[str, ...]


class Token(NamedTuple):
    """Last stage to entry: tokens from `index` on; `last` closes the answer."""

    request: str
    generation: int
    index: int
    tokens: tuple[str, ...]
    last: bool


class Ack(NamedTuple):
    """Entry to last stage: the caller has taken `count` tokens (flow control)."""

    request: str
    count: int


class Resume(NamedTuple):
    """Entry to each stage: adopt a generation and its plan, then answer `Held`."""

    start: Start


class Held(NamedTuple):
    """Stage to entry: it holds `next_position`; stage 0 adds tokens it has seen."""

    request: str
    generation: int
    stage: int
    next_position: int
    tokens: tuple[str, ...] = ()


class Continue(NamedTuple):
    """Entry to stage: send what you kept from `send_from` on.

    Stage 0 also gets `inputs` from `position` on, to run what it has not.
    """

    request: str
    generation: int
    send_from: int
    position: int = 0
    inputs: tuple[str, ...] = ()


class Refused(NamedTuple):
    """Stage to sender: a gap, an old generation, an unknown request or no room."""

    request: str
    generation: int
    stage: int
    code: str
    next_position: int = 0


class Free(NamedTuple):
    """Entry to each stage: drop the request, finished or cancelled."""

    request: str


class StageFailed(NamedTuple):
    """Stage to entry: the engine behind a stage failed, or its next hop is gone."""

    request: str
    generation: int
    stage: int
    message: str


MESSAGES = (
    Start,
    Step,
    Token,
    Ack,
    Resume,
    Held,
    Continue,
    Refused,
    Free,
    StageFailed,
)
