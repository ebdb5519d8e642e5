"""Export and import of the KV of a request."""

from typing import TypedDict

from expression import Error, Ok, Result

from .core import Engine, Sequence
from .errors import KvRefused


class LayerKv(TypedDict):
    """The KV of an engine's layers; layer numbers are strings, for JSON."""

    model: str
    version: str
    layers: dict[str, str]


class Export(TypedDict):
    """The KV of a request in the form that another engine imports."""

    request: str
    next_position: int
    kv: LayerKv


def export_kv(engine: Engine, name: str) -> Result[Export, KvRefused]:
    """Return the KV of a request, up to the last computed position."""
    sequence = engine.sequences.get(name)
    if sequence is None:
        return Error(KvRefused("unknown request"))
    layers = range(engine.layers.first, engine.layers.end)
    held = {str(layer): kv for layer, kv in zip(layers, sequence.kv, strict=True)}
    loaded = engine.loaded
    kv = LayerKv(model=loaded.model, version=loaded.version, layers=held)
    return Ok(Export(request=name, next_position=sequence.next_position, kv=kv))


def import_kv(engine: Engine, export: Export) -> Result[int, KvRefused]:
    """Replace a request's KV with the exported one; return its next position.

    The export may have more layers than this engine, but must have all of its layers.
    """
    kv, name = export["kv"], export["request"]
    if (kv["model"], kv["version"]) != engine.loaded[:2]:
        return Error(KvRefused("model"))
    layers = [str(n) for n in range(engine.layers.first, engine.layers.end)]
    if not kv["layers"].keys() >= set(layers):
        return Error(KvRefused("layers missing"))
    if any(job.request == name for job in engine.jobs.values()):
        return Error(KvRefused("request is running"))
    values = [kv["layers"][layer] for layer in layers]
    engine.sequences[name] = Sequence(values, export["next_position"], None)
    return Ok(export["next_position"])
