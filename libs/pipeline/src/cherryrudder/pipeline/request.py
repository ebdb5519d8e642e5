"""The entry's state machine for one request over a chain of pipeline stages.

The entry stores the request's prompt, tokens, plan and generation. Activations are
sent from stage to stage and never pass through it. After a stage is lost, the entry
queries the progress of every stage and sends each the position to continue from, so
that only the lost range of layers is recomputed.
"""

from enum import StrEnum
from typing import NamedTuple

from cherryrudder.pipeline import resume
from cherryrudder.pipeline.effects import (
    Deliver,
    Fail,
    Finished,
    NeedStage,
    SendTo,
)
from cherryrudder.pipeline.messages import (
    ENTRY_STAGE,
    GAP,
    NO_ROOM,
    Ack,
    Free,
    HandOver,
    Refused,
    Resume,
    ResumeReply,
    Stage,
    StageFailed,
    Start,
    Token,
)
from cherryrudder.pipeline.plan import LayerRange, fill_missing, overlaps_any


class Timing(NamedTuple):
    """Timeouts after which the entry considers a stage lost."""

    # Time without an expected token before all stages are queried. Well above one
    # step of a loaded chain (about 0.1 s), and still the smaller part of a recovery,
    # which also has to find a stage and rebuild its KV.
    stall_timeout_s: float = 2.0
    # A live sidecar answers `Resume` from memory. This allows for two round trips and
    # a retransmit between regions.
    resume_timeout_s: float = 1.0
    # Longest compute of one step: a long prompt on a slow accelerator.
    compute_timeout_s: float = 30.0
    # An endpoint found later than this would be too late for the caller.
    replace_timeout_s: float = 30.0


# Each loss or stall starts a new generation. A request that needs more than this has
# an unstable chain, and an explicit failure serves the caller better.
MAX_GENERATIONS = 32
# Resume rounds in a row without a new token. A replay after two losses takes three.
MAX_IDLE_ROUNDS = 8


class Phase(StrEnum):
    """What the entry is waiting for."""

    RUNNING = "running"
    RESUMING = "asking"
    REPLACING = "replacing"
    ENDED = "ended"


class RequestCore:
    """State of a request at its entry; `start` is the message for stage 0."""

    def __init__(self, start: Start, timing: Timing | None = None):
        self.start = start
        self.timing = timing or Timing()
        self.phase = Phase.RUNNING
        self.stages = list(start.stages)
        # The plan of the current generation. Messages identify stages by their index
        # in it, also while one of them is being replaced.
        self.plan = start.stages
        self.generation = start.generation
        self.tokens = []
        self.consumed = 0
        self.missing_ranges: list[LayerRange] = []
        self.excluded: list[str] = []
        # Planned stop: the stage that needs a replacement, and the replaced stage
        # that still has to transfer its KV.
        self.leaving: Stage | None = None
        self.replaced: Stage | None = None
        self.replies: dict[int, ResumeReply] = {}
        self.idle_rounds = 0
        self.lagging: resume.LaggingStage | None = None
        # Start of the current wait, in any phase.
        self.waiting_since_s = 0.0


def begin(core: RequestCore, now_s: float) -> list:
    """Send the plan to each stage; stage 0 starts the prompt."""
    core.waiting_since_s = now_s
    if not core.start.prompt or core.start.max_tokens < 1:
        return _fail(core, "a request needs a prompt and max_tokens of at least 1")
    # Stage 0 comes last, so the others usually have the plan before its first step.
    return [
        SendTo(stage.address, _start_for(core, index))
        for index, stage in reversed(list(enumerate(core.stages)))
    ]


def receive(core: RequestCore, message, now_s: float) -> list:
    """Handle a message from a stage and return the effects."""
    handler = HANDLERS.get(type(message))
    if core.phase == Phase.ENDED or handler is None:
        return []
    if message.generation != core.generation:
        # A stage that was frozen or partitioned still sends messages of an old
        # generation. Its tokens may differ from those of its replacement.
        return []
    return handler(core, message, now_s)


def record_consumed(core: RequestCore, count: int, now_s: float) -> list:
    """Record that the caller has taken `count` tokens in total."""
    if core.phase == Phase.ENDED or count <= core.consumed:
        return []
    if core.phase == Phase.RUNNING:
        core.waiting_since_s = now_s
    core.consumed = count
    return _ack(core)


def stage_lost(core: RequestCore, name: str, now_s: float) -> list:
    """Remove the stage with an endpoint name or address and request another."""
    if core.phase == Phase.ENDED:
        return []
    lost = [s for s in core.stages if name in (s.endpoint, s.address)]
    return _remove_stages(core, lost, now_s)


