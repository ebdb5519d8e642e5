"""How the engines of an empty data centre share out the layers.

Load pattern: a burst, or the traffic of a data centre that was lost, comes to engines
of several sizes. What ends first is not their time but their room: the memory beside
the layers of the range that has the least, and the places of the engines that hold the
first layer, each of which takes only so many requests. Ranges laid out one by one, each
where the least room is, overlap by a few layers here and there; the range that is left
over has half of the room of the others, and requests are refused while most engines
could take twice as many.

So a copy is laid end to end, the largest engines first, with the most room a layer for
which all copies fit. Engines with a small range more hold the first layers, until their
places take as many requests as the rest has room for.
"""

import functools
from collections.abc import Iterable
from typing import NamedTuple

from .profile import (
    NO_LAYERS,
    KindProfile,
    LayerRange,
    ModelProfile,
    most_layers,
    room_tokens,
    token_layer_mb,
)

# More room than this is not worth having a single copy without any layer held twice
# for: it is some sixty usual requests at once in one data centre. What engines have
# beyond it holds layers a second time, and a death there leaves no hole.
MOST_SINGLE_ROOM_TOKENS = 60_000.0
# Two whole copies are worth having while each engine keeps this much room, some twenty
# usual requests. An engine that dies then leaves no hole, and its streams go on at once
# over the other copy; without one they wait until the layers are loaded again. With
# less room than this a burst stops all streams, which is worse than a hole.
DOUBLE_ROOM_TOKENS = 22_000.0
# The least room that is tried; with less an engine takes hardly one request.
LEAST_TRIED_TOKENS = 500.0
# Between two rooms that are tried. Whole layers make for larger steps than this.
TRY_STEP = 1.03


class EngineState(NamedTuple):
    """An engine as the planner sees it; `holding` is what it has or is loading."""

    address: str
    engine_id: str
    vm_zone: str
    kind: str
    holding: LayerRange = NO_LAYERS
    # Told to load and not done yet, or not to be moved for another reason.
    is_busy: bool = False
    is_leaving: bool = False
    # Came just now; see `planner`.
    is_fresh: bool = False


class Placement(NamedTuple):
    """An engine is to hold this range from now on."""

    state: EngineState
    holding: LayerRange


class Engine(NamedTuple):
    """A holder that stays, with what its kind can hold."""

    state: EngineState
    kind: KindProfile


class Aim(NamedTuple):
    """How many whole copies a data centre is to hold, with so much room beside each."""

    copies: int
    room_tokens: float


def aim_of(profile: ModelProfile, engines: Iterable[Engine]) -> Aim:
    """Return the most room in tokens that leaves enough layers for two whole copies.

    For one copy where two would leave the engines too little.
    """
    return _aim_of_kinds(profile, tuple(e.kind for e in by_size(engines)))


# A plan is made four times a second, while engines come and go a few times a minute.
@functools.lru_cache(maxsize=64)
def _aim_of_kinds(profile, kinds):
    room = _most_room(profile, kinds, 2)
    if room >= DOUBLE_ROOM_TOKENS:
        return Aim(2, room)
    return Aim(1, min(MOST_SINGLE_ROOM_TOKENS, _most_room(profile, kinds, 1)))


def lay_out(
    profile: ModelProfile, engines: Iterable[Engine], aim: Aim
) -> list[Placement]:
    """Return the ranges of whole copies on empty engines; some engines may be left."""
    engines = by_size(engines)
    holdings = _tile(profile, tuple(e.kind for e in engines), aim) or []
    return [
        Placement(engine.state, holding)
        for engine, holding in zip(engines, holdings, strict=False)
        if holding != NO_LAYERS
    ]


def by_size(engines: Iterable[Engine]) -> list[Engine]:
    """Return engines with the largest first, in the same order every time."""
    return sorted(engines, key=lambda e: (-e.kind.size_mb, e.state.address))


def layer_room(
    profile: ModelProfile, kind: KindProfile, holding: LayerRange, layer: int
) -> float:
    """Return the room in tokens that an engine gives one of its layers.

    On the first layer its places bound it as well: a request takes one of them at the
    engine that it goes to.
    """
    room = room_tokens(profile, kind, holding.end - holding.first)
    return min(room, slot_tokens(profile)) if layer == 0 else room


def slot_tokens(profile: ModelProfile) -> float:
    """Return the tokens of as many usual requests as an engine has places for."""
    usual_tokens = profile.usual_prompt_tokens + profile.usual_answer_tokens
    return profile.slots * usual_tokens


def _most_room(profile, kinds, copies):
    """Return the most room a layer for which so many copies fit."""
    layer_mb = sum(kind.size_mb for kind in kinds) / (copies * profile.layers)
    room = (layer_mb - profile.layer_mb) / token_layer_mb(profile)
    while room > LEAST_TRIED_TOKENS:
        if _tile(profile, kinds, Aim(copies, room)) is not None:
            return room
        room /= TRY_STEP
    return LEAST_TRIED_TOKENS


def _tile(profile, kinds, aim):
    """Return the ranges of whole copies laid end to end, one for each engine in turn.

    None when the engines don't suffice. Engines beyond the last range get none.
    """
    holdings = []
    lengths = (most_layers(profile, kind, aim.room_tokens) for kind in kinds)
    for _ in range(aim.copies):
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
    while first_room < aim.copies * aim.room_tokens:
        length = next(lengths, None)
        if length is None:
            return None
        holdings.append(LayerRange(0, length) if length else NO_LAYERS)
        first_room += _first_layer_room(profile, kinds[len(holdings) - 1], holdings[-1])
    return holdings


def _first_layer_room(profile, kind, holding):
    """Return the room that an engine gives the first layer."""
    if holding == NO_LAYERS or holding.first:
        return 0.0
    return layer_room(profile, kind, holding, 0)
