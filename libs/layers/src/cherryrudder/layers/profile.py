"""What a model costs on each kind of accelerator: times, memory and links."""

from typing import NamedTuple


class KindProfile(NamedTuple):
    """One kind of accelerator; `pace` and `read_factor` multiply the model's times."""

    name: str
    size_mb: float
    pace: float
    read_factor: float


class ModelProfile(NamedTuple):
    """The model that a service's engines share, for all its layers together."""

    layers: int
    layer_mb: float
    # Memory that one token of a running request takes, summed over all layers.
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
    """The layers that an engine holds: `first` up to, without, `end`."""

    first: int
    end: int


NO_LAYERS = LayerRange(0, 0)


def kind_of(profile: ModelProfile, name: str) -> KindProfile | None:
    """Return a kind by its name."""
    for kind in profile.kinds:
        if kind.name == name:
            return kind
    return None


def token_layer_mb(profile: ModelProfile) -> float:
    """Return the memory of one token in one layer."""
    return profile.token_kv_bytes / profile.layers / 1e6


def room_tokens(profile: ModelProfile, kind: KindProfile, layers: int) -> float:
    """Return how many tokens fit beside so many layers on one accelerator."""
    if layers <= 0:
        return 0.0
    free_mb = kind.size_mb - layers * profile.layer_mb
    return max(0.0, free_mb) / (layers * token_layer_mb(profile))


def most_layers(profile: ModelProfile, kind: KindProfile, reserve_tokens: float) -> int:
    """Return the most layers that leave room for so many tokens."""
    per_layer_mb = profile.layer_mb + reserve_tokens * token_layer_mb(profile)
    return min(profile.layers, int(kind.size_mb / per_layer_mb))
