"""Hand-over of a request at a planned stop: the KV moves to the replacement stage.

When it succeeds, nothing is recomputed. When any part of it fails (export, import, or
one of the stages), the replacement starts empty and is rebuilt like that of a lost
stage, so a hand-over can cost time but never a token.
"""

from cherryrudder.pipeline import stagerequest as requests, stagetable as tables
from cherryrudder.pipeline.effects import ExportKv, FreeKv, ImportKv, SendTo
from cherryrudder.pipeline.messages import HandOver, KvTransfer

# Exporting and sending the KV of a long prompt takes about a second on a gigabit link.
# After a few seconds a rebuild by replay is faster.
KV_TIMEOUT_S = 5.0


def start_handover(core, message: HandOver, now_s: float) -> list:
    """Stop a request at this stage and export its KV once the engine is idle."""
    state = core.requests.get(message.request)
    if state is None:
        empty = KvTransfer(message.request, message.generation, 0, (), (), "")
        return [SendTo(message.address, empty)]
    if message.generation <= state.start.generation:
        return []
    # Steps of the old plan are refused from now on, so the exported KV is final.
    requests.adopt(state, state.start._replace(generation=message.generation))
    state.leaving_to = message.address
    state.touched_s = now_s
    return export_when_idle(state)


def export_when_idle(state) -> list:
    """Export the KV of a request being handed over unless a compute is in flight."""
    if not state.leaving_to or state.running:
        return []
    return [ExportKv(state.start.request)]


def exported(core, request: str, kv: str, now_s: float) -> list:
    """Send the exported KV, empty if that failed, and drop the request."""
    state = core.requests.get(request)
    if state is None or not state.leaving_to:
        return []
    transfer = KvTransfer(
        request,
        state.start.generation,
        state.kept_from,
        tuple(state.outputs),
        tuple(state.inputs),
        kv,
    )
    return [
        SendTo(state.leaving_to, transfer),
        *tables.drop_request(core, request, now_s),
    ]


def import_kv(core, transfer: KvTransfer, now_s: float) -> list:
    """Import the KV that the replaced stage exported."""
    state = core.requests.get(transfer.request)
    if state is None:
        tables.keep_early(core, transfer, now_s)
        return []
    if state.kv_wait_since_s is None or state.importing:
        return []
    if not transfer.kv:
        return _stop_waiting(state)
    state.importing = True
    state.next_position = transfer.kept_from
    state.inputs.extend(transfer.inputs)
    tables.keep_outputs(core, state, transfer.outputs)
    return [ImportKv(transfer.request, transfer.kv)]


def imported(core, request: str, is_done: bool, now_s: float) -> list:
    """Reply to the entry's `Resume` after the engine's import succeeded or failed."""
    state = core.requests.get(request)
    if state is None:
        return [FreeKv(request)]
    if not state.importing:
        return []
    if is_done:
        return _stop_waiting(state)
    tables.clear_outputs(core, state)
    return [FreeKv(request), *_stop_waiting(state)]


def expire_kv_waits(core, now_s: float) -> list:
    """Stop waiting for KV transfers that are overdue; those stages start empty."""
    effects = []
    for state in core.requests.values():
        since_s = None if state.importing else state.kv_wait_since_s
        if since_s is not None and now_s - since_s >= KV_TIMEOUT_S:
            effects += _stop_waiting(state)
    return effects


def _stop_waiting(state):
    state.kv_wait_since_s = None
    state.importing = False
    state.reply_pending = False
    return [SendTo(state.start.entry, requests.resume_reply(state))]
