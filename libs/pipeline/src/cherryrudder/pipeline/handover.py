"""A planned stop of a stage: its KV moves to the stage that relieves it.

Nothing is computed anew when it works. When any part of it fails (no export, no
import, a stage that dies on the way) the new stage holds nothing and is rebuilt like
that of a lost one, so a hand-over can cost time but never a token.
"""

from cherryrudder.pipeline import stagerequest as requests, stagetable as tables
from cherryrudder.pipeline.effects import ExportKv, FreeKv, ImportKv, SendTo
from cherryrudder.pipeline.messages import HandOver, KvTransfer

# Exporting and moving the KV of a long prompt takes about a second on a gigabit link;
# past a few, a rebuild by replay serves the caller sooner.
KV_WAIT_S = 5.0


def leave(core, message: HandOver, now_s: float) -> list:
    """Stop a request here and export its KV as soon as the engine is done."""
    state = core.requests.get(message.request)
    if state is None:
        none = KvTransfer(message.request, message.generation, 0, (), (), "")
        return [SendTo(message.address, none)]
    if message.generation <= state.start.generation:
        return []
    # From here on steps of the old plan are refused, so what is exported is final.
    requests.adopt(state, state.start._replace(generation=message.generation))
    state.leaving_to = message.address
    state.touched_s = now_s
    return export_when_idle(state)


def export_when_idle(state) -> list:
    """Export a leaving request's KV unless a compute is in flight."""
    if not state.leaving_to or state.running:
        return []
    return [ExportKv(state.start.request)]


def exported(core, request: str, kv: str, now_s: float) -> list:
    """Send the engine's export on, empty if it failed, and drop the request."""
    state = core.requests.get(request)
    if state is None or not state.leaving_to:
        return []
    move = KvTransfer(
        request,
        state.start.generation,
        state.kept_from,
        tuple(state.outputs),
        tuple(state.inputs),
        kv,
    )
    return [SendTo(state.leaving_to, move), *tables.drop(core, request, now_s)]


def take_kv(core, move: KvTransfer, now_s: float) -> list:
    """Import what the relieved stage exported."""
    state = core.requests.get(move.request)
    if state is None:
        tables.keep_early(core, move, now_s)
        return []
    if state.awaits_kv_s is None or state.importing:
        return []
    if not move.kv:
        return _settle(state)
    state.importing = True
    state.next_position = move.kept_from
    state.inputs.extend(move.inputs)
    tables.keep(core, state, move.outputs)
    return [ImportKv(move.request, move.kv)]


def imported(core, request: str, is_done: bool, now_s: float) -> list:
    """Answer the entry with what the engine now holds."""
    state = core.requests.get(request)
    if state is None:
        return [FreeKv(request)]
    if not state.importing:
        return []
    if is_done:
        return _settle(state)
    tables.forget_outputs(core, state)
    return [FreeKv(request), *_settle(state)]


def give_up_waiting(core, now_s: float) -> list:
    """Go on without KV that does not come."""
    effects = []
    for state in core.requests.values():
        since_s = None if state.importing else state.awaits_kv_s
        if since_s is not None and now_s - since_s >= KV_WAIT_S:
            effects += _settle(state)
    return effects


def _settle(state):
    state.awaits_kv_s = None
    state.importing = False
    state.owes_held = False
    return [SendTo(state.start.entry, requests.held(state))]
