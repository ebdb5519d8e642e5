"""Dump of the entry's and the sidecar's pipeline state for operators."""

from cherryrudder.pipeline.request import RequestCore
from cherryrudder.pipeline.stage import StageCore
from cherryrudder.pipeline.stagerequest import StageRequest


def dump_sidecar(core: StageCore) -> dict:
    """Return a sidecar's requests and the sizes and limits of its tables."""
    return {
        "requests": {name: _dump_request(r) for name, r in core.requests.items()},
        "max_requests": core.max_requests,
        "kept_bytes": core.kept_bytes,
        "max_kept_bytes": core.max_kept_bytes,
        "early_messages": len(core.early),
        "tombstones": len(core.tombstones),
        "draining": sorted(core.draining),
    }


def dump_entry(core: RequestCore) -> dict:
    """Return the state of a request at its entry, without its text."""
    return {
        "phase": str(core.phase),
        "generation": core.generation,
        "stages": [stage.endpoint for stage in core.stages],
        "missing_layers": [list(missing) for missing in core.missing_ranges],
        "excluded": list(core.excluded),
        "leaving": core.leaving.endpoint if core.leaving else "",
        "prompt_tokens": len(core.start.prompt),
        "tokens": len(core.tokens),
        "max_tokens": core.start.max_tokens,
        "consumed": core.consumed,
        "waiting_since_s": core.waiting_since_s,
    }


def _dump_request(state: StageRequest):
    return {
        "entry": state.start.entry,
        "generation": state.start.generation,
        "stage": state.start.stage,
        "next_position": state.next_position,
        "running": state.running,
        "waiting": len(state.waiting),
        "kept_from": state.kept_from,
        "is_resuming": state.send_next is None,
        "leaving_to": state.leaving_to,
        "orphaned_s": state.orphaned_s,
        "touched_s": state.touched_s,
    }
