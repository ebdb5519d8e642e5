"""Which layers each engine is to hold.

Load pattern: engines of several sizes start empty, die with their layers, leave and
come back empty, while requests go on. What an engine's memory has left beside its
layers holds requests, and the range with the least room bounds its data centre.
Without a plan some ranges have room for three times the requests of others, and one
engine's death stops a data centre with memory idle beside it.

Each data centre is planned by itself as far as its engines hold one whole copy, since
the pipes between them are shared and slow. What the engines of an empty one get is
laid out at once (`layout`); whoever comes later goes where the room is least. Another
centre's copy stands in for a hole until the neighbours of the lost range have taken it
over.
"""

import collections
from collections.abc import Iterable

from .layout import Engine, EngineState, Placement, aim_of, by_size, lay_out, layer_room
from .profile import (
    NO_LAYERS,
    LayerRange,
    ModelProfile,
    kind_of,
    most_layers,
    room_tokens,
)

# The least room beside its layers that an engine may be left with. It is a dozen
# usual requests; with less a burst stops every stream through it.
LEAST_ROOM_TOKENS = 12_000.0
# A neighbour takes over a hole at once while it keeps this much room, some 25 usual
# requests: it goes on serving its own range, and loads only what it lacks.
EASY_ROOM_TOKENS = 25_000.0
# Part of a copy's room that may be missing before a data centre counts as short of an
# engine. Ranges differ by a tenth, and one that its neighbours took over has half.
SHORT_SHARE = 0.3
# A move takes an engine's range away from where it was, so it has to close a hole.
MOVE_GAIN = 500.0
# What loading one layer takes off the worth of a move: among moves that close as much,
# the one that is done first.
LOAD_COST = 2.0
# What a layer that nobody holds is worth, against 1 for one with the planned room: it
# stops the data centre.
HOLE_VALUE = 1000.0


def plan(profile: ModelProfile, holders: Iterable[EngineState]) -> list[Placement]:
    """Return the placements to order now; none when all is as it should be."""
    holders = list(holders)
    engines = [
        Engine(holder, kind)
        for holder in holders
        if not holder.is_leaving
        and holder.holding.end <= profile.layers
        and (kind := kind_of(profile, holder.kind)) is not None
    ]
    placements = []
    leaving = [holder for holder in holders if holder.is_leaving]
    for group in _groups(profile, engines):
        placements += _plan_group(profile, group, leaving)
    return placements


def rooms(profile: ModelProfile, engines: Iterable[Engine]) -> list[float]:
    """Return the room in tokens that each layer has on all engines that hold it."""
    sums = [0.0] * profile.layers
    for engine in engines:
        _add(profile, sums, engine, engine.state.holding, 1)
    return sums


def _groups(profile, engines):
    """Return the engines by data centre; centres without a whole copy share one."""
    zones: dict[str, list[Engine]] = {}
    for engine in engines:
        zones.setdefault(engine.state.vm_zone, []).append(engine)
    groups, pooled = [], []
    for _, group in sorted(zones.items()):
        least = sum(most_layers(profile, e.kind, LEAST_ROOM_TOKENS) for e in group)
        if least >= profile.layers:
            groups.append(group)
        else:
            pooled += group
    return [*groups, pooled] if pooled else groups


def _plan_group(profile, group, leaving):
    """Return the placements for one data centre.

    An engine that has just come waits while nothing is missing: when engines are
    replaced one by one the new one comes first, and the old one says a second later
    that it leaves. Placed at once, the new one would be elsewhere by then. One of its
    kind that leaves ends the wait, and so does a lack of room: an engine that is back
    after a crash is needed, though its neighbours have closed the hole meanwhile with
    what room they had. With the wait, it held layers 2 s later.
    """
    awaited = _awaited(group, leaving)
    aim = aim_of(profile, group)
    copies, room = aim
    sums = rooms(profile, group)
    placements = _lay_out_empty(profile, group, aim)
    for placement in placements:
        _add(profile, sums, _engine_of(group, placement), placement.holding, 1)
    is_short = min(sums) < (copies - SHORT_SHARE) * room
    empty = [
        e
        for e in _without(group, placements)
        if e.state.holding == NO_LAYERS
        and not e.state.is_busy
        and (is_short or not e.state.is_fresh or _is_awaited(e, awaited))
    ]
    for engine in by_size(empty):
        holding = _best_range(profile, engine, sums, room)
        if holding != NO_LAYERS:
            placements.append(Placement(engine.state, holding))
            _add(profile, sums, engine, holding, 1)
    if 0.0 not in sums:
        return placements
    movable = [e for e in group if e.state.holding != NO_LAYERS and not e.state.is_busy]
    extended = _extend(profile, movable, sums, EASY_ROOM_TOKENS)
    movable = _without(movable, extended)
    moved = _move(profile, movable, sums, room)
    movable = _without(movable, moved)
    stretched = _extend(profile, movable, sums, LEAST_ROOM_TOKENS)
    return placements + extended + moved + stretched


