"""The sidecar's state machine of the pipeline: one stage of each of many requests.

Inputs are accepted once, by position. Repeats are dropped, and gaps and old
generations are refused, so that every layer runs once per token although links may
lose, duplicate or reorder frames.
"""

from cherryrudder.pipeline import (
    handover,
    stagerequest as requests,
    stagetable as tables,
)
from cherryrudder.pipeline.effects import Compute, FreeKv, SendTo
from cherryrudder.pipeline.messages import (
    ENTRY_STAGE,
    GAP,
    OLD_GENERATION,
    Ack,
    Continue,
    Free,
    HandOver,
    KvTransfer,
    Refused,
    Resume,
    StageFailed,
    Start,
    Step,
)
from cherryrudder.pipeline.stagetable import StageCore


def receive(core: StageCore, message, now_s: float) -> list:
    """Handle a message from the entry or another stage and return the effects."""
    handler = HANDLERS.get(type(message))
    return handler(core, message, now_s) if handler else []


def computed(core: StageCore, request: str, position: int, outputs, now_s: float):
    """Handle the engine's outputs, one for each input of the `Compute`."""
    if request in core.draining:
        return _discard_result(core, request)
    state = core.requests.get(request)
    if state is None:
        return [FreeKv(request)]
    if not state.running or position != state.next_position:
        return []
    if len(outputs) != state.running:
        message = f"{len(outputs)} outputs for {state.running} inputs"
        return compute_failed(core, request, position, message, now_s)
    state.touched_s = now_s
    tables.keep_outputs(core, state, outputs)
    state.running = 0
    effects = []
    if state.reply_pending:
        state.reply_pending = False
        effects.append(SendTo(state.start.entry, requests.resume_reply(state)))
    effects += handover.export_when_idle(state)
    return effects + _advance(core, state)


def compute_failed(core: StageCore, request, position, message: str, now_s: float):
    """Report a failed compute to the entry and free the engine's KV.

    The KV is in an unknown state; continuing with it could run a layer twice.
    """
    if request in core.draining:
        return _discard_result(core, request)
    state = core.requests.get(request)
    if state is None or not state.running or position != state.next_position:
        return []
    state.running = 0
    if state.leaving_to:
        # The entry's plan already has the replacement, so no failure is reported.
        return handover.exported(core, request, "", now_s)
    start = state.start
    failed = StageFailed(request, start.generation, start.stage, message)
    return [SendTo(start.entry, failed)] + tables.drop_request(core, request, now_s)


def link_lost(core: StageCore, address: str, now_s: float) -> list:
    """Report lost links to neighbours, and mark requests of a lost entry orphaned."""
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
    """Free abandoned requests and expired records; call it about once a second."""
    tables.drop_expired(core, now_s)
    effects = handover.expire_kv_waits(core, now_s)
    for request in tables.abandoned_requests(core, now_s):
        effects += tables.drop_request(core, request, now_s)
    return effects


def _neighbours(start):
    """Return the indexes of the other stages that a stage exchanges steps with."""
    count = len(start.stages)
    adjacent = {(start.stage - 1) % count, (start.stage + 1) % count}
    return sorted(adjacent - {start.stage})


def _start(core, start, now_s):
    state = core.requests.get(start.request)
    if state is not None:
        # A repeat, or a start that arrived after a newer generation.
        return []
    state, effects = tables.open_request(core, start, now_s)
    if state is None:
        return effects
    if start.stage == 0:
        requests.accept(state, 0, start.prompt)
    return _take_early(core, state, now_s) + _advance(core, state)


