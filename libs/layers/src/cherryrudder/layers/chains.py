"""Choice of the chain of engines that runs a request.

Load pattern: every request needs each layer once, in order, and several engines hold
each layer: some fast, some nearly full, some behind a slow link between data centres.
Without a choice by cost all requests take the first chain that fits, its memory fills
up, and the newest streams are evicted midway while other engines are idle.

The chain is the cheapest path from layer 0 to the last one. Its nodes are the layers at
which some engine's range begins or ends.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .profile import ModelProfile, kind_of, room_tokens

# Engines refuse a longer chain.
MAX_PARTS = 32
# Fixed cost of a hop beside the transfer: some 0.1 ms of network latency inside a data
# centre, and the engine's own overhead.
HOP_S = 0.0002
# Share of an engine's room that may be used. An engine evicts streams that it can't
# hold any more, but each stream counts here with its whole answer from the start, about
# a tenth more than it holds on average.
MAX_FILL_SHARE = 1.0
# Cost per token of a crossing between data centres. It has to outweigh the gain of a
# faster engine there (a whole copy on slow accelerators takes 10 to 20 ms a token),
# since all requests share the pipe between them.
CROSSING_S = 0.05
# There and back once, which is enough for one hole or one full range in a data centre.
MAX_CROSSINGS = 2
# Cost per token of a wait of one second for the first event. A usual objective is half
# a second; a wait of half of it costs half as much as going to another data centre.
# A late answer is worth a fraction of one that is on time, but a slower one is worth
# as much.
WAIT_COST = 0.04
# Cost per token of a whole chain in another data centre. Its activations cross no
# pipe, only the answer does. It pays off once the home engines are two thirds full.
REMOTE_CHAIN_S = 0.02


class Candidate(NamedTuple):
    """An engine with its range of layers and its estimated load."""

    address: str
    engine_id: str
    vm_zone: str
    kind: str
    first: int
    end: int
    # Estimated requests running on it, and their tokens.
    running: float = 0.0
    tokens: float = 0.0
    # Greater than 1 for an engine that is slower than its kind.
    slowness: float = 1.0
    # Running requests whose chain begins at this engine.
    firsts: float = 0.0
    # Believed to start no requests. It still runs its part of chains.
    is_hanging: bool = False
    # Tokens of prompts that were sent through it and have had no event yet.
    unread: float = 0.0
    # Random factor of its cost. It keeps many entries with the same data from all
    # choosing the same chain.
    jitter: float = 1.0


class Part(NamedTuple):
    """One engine's part of a chain."""

    address: str
    engine_id: str
    first: int
    end: int


class Need(NamedTuple):
    """A request's needs; `tokens` counts the prompt and the expected answer."""

    tokens: float
    home_zone: str


Chain = tuple[Part, ...]


def covers(chain: Iterable[Part], layers: int) -> bool:
    """Return whether a chain runs each layer once, in order, on different engines."""
    position = 0
    seen = set()
    for part in chain:
        if part.first != position or part.end <= part.first or part.address in seen:
            return False
        seen.add(part.address)
        position = part.end
    return position == layers


def part_cost_s(profile: ModelProfile, engine: Candidate) -> float:
    """Return the cost of one layer and token on an engine, in seconds."""
    kind = kind_of(profile, engine.kind)
    room = room_tokens(profile, kind, engine.end - engine.first)
    fill = engine.tokens / room if room else 1.0
    # Quadratic, so that it rises late. With 1 - fill a fast engine at half of its room
    # counted as twice as slow, and streams went to the slowest kind while the fast ones
    # had room. At nine tenths the factor is 5, enough to choose another copy before
    # this one refuses requests.
    load_factor = 1.0 / max(0.05, 1.0 - fill * fill)
    return layer_step_s(profile, engine) * load_factor * engine.jitter


