"""Which chain of engines a request takes.

Load pattern: every request needs each layer once, in order, and several engines hold
each layer: some fast, some nearly full, some behind a slow link between data centres.
Without a choice by cost all requests take the first chain that fits, its memory runs
full, and the newest streams stop in the middle while other engines idle.

A chain is found by the cheapest way from layer 0 to the last one over the places at
which some engine's range begins or ends.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .profile import ModelProfile, kind_of, room_tokens

# Engines refuse a longer chain.
MAX_PARTS = 32
# One hop costs at least this beside the transfer: some 0.1 ms on the wire inside a data
# centre, and the engine's own hand-over.
HOP_S = 0.0002
# How much of an engine's room counts as full. What it can't hold it pushes out in the
# middle of a stream; but each stream counts here with its whole answer from the start,
# about a tenth more than it holds on the average.
FULL_SHARE = 1.0
# Cost per token of a crossing between data centres. It has to outweigh any gain of a
# faster engine there (a whole copy on slow accelerators takes 10 to 20 ms a token),
# since the pipe between them is shared by all requests.
CROSSING_S = 0.05
# There and back once: what one hole or one full range in a data centre asks for.
MAX_CROSSINGS = 2
# Cost per token of a wait of one second for a first event. A usual objective is half a
# second; a wait of half of it counts as much as half of going to another data centre.
# Late answers are worth a fraction of those in time, slower ones as much.
WAIT_COST = 0.04
# Cost per token of a whole chain in another data centre. Its activations cross no
# pipe, only the answer does: it is worth it once the home engines are two thirds full.
FOREIGN_S = 0.02


class Candidate(NamedTuple):
    """An engine as the chooser sees it."""

    address: str
    engine_id: str
    vm_zone: str
    kind: str
    first: int
    end: int
    # Requests and tokens that are thought to run through it.
    running: float = 0.0
    tokens: float = 0.0
    # Over 1 for an engine that answers slower than its kind.
    slowness: float = 1.0
    # Those of the running ones whose chain begins here.
    firsts: float = 0.0
    # Tokens of prompts that were sent through it and gave no event yet.
    unread: float = 0.0
    # Multiplies its cost. Somewhat different for each choice, it keeps the choices of
    # many entries that know the same from being all alike.
    jitter: float = 1.0


class Part(NamedTuple):
    """One engine's part of a chain."""

    address: str
    engine_id: str
    first: int
    end: int


class Need(NamedTuple):
    """What a request asks of a chain; `tokens` is prompt and expected answer."""

    tokens: float
    home_zone: str


Chain = tuple[Part, ...]


def covers(chain: Iterable[Part], layers: int) -> bool:
    """Tell whether a chain runs each layer once, in order, on different engines."""
    position = 0
    seen = set()
    for part in chain:
        if part.first != position or part.end <= part.first or part.address in seen:
            return False
        seen.add(part.address)
        position = part.end
    return position == layers


def part_cost_s(profile: ModelProfile, engine: Candidate) -> float:
    """Return what one layer of one token costs on an engine, in seconds."""
    kind = kind_of(profile, engine.kind)
    room = room_tokens(profile, kind, engine.end - engine.first)
    fill = engine.tokens / room if room else 1.0
    # It rises late: with 1 - fill a fast engine at half of its room counted as twice as
    # slow, and streams went to the slowest kind while the fast ones had room. At nine
    # tenths it is 5, enough to turn to another copy before this one refuses.
    crowd = 1.0 / max(0.05, 1.0 - fill * fill)
    return layer_step_s(profile, engine) * crowd * engine.jitter


def reading_wait_s(profile: ModelProfile, engine: Candidate) -> float:
    """Return how long an engine reads the prompts that wait there, in seconds.

    It reads a part of them in each pass, and a pass takes a step of every stream that
    runs. So an engine with many streams reads few prompts a second, however fast it
    reads one alone: the newest ones wait while other engines are idle.
    """
    if not engine.unread:
        return 0.0
    kind = kind_of(profile, engine.kind)
    layers = engine.end - engine.first
    share = layers / profile.layers
    read_s = profile.chunk_tokens / profile.read_per_s
    read_s *= kind.read_factor * engine.slowness * share
    pass_s = profile.stride * layer_step_s(profile, engine) * layers + read_s
    return engine.unread / profile.chunk_tokens * pass_s


