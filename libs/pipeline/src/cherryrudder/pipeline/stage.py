"""The sidecar's part of the pipeline: many requests, one stage of each.

A step's inputs are taken once, by position: a repeat is dropped, a gap or an old
generation is refused, so that every layer runs once per token whatever the links do.
"""

from typing import NamedTuple

from cherryrudder.pipeline import stagerequest as requests
from cherryrudder.pipeline.effects import Compute, FreeKv, SendTo
from cherryrudder.pipeline.messages import (
    ENTRY_STAGE,
    GAP,
    NO_ROOM,
    OLD_GENERATION,
    Ack,
    Continue,
    Free,
    Refused,
    Resume,
    StageFailed,
    Start,
    Step,
)
from cherryrudder.pipeline.stagerequest import StageRequest

# An engine of today runs some tens of requests at once; this leaves room for those
# that wait between two steps and still bounds the kept outputs.
MAX_REQUESTS = 512
# A step overtakes its `Start` by the difference of two links' delays, which is
# milliseconds inside a region; past this the start is lost and the entry resumes.
EARLY_S = 2.0
# One early step per request that may start within EARLY_S.
MAX_EARLY = MAX_REQUESTS
# Long enough for an entry to reconnect after a broken link, short enough that the
# requests of a dead entry don't fill an engine's KV.
ORPHAN_S = 10.0
# A request that saw no message and no result this long has lost its entry without a
# sign; were it alive, the entry's stall check would have asked long before.
IDLE_S = 600.0
# Frames of a freed request may still be under way this long.
TOMBSTONE_S = 30.0
MAX_TOMBSTONES = 8192


class EarlyStep(NamedTuple):
    """A step that came before its request's start."""

    step: Step
    arrived_s: float


class Tombstone(NamedTuple):
    """The generation at which a request was freed, and until when to know it."""

    generation: int
    until_s: float


class StageCore:
    """The requests that one sidecar's engine takes part in."""

    def __init__(self, max_requests: int = MAX_REQUESTS):
        self.max_requests = max_requests
        self.requests: dict[str, StageRequest] = {}
        self.early: list[EarlyStep] = []
        self.tombstones: dict[str, Tombstone] = {}
        # Requests freed while the engine computed for them.
        self.draining: set[str] = set()


def receive(core: StageCore, message, now_s: float) -> list:
    """Take a message and return the effects."""
    handler = HANDLERS.get(type(message))
    return handler(core, message, now_s) if handler else []


def computed(core: StageCore, request: str, position: int, outputs, now_s: float):
    """Take the engine's outputs, one for each input of the `Compute`."""
    if request in core.draining:
        return _drained(core, request)
    state = core.requests.get(request)
    if state is None:
        return [FreeKv(request)]
    if not state.running or position != len(state.outputs):
        return []
    if len(outputs) != state.running:
        message = f"{len(outputs)} outputs for {state.running} inputs"
        return compute_failed(core, request, position, message, now_s)
    state.touched_s = now_s
    state.outputs.extend(outputs)
    state.running = 0
    effects = []
    if state.owes_held:
        state.owes_held = False
        effects.append(SendTo(state.start.entry, requests.held(state)))
    return effects + _advance(core, state)


def compute_failed(core: StageCore, request, position, message: str, now_s: float):
    """Report a failed compute to the entry and drop what the engine holds.

    The KV is in an unknown state: going on with it could run a layer twice.
    """
    if request in core.draining:
        return _drained(core, request)
    state = core.requests.get(request)
    if state is None or not state.running or position != len(state.outputs):
        return []
    state.running = 0
    start = state.start
    failed = StageFailed(request, start.generation, start.stage, message)
    return [SendTo(start.entry, failed)] + _drop(core, request, now_s)