def _lay_out_empty(profile, group, aim):
    """Return the first ranges of a data centre whose engines hold nothing at all."""
    if any(e.state.holding != NO_LAYERS or e.state.is_busy for e in group):
        return []
    return lay_out(profile, group, aim)


def _engine_of(group, placement):
    return next(e for e in group if e.state is placement.state)


def _awaited(group, leaving):
    """Return how many engines leave for which none has come, by place and kind."""
    counts = collections.Counter((h.vm_zone, h.kind) for h in leaving)
    for engine in group:
        holder = engine.state
        if holder.is_fresh and holder.holding != NO_LAYERS:
            counts[holder.vm_zone, holder.kind] -= 1
    return counts


def _is_awaited(engine, awaited):
    place = engine.state.vm_zone, engine.state.kind
    awaited[place] -= 1
    return awaited[place] >= 0


def _without(engines, placements):
    placed = {placement.state.engine_id for placement in placements}
    return [e for e in engines if e.state.engine_id not in placed]


def _add(profile, sums, engine, holding, sign):
    for layer in range(holding.first, holding.end):
        # A layer that is held counts as held however little room is beside it.
        room = max(1.0, layer_room(profile, engine.kind, holding, layer))
        # Rounded, so that taking a range away again leaves a true zero.
        sums[layer] = max(0.0, round(sums[layer] + sign * room))


def _value(room, planned):
    if room <= 0.0:
        return HOLE_VALUE
    return (planned / room) ** 2


def _worth(sums, holding, planned):
    layers = range(holding.first, holding.end)
    return sum(_value(sums[layer], planned) for layer in layers)


def _best_range(profile, engine, sums, room):
    """Return the range with the least room, as long as the planned room allows."""
    length = most_layers(profile, engine.kind, room)
    if length < 1:
        length = min(1, most_layers(profile, engine.kind, LEAST_ROOM_TOKENS))
    best, best_worth = NO_LAYERS, -1.0
    for first in range(0, profile.layers - length + 1) if length else ():
        holding = LayerRange(first, first + length)
        worth = _worth(sums, holding, room)
        if worth > best_worth + 1e-9:
            best, best_worth = holding, worth
    return best


def _extend(profile, movable, sums, least_room):
    """Let the neighbours of each hole take it over beside what they hold.

    They go on serving their own range while the new layers load.
    """
    held = {e.state.engine_id: e.state.holding for e in movable}
    while (hole := _first_hole(sums)) is not None:
        step = _best_extension(profile, movable, held, hole, least_room)
        if step is None:
            break
        engine, holding = step
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


def _best_extension(profile, movable, held, hole, least_room):
    """Return the extension by one layer that leaves the most room, or None."""
    best = None
    for engine in movable:
        old = held[engine.state.engine_id]
        for new in _wider(old, hole):
            length = new.end - new.first
            if length > most_layers(profile, engine.kind, least_room):
                continue
            room = room_tokens(profile, engine.kind, length)
            if best is None or room > best[0]:
                best = (room, engine, new)
    return best and best[1:]


def _wider(old, hole):
    if old.first <= hole.first <= old.end:
        yield LayerRange(old.first, max(old.end, hole.first + 1))
    if old.first <= hole.end <= old.end:
        yield LayerRange(min(old.first, hole.end - 1), old.end)


def _new_layers(old, new):
    common = min(old.end, new.end) - max(old.first, new.first)
    return new.end - new.first - max(0, common)


def _move(profile, movable, sums, room):
    """Move engines whose layers others hold to where nobody holds any."""
    placements = []
    while 0.0 in sums:
        best = None
        for engine in movable:
            old = engine.state.holding
            _add(profile, sums, engine, old, -1)
            holding = _best_range(profile, engine, sums, room)
            gain = _worth(sums, holding, room) - _worth(sums, old, room)
            gain -= LOAD_COST * _new_layers(old, holding)
            _add(profile, sums, engine, old, 1)
            if gain > MOVE_GAIN and (best is None or gain > best[0]):
                best = (gain, engine, holding)
        if best is None:
            break
        _, engine, holding = best
        movable = [e for e in movable if e is not engine]
        _add(profile, sums, engine, engine.state.holding, -1)
        _add(profile, sums, engine, holding, 1)
        placements.append(Placement(engine.state, holding))
    return placements
