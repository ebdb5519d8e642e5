"""Cost of a model on each kind of accelerator: times, memory and links.

Operators send these values, and a plan has to end in bounded time and with finite costs
for all of them. `find_fault` names those without a meaning; `within_bounds` returns a
model that the planner and the choice of chains can calculate with.
"""

import math
from typing import NamedTuple

# Bounds of the work that one plan takes; models have some hundred layers.
MAX_LAYERS = 2048
MAX_KINDS = 256
# Larger amounts are taken as this one, so that products of them stay finite.
MAX_AMOUNT = 10**12
# A rate of 0 is taken as this one: what uses it costs far more than all else.
MIN_RATE = 1e-6
# Processes tell each other sums of tokens in frames, whose integers have 64 bits.
MAX_TOKENS = 10**9
# Room of an engine whose requests take no memory, or hardly any.
MAX_ROOM_TOKENS = 1e9


class KindProfile(NamedTuple):
    """One kind of accelerator; `pace` and `read_factor` multiply the model's times."""

    name: str
    size_mb: float
    pace: float
    read_factor: float


class ModelProfile(NamedTuple):
    """The model of a service's engines; times are for all its layers together."""

    layers: int
    layer_mb: float
    # Memory of one token of a running request, summed over all layers.
    token_kv_bytes: float
    activation_bytes: float
    link_mbps: float
    pipe_mbps: float
    step_ms: float
    per_seq_ms: float
    read_per_s: float
    load_s: float
    loads_at_once: int
    slots: int
    usual_prompt_tokens: float
    usual_answer_tokens: float
    kinds: tuple[KindProfile, ...]
    # Steps between two events of a stream.
    stride: int = 1
    # Tokens of waiting prompts that an engine reads in one pass over its requests.
    chunk_tokens: int = 512


class LayerRange(NamedTuple):
    """A range of layers: `first` up to, but not including, `end`."""

    first: int
    end: int


NO_LAYERS = LayerRange(0, 0)


def find_fault(profile: ModelProfile) -> str:
    """Return why no engine can run such a model, or an empty string."""
    if not 0 <= profile.layers <= MAX_LAYERS:
        return f"layers is not between 0 and {MAX_LAYERS}"
    if len(profile.kinds) > MAX_KINDS:
        return f"there are more than {MAX_KINDS} kinds"
    for part in (profile, *profile.kinds):
        for name, value in part._asdict().items():
            if isinstance(value, int | float) and not 0 <= value < math.inf:
                return f"{name} is below 0 or not finite"
    return ""


def is_servable(profile: ModelProfile) -> bool:
    """Return whether the model's layers can be spread over engines."""
    return 0 < profile.layers <= MAX_LAYERS


def within_bounds(profile: ModelProfile) -> ModelProfile:
    """Return a model with finite costs; usual values are unchanged.

    The number of layers is never changed, as each token has to run all of them.
    """
    kinds = tuple(
        KindProfile(kind.name, *(_clamp(value) for value in kind[1:]))
        for kind in profile.kinds[:MAX_KINDS]
    )
    return profile._replace(
        layer_mb=_clamp(profile.layer_mb),
        token_kv_bytes=_clamp(profile.token_kv_bytes),
        activation_bytes=_clamp(profile.activation_bytes),
        link_mbps=_clamp(profile.link_mbps, MIN_RATE),
        pipe_mbps=_clamp(profile.pipe_mbps, MIN_RATE),
        step_ms=_clamp(profile.step_ms),
        per_seq_ms=_clamp(profile.per_seq_ms),
        read_per_s=_clamp(profile.read_per_s, MIN_RATE),
        load_s=_clamp(profile.load_s),
        loads_at_once=_clamp(profile.loads_at_once),
        slots=_clamp(profile.slots),
        usual_prompt_tokens=_clamp(profile.usual_prompt_tokens, 0, MAX_TOKENS),
        usual_answer_tokens=_clamp(profile.usual_answer_tokens, 0, MAX_TOKENS),
        stride=_clamp(profile.stride, 1),
        chunk_tokens=_clamp(profile.chunk_tokens, 1),
        kinds=kinds,
    )


def _clamp(value, least=0, most=MAX_AMOUNT):
    return min(most, max(least, value))


def kind_of(profile: ModelProfile, name: str) -> KindProfile | None:
    """Return the kind with a name, or None."""
    for kind in profile.kinds:
        if kind.name == name:
            return kind
    return None


def token_layer_mb(profile: ModelProfile) -> float:
    """Return the memory of one token in one layer, in megabytes."""
    return profile.token_kv_bytes / profile.layers / 1e6


def room_tokens(profile: ModelProfile, kind: KindProfile, layers: int) -> float:
    """Return how many tokens fit on an accelerator beside a number of layers."""
    if layers <= 0:
        return 0.0
    free_mb = kind.size_mb - layers * profile.layer_mb
    if free_mb < 0.0:
        return 0.0
    return fitting_tokens(free_mb, layers * token_layer_mb(profile))


def fitting_tokens(free_mb: float, token_mb: float) -> float:
    """Return how many tokens fit into memory; a token may need none."""
    if token_mb <= 0.0:
        return MAX_ROOM_TOKENS
    return min(MAX_ROOM_TOKENS, free_mb / token_mb)


def max_layers(profile: ModelProfile, kind: KindProfile, reserve_tokens: float) -> int:
    """Return the most layers that leave room for the reserved tokens."""
    per_layer_mb = profile.layer_mb + reserve_tokens * token_layer_mb(profile)
    if per_layer_mb * profile.layers <= kind.size_mb:
        return profile.layers
    return min(profile.layers, int(kind.size_mb / per_layer_mb))