def stage_leaving(core: RequestCore, name: str, now_s: float) -> list:
    """Request a replacement for a stage that is going to stop.

    The stage keeps working until it is replaced. Answer the returned `NeedStage`
    before any other event; without an answer the stage works to the request's end.
    Nothing is requested while a resume is in progress; call again later.
    """
    if core.phase != Phase.RUNNING or core.leaving:
        return []
    for stage in core.stages:
        if name in (stage.endpoint, stage.address):
            core.leaving = stage
            exclude = (*core.excluded, stage.endpoint)
            return [NeedStage(stage.first_layer, stage.end_layer, exclude)]
    return []


def replace(core: RequestCore, stage: Stage, now_s: float) -> list:
    """Add a stage for a missing range; it may hold only the first part of it."""
    if core.phase == Phase.RUNNING and core.leaving:
        return _hand_over(core, stage, now_s)
    if core.phase != Phase.REPLACING:
        return []
    if not overlaps_any(core.missing_ranges, stage):
        # A late answer to a `NeedStage` that no longer applies.
        return []
    left = fill_missing(core.missing_ranges, stage)
    if left.is_error():
        return _fail(core, str(left.error))
    is_partial = len(left.ok) == len(core.missing_ranges)
    core.missing_ranges = left.ok
    core.stages.append(stage)
    core.stages.sort(key=lambda s: s.first_layer)
    core.waiting_since_s = now_s
    if is_partial:
        return [_stage_need(core, core.missing_ranges[0])]
    return [] if core.missing_ranges else _start_resume(core, now_s)


def needs(core: RequestCore) -> list[NeedStage]:
    """Return the ranges still missing, for a daemon that retries its search."""
    return [_stage_need(core, missing) for missing in core.missing_ranges]


def no_stage(core: RequestCore, now_s: float) -> list:
    """Fail the request because no endpoint can take the lost range.

    A stopping stage without a replacement keeps working to the request's end.
    """
    core.leaving = None
    if core.phase != Phase.REPLACING:
        return []
    missing = core.missing_ranges[0]
    return _fail(
        core, f"no endpoint for layers {missing.first_layer} to {missing.end_layer}"
    )


def cancel(core: RequestCore, now_s: float) -> list:
    """End the request and free every stage because the caller disconnected."""
    if core.phase == Phase.ENDED:
        return []
    return _end(core)


def tick(core: RequestCore, now_s: float) -> list:
    """Check the timeouts; call it a few times a second."""
    waited_s = now_s - core.waiting_since_s
    if core.phase == Phase.RUNNING and resume.expects_token(core):
        return (
            _start_resume(core, now_s)
            if waited_s >= core.timing.stall_timeout_s
            else []
        )
    if core.phase == Phase.RESUMING:
        unresponsive = [
            s for i, s in enumerate(core.plan) if _is_unresponsive(core, i, waited_s)
        ]
        return _remove_stages(core, unresponsive, now_s)
    if core.phase == Phase.REPLACING and waited_s >= core.timing.replace_timeout_s:
        return no_stage(core, now_s)
    return []


def _is_unresponsive(core, index, waited_s):
    reply = core.replies.get(index)
    if reply is None:
        return waited_s >= core.timing.resume_timeout_s
    return reply.running and waited_s >= core.timing.compute_timeout_s


def _token(core, token, now_s):
    if token.index > len(core.tokens):
        position = len(core.start.prompt) + len(core.tokens)
        refused = Refused(token.request, core.generation, ENTRY_STAGE, GAP, position)
        return [SendTo(core.plan[-1].address, refused)]
    return _take_tokens(core, token.tokens[len(core.tokens) - token.index :], now_s)


def _take_tokens(core, fresh, now_s):
    if not fresh:
        return []
    core.tokens.extend(fresh)
    core.idle_rounds = 0
    if core.phase == Phase.RUNNING:
        core.waiting_since_s = now_s
    last = len(core.tokens) >= core.start.max_tokens
    deliver = [Deliver(tuple(fresh), last)]
    return deliver + _end(core) if last else deliver


def _resume_reply(core, reply, now_s):
    previous = core.replies.get(reply.stage)
    is_final = previous is not None and not previous.running
    if core.phase != Phase.RESUMING or is_final:
        return []
    core.replies[reply.stage] = reply
    replies = core.replies.values()
    if len(replies) < len(core.stages) or any(r.running for r in replies):
        return []
    return _finish_resume(core, now_s)


