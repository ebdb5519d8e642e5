"""Messages between the entry and the stages of one request's pipeline.

An address is that of a process's frame listener. `generation` rises by one with each
resume, that is each time the entry changes the plan or restarts a stalled chain.
"""

from typing import NamedTuple

GAP = "gap"
OLD_GENERATION = "old generation"
NO_ROOM = "no room"
# Value of `Refused.stage` when the entry refuses, as the entry is not a stage.
ENTRY_STAGE = -1


class Stage(NamedTuple):
    """An endpoint and its layer range in a plan; `end_layer` is exclusive."""

    endpoint: str
    incarnation: str
    address: str
    first_layer: int
    end_layer: int


class Start(NamedTuple):
    """Entry to each stage: the plan. Stage 0 runs the prompt from position 0."""

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
    """Stage to next stage: outputs. The last stage sends tokens to stage 0."""

    request: str
    generation: int
    position: int
    inputs: tuple[str, ...]


class Token(NamedTuple):
    """Last stage to entry: tokens from `index` on; `last` ends the answer."""

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
    """Entry to each stage: adopt a new generation and plan, then send `ResumeReply`.

    With `awaits_kv` a new stage first waits for the KV of the stage that it replaces.
    """

    start: Start
    awaits_kv: bool = False


class ResumeReply(NamedTuple):
    """Stage to entry: the next position to compute, and for stage 0 received tokens.

    `running` marks a first reply while the engine computes; the final one follows.
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
    """Entry to stage: send the kept outputs from position `send_from` on.

    Stage 0 also receives the `inputs` from `position` on that it has not run.
    """

    request: str
    generation: int
    send_from: int
    position: int = 0
    inputs: tuple[str, ...] = ()


class Refused(NamedTuple):
    """Receiver to sender: a gap, an old generation or no room (see the codes above).

    `stage` is the index of the refusing stage, `next_position` the input it expects.
    """

    request: str
    generation: int
    stage: int
    code: str
    next_position: int = 0


class HandOver(NamedTuple):
    """Entry to a stopping stage: export the KV and send it to the replacement."""

    request: str
    generation: int
    address: str


class KvTransfer(NamedTuple):
    """Stopping stage to its replacement: the KV, empty if there is none.

    `kv` is the engine's export as JSON text. The kept outputs are included, so that
    the replacement can rebuild the next stage, and for stage 0 the inputs.
    """

    request: str
    generation: int
    kept_from: int
    outputs: tuple[str, ...]
    inputs: tuple[str, ...]
    kv: str


class Free(NamedTuple):
    """Entry to each stage: drop the request, which is finished or cancelled."""

    request: str


class StageFailed(NamedTuple):
    """Stage to entry: the engine behind `stage` failed.

    With `link_only` a neighbour reports that its link to `stage` broke; the stage
    itself may still work.
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
