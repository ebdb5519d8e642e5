"""Planning of which layers each engine is to hold.

Load pattern: engines of several sizes start empty, die with their layers, leave and
come back empty, while requests go on. The memory of an engine beside its layers holds
requests, and the range with the least such room limits its data centre. Without a plan
some ranges have room for three times the requests of others, and the loss of one engine
stops a data centre although other engines have free memory.

Each data centre is planned by itself if its engines can hold one whole copy, since the
pipes between data centres are shared and slow. The engines of an empty data centre are
laid out at once (`layout`); engines that join later go where the room is least. While
there is a hole, requests use another data centre's copy, until the neighbours of the
lost range have taken it over.

A plan is made between two messages of its process, so its work is bounded. What is
missing from a plan that was cut short follows with the next one.
"""

import collections
from collections.abc import Iterable

from .layout import (
    Engine,
    EngineState,
    Placement,
    by_size,
    choose_target,
    lay_out,
    layer_room,
)
from .profile import (
    NO_LAYERS,
    LayerRange,
    ModelProfile,
    kind_of,
    max_layers,
    room_tokens,
)

# The least room that an engine keeps beside its layers, a dozen usual requests. With
# less a burst stops every stream through it.
MIN_ROOM_TOKENS = 12_000.0
# Neighbours take over a hole before any engine is moved as long as they keep this much
# room, some 25 usual requests: they go on serving their own range, and load only the
# missing layers.
EARLY_EXTENSION_ROOM_TOKENS = 25_000.0
# Share of a copy's room that may be missing before a data centre counts as short of an
# engine. Ranges differ by a tenth; a range that its neighbours took over has half.
SHORTAGE_SHARE = 0.3
# The least gain of a move. The moved engine's old range loses room, so the move has to
# close a hole.
MIN_MOVE_GAIN = 500.0
# Cost of loading one layer, deducted from the gain of a move: of moves with equal gain
# the fastest is preferred.
LAYER_LOAD_COST = 2.0
# Layers that one plan may look at. Plans for some hundred engines with holes look at a
# few hundred thousand, in about a tenth of a second.
MAX_VISITS = 600_000
# Adding up the values of a range takes far less than finding them.
SUMMED_PER_VISIT = 16
# Value of covering a layer that no engine holds, against 1 for a layer with the planned
# room. A hole stops the data centre.
HOLE_VALUE = 1000.0


class _Effort:
    """The work that is left for a group's plan."""

    def __init__(self, visits):
        self.visits = visits

    @property
    def is_spent(self):
        return self.visits <= 0


