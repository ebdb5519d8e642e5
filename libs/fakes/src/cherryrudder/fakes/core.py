"""The stand-in engine without network: requests' KV, their steps and the batch."""

from typing import NamedTuple

from expression import Error, Ok, Result

from . import fold, ledger as book
from .batching import Job, Limits, Work, choose_batch


class Range(NamedTuple):
    """The layers that an engine holds; `end` is exclusive, `total` is the model's."""

    first: int
    end: int
    total: int


class Sequence:
    """One request's KV; `accepted` counts positions that are computed or queued."""

    def __init__(self, kv, next_position=0):
        self.kv = kv
        self.next_position = next_position
        self.accepted = next_position


class Engine:
    """An engine's requests, jobs and ledger."""

    def __init__(self, model: str, layers: Range, limits: Limits):
        self.model = model
        self.layers = layers
        self.limits = limits
        self.sequences = {}
        self.jobs = {}
        self.ledger = book.Ledger()
        self.next_number = 0


def submit(engine: Engine, step: dict) -> Result[Job, str]:
    """Queue a step, or refuse it with `model` or `gap`."""
    if step["model"] != engine.model:
        return Error("model")
    name = step["request"]
    sequence = engine.sequences.get(name)
    expected = sequence.accepted if sequence else 0
    if step["position"] != expected or not step["inputs"]:
        return Error("gap")
    if sequence is None:
        layers = engine.layers
        sequence = Sequence([fold.EMPTY_KV] * (layers.end - layers.first))
        engine.sequences[name] = sequence
    sequence.accepted += len(step["inputs"])
    engine.next_number += 1
    job = Job(
        engine.next_number,
        name,
        step["position"],
        step["inputs"],
        step.get("priority", 0),
    )
    engine.jobs[job.number] = job
    return Ok(job)


def begin_batch(engine: Engine) -> list[Work]:
    """Return the work of the next batch step."""
    return choose_batch(list(engine.jobs.values()), engine.limits)


def finish_batch(engine: Engine, batch: list[Work]) -> list[Job]:
    """Compute a batch's positions and return the jobs that are complete."""
    complete = []
    for job, tokens in batch:
        # A job that was freed while its batch ran must leave no KV behind.
        if job.number not in engine.jobs:
            continue
        sequence = engine.sequences[job.request]
        start = len(job.outputs)
        for value in job.inputs[start : start + tokens]:
            job.outputs.append(_compute(engine, job.request, sequence, value))
        if not job.left:
            del engine.jobs[job.number]
            complete.append(job)
    return complete


def free(engine: Engine, name: str) -> list[Job]:
    """Drop a request and return its jobs, which are cancelled."""
    engine.sequences.pop(name, None)
    cancelled = [job for job in engine.jobs.values() if job.request == name]
    for job in cancelled:
        del engine.jobs[job.number]
        job.error = "cancelled"
    return cancelled


def _compute(engine, name, sequence, value):
    layers = engine.layers
    for index, layer in enumerate(range(layers.first, layers.end)):
        value, sequence.kv[index] = fold.run_layer(
            engine.model, layer, sequence.kv[index], value
        )
        book.ran(engine.ledger, name, layer, sequence.next_position)
    sequence.next_position += 1
    return fold.pick_token(value) if layers.end == layers.total else value