def link_lost(core: StageCore, address: str, now_s: float) -> list:
    """Report lost links to neighbours; requests of a lost entry wait for `tick`."""
    effects = []
    for state in core.requests.values():
        start = state.start
        if start.entry == address and state.orphaned_s is None:
            state.orphaned_s = now_s
        for stage in _neighbours(start):
            if start.stages[stage].address == address:
                lost = StageFailed(
                    start.request, start.generation, stage, "link lost", True
                )
                effects.append(SendTo(start.entry, lost))
    return effects


def tick(core: StageCore, now_s: float) -> list:
    """Free what nobody will ask for again; call it about once a second."""
    core.early = [e for e in core.early if now_s - e.arrived_s < EARLY_S]
    for request, tombstone in list(core.tombstones.items()):
        if now_s >= tombstone.until_s:
            del core.tombstones[request]
    gone = [r for r, state in core.requests.items() if _is_abandoned(state, now_s)]
    effects = []
    for request in gone:
        effects += _drop(core, request, now_s)
    return effects


def _is_abandoned(state, now_s):
    orphaned = state.orphaned_s is not None and now_s - state.orphaned_s >= ORPHAN_S
    return orphaned or now_s - state.touched_s >= IDLE_S


def _neighbours(start):
    """Return the stages that a stage exchanges steps with, without itself."""
    count = len(start.stages)
    around = {(start.stage - 1) % count, (start.stage + 1) % count}
    return sorted(around - {start.stage})


def _start(core, start, now_s):
    state = core.requests.get(start.request)
    if state is not None:
        # A repeat, or one that a newer generation overtook.
        return []
    state, effects = _open(core, start, now_s)
    if state is None:
        return effects
    if start.stage == 0:
        requests.accept(state, 0, start.prompt)
    return _take_early(core, state, now_s) + _advance(core, state)


def _resume(core, resume, now_s):
    start = resume.start
    state = core.requests.get(start.request)
    if state is None:
        state, effects = _open(core, start, now_s)
        if state is None:
            return effects
        state.send_next = None
    elif start.generation < state.start.generation:
        return [_refuse(state, start.entry, OLD_GENERATION)]
    elif start.generation > state.start.generation:
        requests.adopt(state, start)
    elif state.send_next is not None:
        # A repeat of the resume that this stage has already continued from.
        return []
    _touch(state, now_s)
    state.owes_held = state.running > 0
    effects = [SendTo(start.entry, requests.held(state))]
    return effects + _take_early(core, state, now_s)


def _continue(core, message, now_s):
    state = core.requests.get(message.request)
    if state is None or message.generation != state.start.generation:
        return []
    _touch(state, now_s)
    start = state.start
    state.send_next = message.send_from
    if requests.is_last(start):
        state.feed_next = message.send_from - requests.first_sent(start)
    if start.stage == 0 and not requests.accept(
        state, message.position, message.inputs
    ):
        return [_refuse(state, start.entry, GAP)]
    return _advance(core, state)


def _step(core, step, now_s):
    state = core.requests.get(step.request)
    if state is None or step.generation > state.start.generation:
        return _keep_early(core, step, now_s)
    if step.generation < state.start.generation:
        hop = state.previous_hops.get(step.generation)
        return [_refuse(state, hop, OLD_GENERATION)] if hop else []
    state.touched_s = now_s
    if not requests.accept(state, step.position, step.inputs):
        return [_refuse(state, requests.previous_hop(state.start), GAP)]
    return _run(core, state)


def _ack(core, ack, now_s):
    state = core.requests.get(ack.request)
    if state is None:
        return []
    _touch(state, now_s)
    state.acked = max(state.acked, ack.count)
    return _advance(core, state)


def _free(core, free, now_s):
    return _drop(core, free.request, now_s)


def _refused(core, refused, now_s):
    state = core.requests.get(refused.request)
    if state is None:
        return []
    start = state.start
    if refused.code == OLD_GENERATION and refused.generation > start.generation:
        # Either this process was frozen or cut off while the entry replaced it, or
        # its own `Resume` is still under way on another link. Dropping the KV at
        # once would have a surviving stage rebuilt, so it falls silent and waits.
        state.send_next = None
        state.orphaned_s = now_s
        return []
    if refused.code != GAP or refused.generation != start.generation:
        return []
    if state.send_next is None:
        return []
    _rewind(state, refused)
    return _advance(core, state)


