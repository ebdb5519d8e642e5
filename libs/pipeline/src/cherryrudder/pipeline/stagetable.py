"""Bounded tables of a sidecar: requests, early messages, tombstones, outputs."""

from typing import NamedTuple

from cherryrudder.pipeline.effects import FreeKv, SendTo
from cherryrudder.pipeline.messages import NO_ROOM, KvTransfer, Refused, Step
from cherryrudder.pipeline.stagerequest import StageRequest, trim_sent

# An engine runs some tens of requests at once. This leaves room for requests that wait
# between two steps, and still bounds the kept outputs.
MAX_REQUESTS = 512
# The hidden states (16 KB each) of one prompt of 4000 tokens. The daemon sets its own
# limit from the memory that its VM can spare.
MAX_KEPT_BYTES = 64 * 2**20
# A step can arrive before its `Start` by the difference of two links' delays, which is
# milliseconds inside a region. After this time the start is lost and the entry resumes.
EARLY_TIMEOUT_S = 2.0
# One early message for each request that can start within EARLY_TIMEOUT_S.
MAX_EARLY = MAX_REQUESTS
# Long enough for an entry to reconnect after a broken link, short enough that the
# requests of a dead entry don't fill an engine's KV.
ORPHAN_TIMEOUT_S = 10.0
# A request without a message or result for this long has lost its entry without a link
# error. If its caller is only slow, the next resume rebuilds it.
IDLE_TIMEOUT_S = 600.0
# Frames of a freed request can still be in flight for this long.
TOMBSTONE_S = 30.0
MAX_TOMBSTONES = 8192


class EarlyMessage(NamedTuple):
    """A message of another stage that arrived before its request's start."""

    message: Step | KvTransfer
    arrived_s: float


class Tombstone(NamedTuple):
    """The generation at which a request was freed; kept until `until_s`."""

    generation: int
    until_s: float


class StageCore:
    """State of all requests of one sidecar's engine."""

    def __init__(
        self,
        max_requests: int = MAX_REQUESTS,
        max_kept_bytes: int = MAX_KEPT_BYTES,
    ):
        self.max_requests = max_requests
        self.max_kept_bytes = max_kept_bytes
        self.kept_bytes = 0
        self.requests: dict[str, StageRequest] = {}
        self.early: list[EarlyMessage] = []
        self.tombstones: dict[str, Tombstone] = {}
        # Requests that were freed while a compute was in flight.
        self.draining: set[str] = set()


def open_request(core, start, now_s):
    """Return a new request's state, or None and the effects if it is refused."""
    tombstone = core.tombstones.get(start.request)
    # A duplicated or late start must not reopen a freed request, which would never be
    # freed again. A stage that is really used again gets a newer generation.
    if tombstone and start.generation <= tombstone.generation:
        return None, []
    if len(core.requests) >= core.max_requests:
        refused = Refused(start.request, start.generation, start.stage, NO_ROOM)
        return None, [SendTo(start.entry, refused)]
    state = StageRequest(start, now_s)
    core.requests[start.request] = state
    return state, []


def keep_early(core, message, now_s):
    """Keep a message until its request starts; drop it if the table is full."""
    tombstone = core.tombstones.get(message.request)
    is_freed = tombstone and message.generation <= tombstone.generation
    # The bytes are bounded too, as a step can hold a whole prompt's hidden states.
    size_bytes = _early_bytes(message) + sum(
        _early_bytes(e.message) for e in core.early
    )
    fits = len(core.early) < MAX_EARLY and size_bytes <= core.max_kept_bytes
    if fits and not is_freed:
        core.early.append(EarlyMessage(message, now_s))


def take_early(core, request: str) -> list[Step | KvTransfer]:
    """Remove and return the messages that arrived before their request."""
    messages = [e.message for e in core.early if e.message.request == request]
    core.early = [e for e in core.early if e.message.request != request]
    return messages


def drop_request(core, request, now_s):
    """Drop a request and leave a tombstone against its late frames."""
    state = core.requests.pop(request, None)
    core.early = [e for e in core.early if e.message.request != request]
    if state is None:
        return []
    core.kept_bytes -= _size_bytes(state.outputs)
    if state.running:
        core.draining.add(request)
    if len(core.tombstones) >= MAX_TOMBSTONES:
        del core.tombstones[next(iter(core.tombstones))]
    core.tombstones[request] = Tombstone(state.start.generation, now_s + TOMBSTONE_S)
    return [FreeKv(request)]


def drop_expired(core, now_s):
    """Drop expired early messages and tombstones."""
    core.early = [e for e in core.early if now_s - e.arrived_s < EARLY_TIMEOUT_S]
    for request, tombstone in list(core.tombstones.items()):
        if now_s >= tombstone.until_s:
            del core.tombstones[request]


def abandoned_requests(core, now_s) -> list[str]:
    """Return the requests whose entry is considered lost."""
    return [r for r, state in core.requests.items() if _is_abandoned(state, now_s)]


def keep_outputs(core, state, outputs):
    """Keep outputs to rebuild the next stage from, within `max_kept_bytes`.

    Hidden states of long prompts can exceed a small process's memory: at 16 KB per
    position, one prompt of 4000 tokens takes 64 MB. Above the limit, sent outputs are
    dropped, those of the largest requests first. If the next stage of such a request
    is lost, this stage is rebuilt along with it.
    """
    state.outputs.extend(outputs)
    state.next_position += len(outputs)
    core.kept_bytes += _size_bytes(outputs)
    if core.kept_bytes <= core.max_kept_bytes:
        return
    for other in sorted(core.requests.values(), key=_output_count, reverse=True):
        core.kept_bytes -= _size_bytes(trim_sent(other))
        if core.kept_bytes <= core.max_kept_bytes / 2:
            return


def clear_outputs(core, state):
    """Drop every output and input of a request that starts over."""
    core.kept_bytes -= _size_bytes(state.outputs)
    state.outputs.clear()
    state.inputs.clear()
    state.next_position = 0


def _output_count(state):
    return len(state.outputs)


def _early_bytes(message):
    is_step = isinstance(message, Step)
    return _size_bytes(message.inputs if is_step else (*message.outputs, message.kv))


def _size_bytes(outputs):
    return sum(map(len, outputs))


def _is_abandoned(state, now_s):
    orphaned = (
        state.orphaned_s is not None and now_s - state.orphaned_s >= ORPHAN_TIMEOUT_S
    )
    return orphaned or now_s - state.touched_s >= IDLE_TIMEOUT_S