def layer_step_s(profile: ModelProfile, engine: Candidate) -> float:
    """Return how long one step takes in one layer on an engine, in seconds."""
    kind = kind_of(profile, engine.kind)
    step_s = (profile.step_ms + profile.per_seq_ms * engine.running) / 1000
    return step_s * kind.pace * engine.slowness / profile.layers


def has_room(profile: ModelProfile, engine: Candidate, tokens: float) -> bool:
    """Tell whether an engine's memory takes a request beside those that run."""
    kind = kind_of(profile, engine.kind)
    if kind is None or engine.end > profile.layers:
        # It speaks of another model than this one.
        return False
    room = room_tokens(profile, kind, engine.end - engine.first)
    return engine.tokens + tokens <= FULL_SHARE * room


def choose_chain(
    profile: ModelProfile, engines: Iterable[Candidate], need: Need
) -> Chain | None:
    """Return the cheapest chain inside one data centre, or None.

    Data centres that can't have it are not searched: with a hole in their layers, or
    once the home one is cheaper than going elsewhere alone. Over five data centres
    with 130 engines this takes a choice from 2.2 to 0.43 ms, and from 1.7 to 0.23 ms
    where a range is full everywhere, as it is for those that wait and try again.
    """
    by_zone = _by_zone(e for e in engines if has_room(profile, e, need.tokens))
    best = None
    for zone in sorted(by_zone, key=lambda name: (name != need.home_zone, name)):
        away_s = FOREIGN_S if zone != need.home_zone else 0.0
        if best is not None and best[0] <= away_s:
            break
        if not _has_all_layers(profile, by_zone[zone]):
            continue
        found = _cheapest(profile, by_zone[zone], zone)
        if found is not None and (best is None or found[0] + away_s < best[0]):
            best = (found[0] + away_s, found[1])
    return best and best[1]


def has_full_copy(profile: ModelProfile, engines: Iterable[Candidate]) -> bool:
    """Tell whether some data centre holds all layers, with room or without."""
    groups = _by_zone(engines).values()
    return any(_has_all_layers(profile, group) for group in groups)


def _by_zone(engines):
    by_zone: dict[str, list[Candidate]] = {}
    for engine in engines:
        by_zone.setdefault(engine.vm_zone, []).append(engine)
    return by_zone


def _has_all_layers(profile, engines):
    end = 0
    for engine in sorted(engines, key=lambda e: e.first):
        if engine.first > end:
            return False
        end = max(end, engine.end)
    return end >= profile.layers


def choose_mixed_chain(
    profile: ModelProfile, engines: Iterable[Candidate], need: Need
) -> Chain | None:
    """Return the cheapest chain over all data centres, or None.

    Only when none of them has a whole copy with room, and with few crossings: each
    takes the request over a pipe that all share (see `pipes`). With a crossing for
    every few layers, as the cheapest way through many small gaps has it, all streams
    on the pipe stood still for two seconds.
    """
    usable = [e for e in engines if has_room(profile, e, need.tokens)]
    if not _has_all_layers(profile, usable):
        return None
    chain = cheapest_chain(profile, usable, need.home_zone)
    if chain is None or crossings(chain, usable) > MAX_CROSSINGS:
        return None
    return chain


def crossings(chain: Chain, engines: Iterable[Candidate]) -> int:
    """Return how often a chain goes from one data centre to another."""
    zones = {engine.address: engine.vm_zone for engine in engines}
    way = [zones[part.address] for part in chain]
    return sum(a != b for a, b in zip(way, way[1:], strict=False))


def replace_parts(
    profile: ModelProfile,
    chain: Chain,
    engines: Iterable[Candidate],
    lost: set[str],
    need: Need,
) -> Chain | None:
    """Return a chain that keeps every surviving part and fills the lost ones anew.

    Surviving parts keep the memory of the request, so only the new ones read it again.
    The first part stays, as the request is held there. The new parts are in its data
    centre: reading a request again over the pipe between two takes longer than reading
    it whole in the other, and all streams of a dead engine would do so at once.
    """
    kept = {part.address for part in chain} - lost
    spare = [
        e
        for e in engines
        if e.vm_zone == need.home_zone
        and e.address not in kept
        and e.address not in lost
        and has_room(profile, e, need.tokens)
    ]
    filled = []
    for part in chain:
        if part.address not in lost:
            filled.append(part)
            continue
        span = (part.first, part.end)
        found = cheapest_chain(profile, spare, need.home_zone, span)
        if found is None:
            return None
        used = {p.address for p in found}
        spare = [e for e in spare if e.address not in used]
        filled.extend(found)
    return tuple(filled) if len(filled) <= MAX_PARTS else None