def _resume(core, resume, now_s):
    start = resume.start
    state = core.requests.get(start.request)
    if state is None:
        state, effects = tables.open_request(core, start, now_s)
        if state is None:
            return effects
        state.send_next = None
        state.kv_wait_since_s = now_s if resume.awaits_kv else None
    elif start.generation < state.start.generation:
        return [_refuse(state, start.entry, OLD_GENERATION)]
    elif start.generation > state.start.generation:
        requests.adopt(state, start)
    elif state.send_next is not None:
        # A repeat of a resume whose `Continue` has already arrived.
        return []
    _record_entry_message(state, now_s)
    state.reply_pending = requests.is_busy(state)
    effects = [SendTo(start.entry, requests.resume_reply(state))]
    return effects + _take_early(core, state, now_s)


def _continue(core, message, now_s):
    state = core.requests.get(message.request)
    if state is None or message.generation != state.start.generation:
        return []
    _record_entry_message(state, now_s)
    start = state.start
    state.send_next = message.send_from
    if requests.is_last(start):
        state.feedback_next = message.send_from - requests.first_sent(start)
    if start.stage == 0 and not requests.accept(
        state, message.position, message.inputs
    ):
        return [_refuse(state, start.entry, GAP)]
    return _advance(core, state)


def _step(core, step, now_s):
    state = core.requests.get(step.request)
    if state is None or step.generation > state.start.generation:
        tables.keep_early(core, step, now_s)
        return []
    if step.generation < state.start.generation:
        address = state.previous_hops.get(step.generation)
        return [_refuse(state, address, OLD_GENERATION)] if address else []
    state.touched_s = now_s
    if not requests.accept(state, step.position, step.inputs):
        return [_refuse(state, requests.previous_hop(state.start), GAP)]
    return _run(core, state)


def _ack(core, ack, now_s):
    state = core.requests.get(ack.request)
    if state is None:
        return []
    _record_entry_message(state, now_s)
    state.acked = max(state.acked, ack.count)
    return _advance(core, state)


def _free(core, free, now_s):
    return tables.drop_request(core, free.request, now_s)


def _refused(core, refused, now_s):
    state = core.requests.get(refused.request)
    if state is None:
        return []
    start = state.start
    if refused.code == OLD_GENERATION and refused.generation > start.generation:
        # Either this process was frozen or partitioned while the entry replaced it, or
        # its own `Resume` is still in flight on another link. Dropping the KV at once
        # could force a rebuild of a live stage, so it stops sending and waits.
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
    """Send again from the position that the refusing side expects."""
    start = state.start
    if not requests.is_last(start):
        state.send_next = min(state.send_next, refused.next_position)
    elif refused.stage == ENTRY_STAGE:
        state.send_next = min(state.send_next, refused.next_position - 1)
    else:
        token = refused.next_position - len(start.prompt)
        state.feedback_next = min(state.feedback_next, max(0, token))


HANDLERS = {
    Start: _start,
    Resume: _resume,
    Continue: _continue,
    Step: _step,
    Ack: _ack,
    Free: _free,
    Refused: _refused,
    HandOver: handover.start_handover,
    KvTransfer: handover.import_kv,
}


def _record_entry_message(state, now_s):
    """Record that the entry has sent a message for this request."""
    state.touched_s = now_s
    state.orphaned_s = None


def _take_early(core, state, now_s):
    effects = []
    for message in tables.take_early(core, state.start.request):
        effects += receive(core, message, now_s)
    return effects


def _advance(core, state):
    """Send unsent outputs and start a compute for waiting inputs."""
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
    busy = requests.is_busy(state) or start.request in core.draining
    if busy or not state.waiting:
        return []
    inputs = tuple(state.waiting)
    state.waiting.clear()
    state.running = len(inputs)
    position = state.next_position
    return [Compute(start.request, start.model, position, inputs, start.priority)]


def _discard_result(core, request):
    """Discard a freed request's result and free KV that its compute recreated."""
    core.draining.discard(request)
    state = core.requests.get(request)
    return [FreeKv(request)] + (_run(core, state) if state else [])


def _refuse(state, address, code):
    start = state.start
    refused = Refused(
        start.request, start.generation, start.stage, code, state.expected
    )
    return SendTo(address, refused)