def _rewind(state, refused):
    """Go back to what the refusing side waits for."""
    start = state.start
    if not requests.is_last(start):
        state.send_next = min(state.send_next, refused.next_position)
    elif refused.stage == ENTRY_STAGE:
        state.send_next = min(state.send_next, refused.next_position - 1)
    else:
        token = refused.next_position - len(start.prompt)
        state.feed_next = min(state.feed_next, max(0, token))


HANDLERS = {
    Start: _start,
    Resume: _resume,
    Continue: _continue,
    Step: _step,
    Ack: _ack,
    Free: _free,
    Refused: _refused,
}


def _open(core, start, now_s):
    """Return a new request's state, or None and the effects of refusing it."""
    tombstone = core.tombstones.get(start.request)
    # A start that was doubled or late must not bring a freed request back: nobody
    # would free it again. A real return has a newer generation.
    if tombstone and start.generation <= tombstone.generation:
        return None, []
    if len(core.requests) >= core.max_requests:
        refused = Refused(start.request, start.generation, start.stage, NO_ROOM)
        return None, [SendTo(start.entry, refused)]
    state = StageRequest(start, now_s)
    core.requests[start.request] = state
    return state, []


def _touch(state, now_s):
    """Note a message from the entry."""
    state.touched_s = now_s
    state.orphaned_s = None


def _keep_early(core, step, now_s):
    tombstone = core.tombstones.get(step.request)
    dead = tombstone and step.generation <= tombstone.generation
    if not dead and len(core.early) < MAX_EARLY:
        core.early.append(EarlyStep(step, now_s))
    return []


def _take_early(core, state, now_s):
    request = state.start.request
    mine = [e.step for e in core.early if e.step.request == request]
    core.early = [e for e in core.early if e.step.request != request]
    effects = []
    for step in mine:
        effects += _step(core, step, now_s)
    return effects


def _advance(core, state):
    """Send what is due and give the engine what waits."""
    start = state.start
    if not requests.is_last(start):
        step = requests.take_step(state)
        address = start.stages[(start.stage + 1) % len(start.stages)].address
        sent = [SendTo(address, step)] if step else []
        return sent + _run(core, state)
    tokens = requests.take_tokens(state)
    sent = [SendTo(start.entry, tokens)] if tokens else []
    feedback = requests.take_feedback(state)
    if feedback and start.stage == 0:
        requests.accept(state, feedback.position, feedback.inputs)
    elif feedback:
        sent.append(SendTo(start.stages[0].address, feedback))
    return sent + _run(core, state)


def _run(core, state):
    """Start the next compute unless one is in flight."""
    start = state.start
    if state.running or not state.waiting or start.request in core.draining:
        return []
    inputs = tuple(state.waiting)
    state.waiting.clear()
    state.running = len(inputs)
    position = len(state.outputs)
    return [Compute(start.request, start.model, position, inputs, start.priority)]


def _drop(core, request, now_s):
    """Forget a request, leaving a tombstone for its late frames."""
    state = core.requests.pop(request, None)
    core.early = [e for e in core.early if e.step.request != request]
    if state is None:
        return []
    if state.running:
        core.draining.add(request)
    if len(core.tombstones) >= MAX_TOMBSTONES:
        del core.tombstones[next(iter(core.tombstones))]
    core.tombstones[request] = Tombstone(state.start.generation, now_s + TOMBSTONE_S)
    return [FreeKv(request)]


def _drained(core, request):
    """Throw away a result for a freed request; its compute may have made KV anew."""
    core.draining.discard(request)
    state = core.requests.get(request)
    return [FreeKv(request)] + (_run(core, state) if state else [])


def _refuse(state, address, code):
    start = state.start
    refused = Refused(
        start.request, start.generation, start.stage, code, state.expected
    )
    return SendTo(address, refused)