def _stage_failed(core, failed, now_s):
    if not failed.link_only:
        return _remove_stages(core, [core.plan[failed.stage]], now_s)
    # Only a link between two stages broke, and frames may be lost. The resume finds
    # the stages that still answer and has the missing outputs sent again.
    return _start_resume(core, now_s) if core.phase == Phase.RUNNING else []


def _refused(core, refused, now_s):
    if refused.code == NO_ROOM:
        return _remove_stages(core, [core.plan[refused.stage]], now_s)
    # Refusals of an old generation are caused by late copies of a resume and don't
    # indicate a fault in the chain.
    is_gap = refused.code == GAP and core.phase == Phase.RUNNING
    return _start_resume(core, now_s) if is_gap else []


HANDLERS = {
    Token: _token,
    ResumeReply: _resume_reply,
    StageFailed: _stage_failed,
    Refused: _refused,
}


def _remove_stages(core, lost, now_s):
    """Remove lost stages from the plan and request others."""
    lost = [stage for stage in lost if stage in core.stages]
    if not lost:
        return []
    core.phase = Phase.REPLACING
    core.waiting_since_s = now_s
    core.lagging = None
    core.leaving = None
    effects = []
    for stage in lost:
        core.stages.remove(stage)
        core.excluded.append(stage.endpoint)
        core.missing_ranges.append(LayerRange(stage.first_layer, stage.end_layer))
        # If the stage was only frozen or partitioned, it frees the KV once it is back.
        effects.append(SendTo(stage.address, Free(core.start.request)))
    # A loss during the search for another stage changes the excluded endpoints, so
    # all needs are sent again.
    return effects + needs(core)


def _hand_over(core, stage, now_s):
    """Replace a stage that is going to stop and start the hand-over of its KV."""
    old, core.leaving = core.leaving, None
    if stage[3:] != old[3:]:
        return []
    core.stages[core.stages.index(old)] = stage
    core.excluded.append(old.endpoint)
    core.replaced = old
    effects = _start_resume(core, now_s, replacement=stage)
    message = HandOver(core.start.request, core.generation, stage.address)
    return effects + [SendTo(old.address, message)]


def _stage_need(core, missing):
    return NeedStage(missing.first_layer, missing.end_layer, tuple(core.excluded))


def _start_resume(core, now_s, replacement=None):
    """Begin a new generation and query the progress of each stage."""
    core.idle_rounds += 1
    if core.idle_rounds > MAX_IDLE_ROUNDS or core.generation >= MAX_GENERATIONS:
        return _fail(core, "too many lost or stalled stages in this request")
    core.phase = Phase.RESUMING
    core.leaving = None
    core.waiting_since_s = now_s
    core.generation += 1
    core.plan = tuple(core.stages)
    core.replies = {}
    return [
        SendTo(stage.address, Resume(_start_for(core, index), stage is replacement))
        for index, stage in enumerate(core.stages)
    ]


def _finish_resume(core, now_s):
    """Send each stage its position to continue from, after all have answered."""
    unreachable = resume.find_unreachable(core)
    effects = _take_tokens(core, core.replies[0].tokens[len(core.tokens) :], now_s)
    if core.phase == Phase.ENDED:
        return effects
    if unreachable:
        return effects + _remove_stages(core, [unreachable], now_s)
    to_rebuild = resume.stages_to_rebuild(core)
    if to_rebuild:
        freed = [
            SendTo(core.plan[index].address, Free(core.start.request))
            for index in to_rebuild
        ]
        return effects + freed + _start_resume(core, now_s)
    core.phase = Phase.RUNNING
    core.waiting_since_s = now_s
    effects += _free_replaced(core)
    effects += [
        SendTo(stage.address, resume.continue_for(core, index))
        for index, stage in enumerate(core.stages)
    ]
    return effects + _ack(core)


def _start_for(core, index):
    return core.start._replace(
        generation=core.generation, stages=core.plan, stage=index
    )


def _ack(core):
    # Outside of RUNNING the last stage may be new and not have the request yet. The
    # count is sent after `Continue`.
    if core.phase != Phase.RUNNING or not core.consumed:
        return []
    return [SendTo(core.stages[-1].address, Ack(core.start.request, core.consumed))]


def _fail(core, message):
    return [Fail(message), *_end(core)]


def _end(core):
    core.phase = Phase.ENDED
    free = Free(core.start.request)
    freed = [SendTo(stage.address, free) for stage in core.stages]
    return freed + _free_replaced(core) + [Finished()]


def _free_replaced(core):
    """Free the replaced stage, in case `HandOver` did not reach it."""
    stage, core.replaced = core.replaced, None
    return [SendTo(stage.address, Free(core.start.request))] if stage else []