def plan(profile: ModelProfile, states: Iterable[EngineState]) -> list[Placement]:
    """Return the placements to order now, none if no change is needed."""
    states = list(states)
    engines = [
        Engine(state, kind)
        for state in states
        if not state.is_leaving
        and state.holding.end <= profile.layers
        and (kind := kind_of(profile, state.kind)) is not None
    ]
    placements = []
    leaving = [state for state in states if state.is_leaving]
    groups = _groups(profile, engines)
    for group in groups:
        effort = _Effort(MAX_VISITS // len(groups))
        placements += _plan_group(profile, group, leaving, effort)
    return placements


def rooms(profile: ModelProfile, engines: Iterable[Engine]) -> list[float]:
    """Return, by layer, the room in tokens on all engines that hold it together."""
    sums = [0.0] * profile.layers
    for engine in engines:
        _add(profile, sums, engine, engine.state.holding, 1)
    return sums


def _groups(profile, engines):
    """Return the engines by data centre; those too small for a copy form one group."""
    zones: dict[str, list[Engine]] = {}
    for engine in engines:
        zones.setdefault(engine.state.vm_zone, []).append(engine)
    groups, pooled = [], []
    for _, group in sorted(zones.items()):
        max_held = sum(max_layers(profile, e.kind, MIN_ROOM_TOKENS) for e in group)
        if max_held >= profile.layers:
            groups.append(group)
        else:
            pooled += group
    return [*groups, pooled] if pooled else groups


def _plan_group(profile, group, leaving, effort):
    """Return the placements for one group of engines.

    An engine that has just joined is not placed while nothing is missing. When engines
    are replaced one by one, the new engine joins first, and the old one announces a
    second later that it leaves. If the new one were placed at once, it would hold other
    layers by then. It is placed when an engine of its kind leaves, or when room is
    short: an engine that is back after a crash is needed, even if its neighbours have
    closed the hole at the expense of their room. Waiting would delay its layers by 2 s.
    """
    awaited = _count_awaited(group, leaving)
    target = choose_target(profile, group)
    copies, room = target
    sums = rooms(profile, group)
    placements = _lay_out_empty(profile, group, target)
    for placement in placements:
        _add(profile, sums, _engine_of(group, placement), placement.holding, 1)
    is_short = min(sums) < (copies - SHORTAGE_SHARE) * room
    empty = [
        e
        for e in _without(group, placements)
        if e.state.holding == NO_LAYERS
        and not e.state.is_busy
        and (is_short or not e.state.is_fresh or _claim_awaited(e, awaited))
    ]
    for engine in by_size(empty):
        if effort.is_spent:
            break
        holding = _best_range(profile, engine, sums, room, effort)
        if holding != NO_LAYERS:
            placements.append(Placement(engine.state, holding))
            _add(profile, sums, engine, holding, 1)
    if 0.0 not in sums:
        return placements
    movable = [e for e in group if e.state.holding != NO_LAYERS and not e.state.is_busy]
    extended = _extend(profile, movable, sums, EARLY_EXTENSION_ROOM_TOKENS, effort)
    movable = _without(movable, extended)
    moved = _move(profile, movable, sums, room, effort)
    movable = _without(movable, moved)
    stretched = _extend(profile, movable, sums, MIN_ROOM_TOKENS, effort)
    return placements + extended + moved + stretched


def _lay_out_empty(profile, group, target):
    """Return the initial layout if no engine of the group holds any layers."""
    if any(e.state.holding != NO_LAYERS or e.state.is_busy for e in group):
        return []
    return lay_out(profile, group, target)


def _engine_of(group, placement):
    return next(e for e in group if e.state is placement.state)


def _count_awaited(group, leaving):
    """Return, by zone and kind, how many leaving engines have no replacement yet."""
    counts = collections.Counter((h.vm_zone, h.kind) for h in leaving)
    for engine in group:
        state = engine.state
        if state.is_fresh and state.holding != NO_LAYERS:
            counts[state.vm_zone, state.kind] -= 1
    return counts


def _claim_awaited(engine, awaited):
    place = engine.state.vm_zone, engine.state.kind
    awaited[place] -= 1
    return awaited[place] >= 0


def _without(engines, placements):
    placed = {placement.state.engine_id for placement in placements}
    return [e for e in engines if e.state.engine_id not in placed]


def _add(profile, sums, engine, holding, sign):
    first_room = layer_room(profile, engine.kind, holding, 0)
    usual_room = room_tokens(profile, engine.kind, holding.end - holding.first)
    for layer in range(holding.first, holding.end):
        # A held layer never counts as a hole, however little room there is.
        room = max(1.0, usual_room if layer else first_room)
        # Rounded, so that removing a range again leaves exactly zero.
        sums[layer] = max(0.0, round(sums[layer] + sign * room))


def _layer_value(room, planned):
    if room <= 0.0:
        return HOLE_VALUE
    return (planned / room) ** 2


def _range_value(sums, holding, planned):
    layers = range(holding.first, holding.end)
    return sum(_layer_value(sums[layer], planned) for layer in layers)


def _best_range(profile, engine, sums, room, effort):
    """Return the range of most value, of the length that leaves the planned room."""
    length = max_layers(profile, engine.kind, room)
    if length < 1:
        length = min(1, max_layers(profile, engine.kind, MIN_ROOM_TOKENS))
    best, best_value = NO_LAYERS, -1.0
    if length < 1:
        return best
    effort.visits -= profile.layers * (1 + length // SUMMED_PER_VISIT)
    values = [_layer_value(free, room) for free in sums]
    for first in range(0, profile.layers - length + 1):
        value = sum(values[first : first + length])
        if value > best_value + 1e-9:
            best, best_value = LayerRange(first, first + length), value
    return best


def _extend(profile, movable, sums, min_room, effort):
    """Extend the ranges of the neighbours of each hole until they cover it.

    The neighbours go on serving their own range while the new layers load.
    """
    held = {e.state.engine_id: e.state.holding for e in movable}
    while (hole := _first_hole(sums)) is not None and not effort.is_spent:
        step = _best_extension(profile, movable, held, hole, min_room)
        if step is None:
            break
        engine, holding = step
        effort.visits -= len(movable) + 2 * (holding.end - holding.first)
        _add(profile, sums, engine, held[engine.state.engine_id], -1)
        _add(profile, sums, engine, holding, 1)
        held[engine.state.engine_id] = holding
    return [
        Placement(e.state, held[e.state.engine_id])
        for e in movable
        if held[e.state.engine_id] != e.state.holding
    ]


def _first_hole(sums):
    if 0.0 not in sums:
        return None
    first = sums.index(0.0)
    end = first
    while end < len(sums) and sums[end] == 0.0:
        end += 1
    return LayerRange(first, end)


def _best_extension(profile, movable, held, hole, min_room):
    """Return the extension by one layer that leaves the most room, or None."""
    best = None
    for engine in movable:
        old = held[engine.state.engine_id]
        for new in _extended_ranges(old, hole):
            length = new.end - new.first
            if length > max_layers(profile, engine.kind, min_room):
                continue
            room = room_tokens(profile, engine.kind, length)
            if best is None or room > best[0]:
                best = (room, engine, new)
    return best and best[1:]


def _extended_ranges(old, hole):
    if old.first <= hole.first <= old.end:
        yield LayerRange(old.first, max(old.end, hole.first + 1))
    if old.first <= hole.end <= old.end:
        yield LayerRange(min(old.first, hole.end - 1), old.end)


def _count_new_layers(old, new):
    common = min(old.end, new.end) - max(old.first, new.first)
    return new.end - new.first - max(0, common)


def _move(profile, movable, sums, room, effort):
    """Move engines whose layers others hold as well to layers that no engine holds."""
    placements = []
    while 0.0 in sums:
        best = None
        for engine in movable:
            if effort.is_spent:
                break
            old = engine.state.holding
            _add(profile, sums, engine, old, -1)
            holding = _best_range(profile, engine, sums, room, effort)
            gain = _range_value(sums, holding, room) - _range_value(sums, old, room)
            gain -= LAYER_LOAD_COST * _count_new_layers(old, holding)
            _add(profile, sums, engine, old, 1)
            if gain > MIN_MOVE_GAIN and (best is None or gain > best[0]):
                best = (gain, engine, holding)
        if best is None:
            break
        _, engine, holding = best
        movable = [e for e in movable if e is not engine]
        _add(profile, sums, engine, engine.state.holding, -1)
        _add(profile, sums, engine, holding, 1)
        placements.append(Placement(engine.state, holding))
    return placements
