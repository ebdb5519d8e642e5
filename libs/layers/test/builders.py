"""Builders of test data for the tests of layers."""

from cherryrudder.layers.chains import Candidate
from cherryrudder.layers.layout import EngineState
from cherryrudder.layers.profile import NO_LAYERS, KindProfile, LayerRange, ModelProfile

# The users' own kinds.
KINDS = (
    KindProfile("h100", 72_000.0, 1.4, 1.0),
    KindProfile("a100s", 36_000.0, 3.1, 3.2),
    KindProfile("l4", 21_600.0, 16.0, 8.2),
    KindProfile("t4", 14_400.0, 15.0, 15.0),
)
# Engines by data centre and kind, as on the users' sheets.
USERS_ENGINES = {
    "a": {"h100": 1, "a100s": 1, "l4": 5, "t4": 7},
    "b": {"a100s": 1, "l4": 8, "t4": 3},
    "c": {"a100s": 2, "l4": 4, "t4": 7},
}


def a_profile(**changes):
    """Return the users' model: 80 layers of 1,750 MB."""
    profile = ModelProfile(
        layers=80,
        layer_mb=1750.0,
        token_kv_bytes=1_180_000.0,
        activation_bytes=59_000.0,
        link_mbps=480_000.0,
        pipe_mbps=11_000.0,
        step_ms=0.85,
        per_seq_ms=0.00764,
        read_per_s=196_000.0,
        load_s=14.0,
        loads_at_once=6,
        slots=96,
        usual_prompt_tokens=772.0,
        usual_answer_tokens=174.0,
        kinds=KINDS,
    )
    return profile._replace(**changes)


def a_holder(name, kind="l4", zone="a", layers=None, **changes):
    """Return an engine, empty unless it is given a range."""
    holding = LayerRange(*layers) if layers else NO_LAYERS
    return EngineState(name, f"boot-{name}", zone, kind, holding)._replace(**changes)


def users_holders():
    """Return all engines of the users, empty."""
    return [
        a_holder(f"{zone}-{kind}-{number}", kind, zone)
        for zone, kinds in USERS_ENGINES.items()
        for kind, count in kinds.items()
        for number in range(count)
    ]


def placed(holders, placements):
    """Return the holders after the placements were carried out."""
    ranges = {p.state.address: p.holding for p in placements}
    return [h._replace(holding=ranges.get(h.address, h.holding)) for h in holders]


def candidates(holders):
    """Return holders as candidates for chains, with nothing running."""
    return [
        Candidate(h.address, h.engine_id, h.vm_zone, h.kind, *h.holding)
        for h in holders
        if h.holding != NO_LAYERS
    ]
