"""Initial layout of the layers on the engines of an empty data centre.

Load pattern: a burst, or the traffic of a lost data centre, comes to engines of several
sizes. Their limit is not compute time but room: the memory beside the layers, in the
range that has the least, and the slots of the engines that hold the first layer, each
of which takes a limited number of requests. If ranges are placed one by one, each
where the room is least, they overlap by a few layers in places. The remaining range
then has half the room of the others, and requests are refused while most engines could
take twice as many.

So each copy is laid out end to end, the largest engines first, with the most room per
layer for which all copies fit. Then additional engines hold a range of the first
layers, until their slots take as many requests as the rest has room for.
"""

import functools
from collections.abc import Iterable
from typing import NamedTuple

from .profile import (
    NO_LAYERS,
    KindProfile,
    LayerRange,
    ModelProfile,
    fitting_tokens,
    max_layers,
    room_tokens,
    token_layer_mb,
)

# Room of a single copy beyond which engines hold layers a second time instead, so that
# the loss of one of them leaves no hole. It is some sixty usual requests at once in one
# data centre.
MAX_SINGLE_COPY_ROOM_TOKENS = 60_000.0
# Two whole copies are used if each engine keeps this much room, some twenty usual
# requests. The loss of an engine then leaves no hole, and its streams go on at once
# over the other copy; with one copy they wait until the layers are loaded again. With
# less room a burst stops all streams, which is worse than a hole.
MIN_TWO_COPY_ROOM_TOKENS = 22_000.0
# The least room that is tried; with less an engine has hardly room for one request.
MIN_TRIED_ROOM_TOKENS = 500.0
# Factor between two rooms that are tried. The step of a whole layer is larger.
ROOM_STEP_FACTOR = 1.03


class EngineState(NamedTuple):
    """An engine as the planner sees it; `holding` is the range it has or is loading."""

    address: str
    engine_id: str
    vm_zone: str
    kind: str
    holding: LayerRange = NO_LAYERS
    # Loading layers, or not to be moved for another reason.
    is_busy: bool = False
    is_leaving: bool = False
    # Has joined just now; see `planner`.
    is_fresh: bool = False


class Placement(NamedTuple):
    """An order for an engine to hold a range from now on."""

    state: EngineState
    holding: LayerRange


class Engine(NamedTuple):
    """An engine that is not leaving, with the profile of its kind."""

    state: EngineState
    kind: KindProfile


class Target(NamedTuple):
    """The whole copies that a data centre is to hold, and the room beside each."""

    copies: int
    room_tokens: float


def choose_target(profile: ModelProfile, engines: Iterable[Engine]) -> Target:
    """Return the target with two whole copies and the most room, in tokens, for them.

    It has one copy if two would leave the engines too little room.
    """
    return _choose_target_for_kinds(profile, tuple(e.kind for e in by_size(engines)))


# Cached since plans are made four times a second, while engines join and leave a few
# times a minute.
@functools.lru_cache(maxsize=64)
def _choose_target_for_kinds(profile, kinds):
    room = _max_room(profile, kinds, 2)
    if room >= MIN_TWO_COPY_ROOM_TOKENS:
        return Target(2, room)
    return Target(1, min(MAX_SINGLE_COPY_ROOM_TOKENS, _max_room(profile, kinds, 1)))


def lay_out(
    profile: ModelProfile, engines: Iterable[Engine], target: Target
) -> list[Placement]:
    """Return the ranges of whole copies on empty engines; some may get no range."""
    engines = by_size(engines)
    holdings = _tile(profile, tuple(e.kind for e in engines), target) or []
    return [
        Placement(engine.state, holding)
        for engine, holding in zip(engines, holdings, strict=False)
        if holding != NO_LAYERS
    ]


def by_size(engines: Iterable[Engine]) -> list[Engine]:
    """Return the engines in a fixed order, the largest first."""
    return sorted(engines, key=lambda e: (-e.kind.size_mb, e.state.address))


def layer_room(
    profile: ModelProfile, kind: KindProfile, holding: LayerRange, layer: int
) -> float:
    """Return the room in tokens that an engine has for one of its layers.

    On the first layer its slots limit it as well: a request takes a slot at the engine
    that runs the first part of its chain.
    """
    room = room_tokens(profile, kind, holding.end - holding.first)
    return min(room, slot_tokens(profile)) if layer == 0 else room


def slot_tokens(profile: ModelProfile) -> float:
    """Return the tokens of as many usual requests as an engine has slots."""
    usual_tokens = profile.usual_prompt_tokens + profile.usual_answer_tokens
    return profile.slots * usual_tokens


def _max_room(profile, kinds, copies):
    """Return the most room per layer, in tokens, for which the copies fit."""
    layer_mb = sum(kind.size_mb for kind in kinds) / (copies * profile.layers)
    room = fitting_tokens(layer_mb - profile.layer_mb, token_layer_mb(profile))
    while room > MIN_TRIED_ROOM_TOKENS:
        if _tile(profile, kinds, Target(copies, room)) is not None:
            return room
        room /= ROOM_STEP_FACTOR
    return MIN_TRIED_ROOM_TOKENS


def _tile(profile, kinds, target):
    """Return the ranges of whole copies laid end to end, one for each engine in turn.

    Return None if the engines don't suffice. Engines beyond the last range get none.
    """
    holdings = []
    lengths = (max_layers(profile, kind, target.room_tokens) for kind in kinds)
    for _ in range(target.copies):
        first = 0
        while first < profile.layers:
            length = next(lengths, None)
            if length is None:
                return None
            end = min(profile.layers, first + length)
            holdings.append(LayerRange(first, end) if length else NO_LAYERS)
            first = end
    first_room = sum(
        _first_layer_room(profile, kind, holding)
        for kind, holding in zip(kinds, holdings, strict=False)
    )
    while first_room < target.copies * target.room_tokens:
        length = next(lengths, None)
        if length is None:
            return None
        holdings.append(LayerRange(0, length) if length else NO_LAYERS)
        first_room += _first_layer_room(profile, kinds[len(holdings) - 1], holdings[-1])
    return holdings


def _first_layer_room(profile, kind, holding):
    """Return the room in tokens that an engine has for the first layer."""
    if holding == NO_LAYERS or holding.first:
        return 0.0
    return layer_room(profile, kind, holding, 0)