def cheapest_chain(
    profile: ModelProfile,
    engines: list[Candidate],
    home_zone: str,
    span: tuple[int, int] | None = None,
) -> Chain | None:
    """Return the cheapest chain over a span of layers, or None if it has a hole."""
    found = _cheapest(profile, engines, home_zone, span)
    return found and found[1]


def _cheapest(profile, engines, home_zone, span=None):
    """Return the cost per token and the chain, or None."""
    first, end = span or (0, profile.layers)
    ends = _boundaries(engines, first, end)
    best = _relax(profile, engines, home_zone, ends)
    arrivals = [(cost, key) for key, (cost, _, _) in best.items() if key[0] == end]
    if not arrivals:
        return None
    cost, key = min(arrivals)
    chain = _merge(_walk_back(best, key))
    return (cost, chain) if len(chain) <= MAX_PARTS else None


def tightest_layer(
    profile: ModelProfile, engines: Iterable[Candidate]
) -> tuple[int, float]:
    """Return the layer with the least free room on all engines, and the free tokens."""
    free = [0.0] * profile.layers
    for engine in engines:
        kind = kind_of(profile, engine.kind)
        if kind is None or engine.end > profile.layers:
            continue
        room = room_tokens(profile, kind, engine.end - engine.first)
        for layer in range(engine.first, engine.end):
            free[layer] += max(0.0, FULL_SHARE * room - engine.tokens)
    layer = min(range(profile.layers), key=free.__getitem__)
    return layer, free[layer]


def _boundaries(engines, first, end):
    marks = {first, end}
    for engine in engines:
        marks.update(m for m in (engine.first, engine.end) if first < m < end)
    return sorted(marks)


def _relax(profile, engines, home_zone, marks):
    """Return, by (layer, zone), the least cost and the step that led there."""
    best = {(marks[0], home_zone): (0.0, None, None)}
    prices = {e.address: part_cost_s(profile, e) for e in engines}
    waits = {e.address: WAIT_COST * reading_wait_s(profile, e) for e in engines}
    hop_s = HOP_S + profile.activation_bytes * 8 / (profile.link_mbps * 1e6)
    for at in marks[:-1]:
        states = [(k, v[0]) for k, v in best.items() if k[0] == at]
        for engine in engines:
            if not engine.first <= at < engine.end:
                continue
            if at == 0 and engine.firsts >= profile.slots:
                # It would refuse the request, which costs a retry.
                continue
            cost, state = _cheapest_entry(states, engine.vm_zone)
            if state is None:
                continue
            cost += waits[engine.address]
            for to in marks:
                if at < to <= engine.end:
                    total = cost + hop_s + (to - at) * prices[engine.address]
                    _offer(best, (to, engine.vm_zone), total, state, engine)
    return best


def _cheapest_entry(states, zone):
    found = (0.0, None)
    for state, cost in states:
        cost += 0.0 if state[1] == zone else CROSSING_S
        if found[1] is None or cost < found[0]:
            found = (cost, state)
    return found


def _offer(best, key, cost, state, engine):
    known = best.get(key)
    if known is None or cost < known[0]:
        best[key] = (cost, state, engine)


def _walk_back(best, key):
    parts = []
    while True:
        _, state, engine = best[key]
        if engine is None:
            break
        parts.append(Part(engine.address, engine.engine_id, state[0], key[0]))
        key = state
    parts.reverse()
    return parts


def _merge(parts):
    """Give an engine that came twice everything between, which it holds as well.

    The engines refuse a chain that names one of them twice.
    """
    merged: list[Part] = []
    for part in parts:
        earlier = _index_of(merged, part.address)
        if earlier is None:
            merged.append(part)
        else:
            merged[earlier] = merged[earlier]._replace(end=part.end)
            del merged[earlier + 1 :]
    return tuple(merged)


def _index_of(parts, address):
    for index, part in enumerate(parts):
        if part.address == address:
            return index
    return None
