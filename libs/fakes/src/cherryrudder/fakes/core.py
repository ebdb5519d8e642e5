"""The stand-in engine without its HTTP API: KV of requests, their steps, the batch."""

from typing import NamedTuple, NotRequired, TypedDict

from expression import Error, Ok, Result

from . import fold, ledger as ledgers, prefixes
from .batching import Job, Limits, Work, choose_batch
from .errors import StepRefused
from .events import EventLog, publish
from .load_report import Load
from .orders import Loaded
from .prefixes import BLOCK_TOKENS, Block, PrefixCache


class Range(NamedTuple):
    """The layers that an engine holds; `end` is exclusive, `total` is the model's."""

    first: int
    end: int
    total: int


class Step(TypedDict):
    """A step of a request as a sidecar sends it."""

    request: str
    model: str
    position: int
    inputs: list[str]
    priority: NotRequired[int]


class Sequence:
    """The KV of a request; `accepted` counts positions that are computed or queued.

    `prefix` is the digest up to the last whole block. It is None for an imported
    request, since the engine has not received its earlier inputs.
    """

    def __init__(self, kv, next_position, prefix):
        self.kv = kv
        self.next_position = next_position
        self.accepted = next_position
        self.prefix = prefix
        self.block_inputs = []
        self.block_outputs = []


class Engine:
    """An engine's requests, jobs, cache and ledger."""

    def __init__(
        self,
        loaded: Loaded,
        layers: Range,
        limits: Limits,
        kv_tokens: int,
        events: EventLog,
    ):
        self.loaded = loaded
        self.layers = layers
        self.limits = limits
        self.kv_tokens = kv_tokens
        self.events = events
        self.sequences = {}
        self.jobs = {}
        self.batch = []
        self.cache = PrefixCache()
        self.ledger = ledgers.Ledger()
        self.next_number = 0


def submit(engine: Engine, step: Step, now_s: float) -> Result[Job, StepRefused]:
    """Queue a step, or refuse it with `model`, `gap` or `no room`."""
    if step["model"] != engine.loaded.model:
        return Error(StepRefused("model"))
    name, inputs = step["request"], step["inputs"]
    sequence = engine.sequences.get(name)
    expected = sequence.accepted if sequence else 0
    if step["position"] != expected or not inputs:
        return Error(StepRefused("gap"))
    if live_tokens(engine) + len(inputs) > engine.kv_tokens:
        return Error(StepRefused("no room"))
    engine.next_number += 1
    priority = step.get("priority", 0)
    job = Job(engine.next_number, name, expected, inputs, priority)
    if sequence is None:
        sequence = engine.sequences[name] = _new_sequence(engine)
        _reuse(engine, job, sequence)
    sequence.accepted += len(inputs)
    engine.jobs[job.number] = job
    _make_room(engine, now_s)
    return Ok(job)


def begin_batch(engine: Engine, may_run=lambda job: True) -> list[Work]:
    """Choose the work of the next batch step, start it and return it."""
    jobs = [job for job in engine.jobs.values() if may_run(job)]
    engine.batch = choose_batch(jobs, engine.limits)
    return engine.batch


def finish_batch(engine: Engine, now_s: float) -> list[Job]:
    """Compute the positions of the running batch and return the completed jobs."""
    complete = []
    for job, tokens in engine.batch:
        # A job that was freed while its batch ran must not leave KV in the engine.
        if job.number not in engine.jobs:
            continue
        start = len(job.outputs)
        for value in job.inputs[start : start + tokens]:
            job.outputs.append(_compute(engine, job.request, value, now_s))
        if not job.left:
            del engine.jobs[job.number]
            complete.append(job)
    engine.batch = []
    return complete


def free(engine: Engine, name: str) -> list[Job]:
    """Drop a request, cancel its jobs and return them."""
    engine.sequences.pop(name, None)
    cancelled = [job for job in engine.jobs.values() if job.request == name]
    for job in cancelled:
        del engine.jobs[job.number]
        job.error = "cancelled"
    return cancelled


def load(engine: Engine, loaded: Loaded, now_s: float) -> list[Job]:
    """Replace what is loaded and return the jobs that this cancels.

    Another model or version drops all KV and cancels all jobs.
    """
    kept = loaded[:2] == engine.loaded[:2]
    engine.loaded = loaded
    if kept:
        return []
    for prefix in prefixes.shrink(engine.cache, 0):
        publish(engine.events, "evicted", prefix, now_s)
    return [job for name in list(engine.sequences) for job in free(engine, name)]


def live_tokens(engine: Engine) -> int:
    """Return the number of positions that live requests hold or have queued."""
    return sum(sequence.accepted for sequence in engine.sequences.values())


def measure(engine: Engine) -> Load:
    """Return the current load."""
    running = sum(job.number in engine.jobs for job, _ in engine.batch)
    waiting = len(engine.jobs) - running
    return Load(running, waiting, live_tokens(engine) / engine.kv_tokens)


def _new_sequence(engine):
    layers = engine.layers
    root = prefixes.root_prefix(engine.loaded.model, engine.loaded.version)
    return Sequence([fold.EMPTY_KV] * (layers.end - layers.first), 0, root)


def _reuse(engine, job, sequence):
    hit = prefixes.match(engine.cache, sequence.prefix, job.inputs)
    if hit is None:
        return
    sequence.prefix = hit.prefix
    sequence.kv = list(hit.kv)
    sequence.next_position = len(hit.outputs)
    job.outputs.extend(hit.outputs)
    for position in range(sequence.next_position):
        for layer in range(engine.layers.first, engine.layers.end):
            ledgers.record_reuse(engine.ledger, job.request, layer, position)


def _compute(engine, name, value, now_s):
    sequence, layers = engine.sequences[name], engine.layers
    output = value
    for index, layer in enumerate(range(layers.first, layers.end)):
        output, sequence.kv[index] = fold.run_layer(
            engine.loaded.model, layer, sequence.kv[index], output
        )
        ledgers.record_run(engine.ledger, name, layer, sequence.next_position)
    sequence.next_position += 1
    if layers.end == layers.total:
        output = fold.pick_token(output)
    if sequence.prefix is not None:
        _cache(engine, sequence, value, output, now_s)
    return output


def _cache(engine, sequence, value, output, now_s):
    sequence.block_inputs.append(value)
    sequence.block_outputs.append(output)
    if len(sequence.block_inputs) < BLOCK_TOKENS:
        return
    sequence.prefix = prefixes.next_prefix(sequence.prefix, sequence.block_inputs)
    block = Block(tuple(sequence.kv), tuple(sequence.block_outputs))
    sequence.block_inputs.clear()
    sequence.block_outputs.clear()
    if prefixes.store(engine.cache, sequence.prefix, block):
        publish(engine.events, "stored", sequence.prefix, now_s)
        _make_room(engine, now_s)


def _make_room(engine, now_s):
    # Live requests take precedence over cached prefixes, which only save time.
    room_tokens = engine.kv_tokens - live_tokens(engine)
    for prefix in prefixes.shrink(engine.cache, room_tokens):
        publish(engine.events, "evicted", prefix, now_s)