def prefill_wait_s(profile: ModelProfile, engine: Candidate) -> float:
    """Return how long an engine needs to read its waiting prompts, in seconds.

    It reads a chunk of them in each pass, and a pass also runs a step of every running
    stream. So an engine with many streams reads few prompts a second, however fast it
    reads a single one: the newest prompts wait while other engines are idle.
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
    """Return whether an engine has memory for a request beside the running ones."""
    kind = kind_of(profile, engine.kind)
    if kind is None or engine.end > profile.layers:
        # The engine reports another model than this one.
        return False
    room = room_tokens(profile, kind, engine.end - engine.first)
    return engine.tokens + tokens <= MAX_FILL_SHARE * room


def choose_chain(
    profile: ModelProfile, engines: Iterable[Candidate], need: Need
) -> Chain | None:
    """Return the cheapest chain inside one data centre, or None.

    Data centres that can't have it are skipped: those with a hole in their layers, and
    all others once the best cost is no more than that of going elsewhere. With five
    data centres and 130 engines this reduces the time from 2.2 to 0.43 ms, and from 1.7
    to 0.23 ms if a range is full everywhere, as it is for requests that wait and retry.
    """
    by_zone = _by_zone(e for e in engines if has_room(profile, e, need.tokens))
    best = None
    for zone in sorted(by_zone, key=lambda name: (name != need.home_zone, name)):
        remote_s = REMOTE_CHAIN_S if zone != need.home_zone else 0.0
        if best is not None and best[0] <= remote_s:
            break
        if not _has_all_layers(profile, by_zone[zone]):
            continue
        found = _cheapest(profile, by_zone[zone], zone)
        if found is not None and (best is None or found[0] + remote_s < best[0]):
            best = (found[0] + remote_s, found[1])
    return best and best[1]


def has_full_copy(profile: ModelProfile, engines: Iterable[Candidate]) -> bool:
    """Return whether some data centre holds all layers, with or without room."""
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

    For use only if no data centre has a whole copy with room. The number of crossings
    is limited, since all requests share the pipes (see `pipes`). The cheapest chain
    around many small gaps crosses every few layers, which stalled all streams on the
    pipe for two seconds.
    """
    usable = [e for e in engines if has_room(profile, e, need.tokens)]
    if not _has_all_layers(profile, usable):
        return None
    chain = cheapest_chain(profile, usable, need.home_zone)
    if chain is None or crossings(chain, usable) > MAX_CROSSINGS:
        return None
    return chain


def crossings(chain: Chain, engines: Iterable[Candidate]) -> int:
    """Return how often a chain crosses from one data centre to another."""
    zones = {engine.address: engine.vm_zone for engine in engines}
    zones_in_order = [zones[part.address] for part in chain]
    return sum(a != b for a, b in zip(zones_in_order, zones_in_order[1:], strict=False))


def replace_parts(
    profile: ModelProfile,
    chain: Chain,
    engines: Iterable[Candidate],
    lost: set[str],
    need: Need,
) -> Chain | None:
    """Return a chain that keeps every surviving part and replaces the lost ones.

    Surviving parts keep the request in memory, so only the new parts read it again. The
    first part stays, since its engine holds the request. The new parts are in its data
    centre: reading a request again over the pipe takes longer than reading it as a
    whole in the other data centre, and all streams of a dead engine would do so at
    once.
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
    """Return the cheapest chain over a span of layers, or None if there is none."""
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
            free[layer] += max(0.0, MAX_FILL_SHARE * room - engine.tokens)
    layer = min(range(profile.layers), key=free.__getitem__)
    return layer, free[layer]


def _boundaries(engines, first, end):
    marks = {first, end}
    for engine in engines:
        marks.update(m for m in (engine.first, engine.end) if first < m < end)
    return sorted(marks)


def _relax(profile, engines, home_zone, marks):
    """Return, by (layer, zone), the least cost, the previous state and the engine."""
    best = {(marks[0], home_zone): (0.0, None, None)}
    prices = {e.address: part_cost_s(profile, e) for e in engines}
    waits = {e.address: WAIT_COST * prefill_wait_s(profile, e) for e in engines}
    hop_s = HOP_S + profile.activation_bytes * 8 / (profile.link_mbps * 1e6)
    for at in marks[:-1]:
        states = [(k, v[0]) for k, v in best.items() if k[0] == at]
        for engine in engines:
            if not engine.first <= at < engine.end:
                continue
            if at == 0 and engine.firsts >= profile.slots:
                # All its slots are used: it would refuse the request at a retry's cost.
                continue
            cost, state = _cheapest_arrival(states, engine.vm_zone)
            if state is None:
                continue
            cost += waits[engine.address]
            for to in marks:
                if at < to <= engine.end:
                    total = cost + hop_s + (to - at) * prices[engine.address]
                    _update_best(best, (to, engine.vm_zone), total, state, engine)
    return best


def _cheapest_arrival(states, zone):
    found = (0.0, None)
    for state, cost in states:
        cost += 0.0 if state[1] == zone else CROSSING_S
        if found[1] is None or cost < found[0]:
            found = (cost, state)
    return found


def _update_best(best, key, cost, state, engine):
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
    """Merge the parts of an engine that occurs twice, with all parts between them.

    The engine holds the layers between as well. Engines refuse a chain that names one
    of them twice.
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
