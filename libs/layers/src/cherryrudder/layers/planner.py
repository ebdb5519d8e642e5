"""Which layers each engine is to hold.

Load pattern: engines of several sizes start empty, die with their layers, leave and
come back empty, while requests go on. Without a plan each range has as many copies as
chance gives: one engine's death then stops a whole data centre, with memory idle
beside it.

Each data centre is planned by itself as far as its engines hold one whole copy, since
the pipes between them are shared and slow. Every empty engine takes the range that is
held least; an engine whose layers others hold as well moves only to close a hole.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .profile import NOTHING, Holding, ModelProfile, kind_of, most_layers

# Tokens that an engine keeps room for beside its layers. A data centre has some 25
# streams of 950 tokens under way at once in the usual hour (11 a second, 2.2 s each);
# with bursts of 1.7 times this is 40,000, of which two copies share a part.
RESERVE_TOKENS = 30_000.0
# What one more copy of a layer is worth, by the number of copies there are. A hole
# stops the data centre, a second copy saves it from one loss, a third rarely counts.
COPY_VALUES = (100.0, 1.0, 0.05)
FURTHER_COPY_VALUE = 0.01
# A move costs seconds of loading and leaves its old range thinner. Only a hole of one
# layer or more, less the second copies that are given up, outweighs it.
MOVE_GAIN = 50.0


class Holder(NamedTuple):
    """An engine as the planner sees it; `holding` is what it has or is loading."""

    address: str
    engine_id: str
    vm_zone: str
    kind: str
    holding: Holding = NOTHING
    # Told to load and not done yet, or not to be moved for another reason.
    is_busy: bool = False
    is_leaving: bool = False


class Placement(NamedTuple):
    """An engine is to hold this range from now on."""

    holder: Holder
    holding: Holding


def plan(profile: ModelProfile, holders: Iterable[Holder]) -> list[Placement]:
    """Return the placements to order now; none when all is as it should be."""
    known = [h for h in holders if kind_of(profile, h.kind) is not None]
    placements = []
    for group in _groups(profile, known):
        placements += _plan_group(profile, group)
    return placements


def reserve_tokens(profile: ModelProfile, holders: Iterable[Holder]) -> float:
    """Return the room that leaves enough layers for one whole copy.

    With few or small engines a whole copy goes before room for many requests.
    """
    kinds = [kind_of(profile, h.kind) for h in holders]
    reserve = RESERVE_TOKENS
    while reserve > 500.0:
        if sum(most_layers(profile, k, reserve) for k in kinds) >= profile.layers:
            return reserve
        reserve /= 1.5
    return reserve


def _groups(profile, holders):
    """Return the engines by data centre; centres without a whole copy share one."""
    zones: dict[str, list[Holder]] = {}
    for holder in holders:
        zones.setdefault(holder.vm_zone, []).append(holder)
    groups, pooled = [], []
    for _, group in sorted(zones.items()):
        kinds = [kind_of(profile, h.kind) for h in group if not h.is_leaving]
        least = sum(most_layers(profile, kind, 500.0) for kind in kinds)
        if least >= profile.layers:
            groups.append(group)
        else:
            pooled += group
    return [*groups, pooled] if pooled else groups


def _plan_group(profile, group):
    staying = [h for h in group if not h.is_leaving]
    reserve = reserve_tokens(profile, staying)
    copies = count_copies(profile, staying)
    placements = []
    empty = [h for h in staying if h.holding == NOTHING and not h.is_busy]
    empty.sort(key=lambda h: (-kind_of(profile, h.kind).size_mb, h.address))
    for holder in empty:
        holding = _best_range(profile, holder, copies, reserve)
        if holding != NOTHING:
            placements.append(Placement(holder, holding))
            _add(copies, holding, 1)
    if 0 in copies:
        placements += _close_holes(profile, staying, copies, reserve)
    return placements


def count_copies(profile: ModelProfile, holders: Iterable[Holder]) -> list[int]:
    """Return how many engines hold each layer."""
    copies = [0] * profile.layers
    for holder in holders:
        _add(copies, holder.holding, 1)
    return copies


def _add(copies, holding, count):
    for layer in range(holding.first, holding.end):
        copies[layer] += count


def _value(copies):
    if copies < len(COPY_VALUES):
        return COPY_VALUES[copies]
    return FURTHER_COPY_VALUE


def _best_range(profile, holder, copies, reserve):
    length = most_layers(profile, kind_of(profile, holder.kind), reserve)
    if length < 1:
        return NOTHING
    best, best_worth = NOTHING, -1.0
    for first in range(0, profile.layers - length + 1):
        worth = sum(_value(copies[layer]) for layer in range(first, first + length))
        if worth > best_worth + 1e-9:
            best, best_worth = Holding(first, first + length), worth
    return best


def _close_holes(profile, staying, copies, reserve):
    """Move engines whose layers others hold to where nobody holds any."""
    placements = []
    movable = [h for h in staying if h.holding != NOTHING and not h.is_busy]
    while 0 in copies:
        best = None
        for holder in movable:
            _add(copies, holder.holding, -1)
            holding = _best_range(profile, holder, copies, reserve)
            gain = _worth(copies, holding) - _worth(copies, holder.holding)
            _add(copies, holder.holding, 1)
            if gain > MOVE_GAIN and (best is None or gain > best[0]):
                best = (gain, holder, holding)
        if best is None:
            return placements
        _, holder, holding = best
        movable.remove(holder)
        _add(copies, holder.holding, -1)
        _add(copies, holding, 1)
        placements.append(Placement(holder, holding))
    return placements


def _worth(copies, holding):
    return sum(_value(copies[layer]) for layer in range(holding.first, holding.end))
