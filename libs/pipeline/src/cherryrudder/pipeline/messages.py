"""The messages between the entry and the stages of one request's pipeline.

An address names the frame listener of a process. `generation` rises by one each time
the entry rebuilds the chain after a lost stage.
"""

from typing import NamedTuple

GAP = "gap"
OLD_GENERATION = "old generation"
NO_ROOM = "no room"
# The entry is no stage; `Refused.stage` needs a number for it all the same.
ENTRY_STAGE = -1


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
    """Entry to each stage: adopt a generation and its plan, then answer `Held`.

    With `awaits_kv` a new stage first waits for the KV of the one it relieves.
    """

    start: Start
    awaits_kv: bool = False


class ResumeReply(NamedTuple):
    """Stage to entry: it holds `next_position`; stage 0 adds tokens it has seen.

    `running` marks a first answer while the engine computes; the final one follows.
    The stage can send its outputs again from position `kept_from` on.
    """

    request: str
    generation: int
    stage: int
    next_position: int
    tokens: tuple[str, ...] = ()
    running: bool = False
    kept_from: int = 0


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
    """Receiver to sender: a gap, an old generation or no room (see the codes above).

    `stage` is the one that refuses, `next_position` the input it waits for.
    """

    request: str
    generation: int
    stage: int
    code: str
    next_position: int = 0


class HandOver(NamedTuple):
    """Entry to a stage that is to stop: export the KV to the stage that relieves it."""

    request: str
    generation: int
    address: str


class KvTransfer(NamedTuple):
    """Stage that stops to the one that relieves it; an empty `kv` says there is none.

    `kv` is the engine's export as JSON text. The kept outputs go along, so that the
    new stage can serve a successor's rebuild, and stage 0's inputs.
    """

    request: str
    generation: int
    kept_from: int
    outputs: tuple[str, ...]
    inputs: tuple[str, ...]
    kv: str


class Free(NamedTuple):
    """Entry to each stage: drop the request, finished or cancelled."""

    request: str


class StageFailed(NamedTuple):
    """Stage to entry: the engine behind `stage` failed.

    With `link_only` a neighbour reports that its link to `stage` broke; the stage
    itself may be well.
    """

    request: str
    generation: int
    stage: int
    message: str
    link_only: bool = False


MESSAGES = (
    Start,
    Step,
    Token,
    Ack,
    Resume,
    ResumeReply,
    Continue,
    Refused,
    Free,
    StageFailed,
    HandOver,
    KvTransfer,
)
