"""Choice of the endpoints for a request: a chain that holds every layer exactly once.

Accelerators differ in speed, links differ in latency, and the load changes within
seconds. A round robin would give the slowest accelerator as many requests as the
fastest, so that every chain runs at the pace of the slowest, and would cross slow links
at random.

Among endpoints with credits the chain with the lowest expected time per token is
chosen. That time is the time of its slowest stage, given its speed and this entry's
requests in flight there, plus the time of its links. Endpoints that probably hold the
prompt's prefix count as faster while their load is within a bound. Only a few open
endpoints of each range and data centre are sampled (power of k choices). So the cost
hardly grows with their number, and entries that choose at the same moment do not all
choose the same endpoint.
"""

import math
from collections.abc import Iterable
from itertools import islice
from typing import NamedTuple

from cherryrudder.model.endpoints import Announcement, Place

from . import affinity, ejection, links
from .fleet import (
    Fleet,
    Group,
    LayerMap,
    Member,
    free_slots,
    group_key,
    record_failure,
    record_progress,
    record_start,
    record_success,
    record_withdrawal,
    review,
    revoke_credits,
    set_credits,
    set_stops,
    update,
)
from .fleetdump import dump

__all__ = [
    "Chain",
    "Fleet",
    "Need",
    "record_start",
    "choose_chain",
    "choose_service",
    "choose_stage",
    "has_service",
    "revoke_credits",
    "dump",
    "record_success",
    "record_failure",
    "record_sent",
    "record_progress",
    "review",
    "set_credits",
    "set_stops",
    "update",
    "should_defer_for_prefix",
    "record_withdrawal",
]

# Up to this many open endpoints of a range and data centre are all compared. It covers
# the users' forty engines in three data centres.
FULL_SCAN_MAX = 16
# Size of the sample if there are more. Two already avoid the worst choice; four find
# the best of four kinds of accelerator in most samples.
SAMPLE_SIZE = 4
# Partial chains kept at each layer boundary. More than the number of data centres near
# the entry changed no choice in trials.
BEAM_WIDTH = 3
# A cached prefix saves its prefill, about this fraction of a short answer's time.
PREFIX_SAVED_FRACTION = 0.3
# A fleet is nearly full with at most this fraction of its endpoints open.
NEARLY_FULL_FRACTION = 0.1
# How long a request may be deferred: about the time of the prefill that it saves.
MAX_DEFER_S = 0.5


class Need(NamedTuple):
    """The requirements of a request; `tokens` is the expected length of its answer."""

    model: str
    version: str = ""
    tokens: float = 0.0
    prefix: str = ""
    exclude: frozenset[str] = frozenset()


class Chain(NamedTuple):
    """Endpoints in the order of their layers, and the expected total time."""

    stages: tuple[Announcement, ...]
    expected_s: float


class Candidate(NamedTuple):
    """An endpoint that may be the next stage, and its cost per token."""

    member: Member
    cost_s: float


class PartialChain(NamedTuple):
    """The first stages of a chain."""

    slowest_s: float
    links_s: float
    end: Place | None
    members: tuple[Member, ...]

    @property
    def cost_s(self) -> float:
        """Return the seconds per token."""
        return self.slowest_s + self.links_s


def choose_chain(fleet: Fleet, need: Need, now_s: float) -> Chain | None:
    """Return the best chain that has credits, or None; an empty version matches any."""
    best = None
    for (model, version), layer_map in fleet.models.items():
        if model != need.model or need.version not in ("", version):
            continue
        found = _best_chain(fleet, layer_map, need, now_s)
        if found is not None and (best is None or found.cost_s < best.cost_s):
            best = found
    if best is None:
        return None
    stages = tuple(member.announcement for member in best.members)
    return Chain(stages, best.cost_s * max(1.0, need.tokens))


def should_defer_for_prefix(
    fleet: Fleet, need: Need, chain: Chain, waited_s, now_s
) -> bool:
    """Return whether a request should let others have the one endpoint with capacity.

    When the fleet is nearly full, each request would be sent to whichever endpoint
    frees a slot, and its prefix would be computed again there. The fleet would lose the
    speed-up of its caches, and stay full. A waiting request whose prefix is cached
    there goes first.
    """
    if not need.prefix or waited_s >= MAX_DEFER_S:
        return False
    first = chain.stages[0]
    group = fleet.groups[group_key(first)]
    has_room = sum(len(opened.members) for opened in group.open.values())
    if has_room > NEARLY_FULL_FRACTION * len(group.members) + 1:
        return False
    is_ranked = first.endpoint in _ranked(group, need.prefix)[:1]
    return not is_ranked and not _holds_prefix(fleet, first.endpoint, need.prefix)


def record_sent(fleet: Fleet, chain: Chain, prefix: str) -> None:
    """Record that the endpoints of a chain will hold a prefix."""
    for stage in chain.stages:
        affinity.record_stored(fleet.sent, stage.endpoint, prefix)


def choose_stage(
    fleet: Fleet, need: Need, first_layer: int, end_layer: int, now_s: float
) -> Announcement | None:
    """Return an endpoint for a layer range that a chain has lost, or None."""
    key = (need.model, need.version, first_layer, end_layer)
    return _best_of_group(fleet, fleet.groups.get(key), need, now_s)


def choose_service(
    fleet: Fleet, service: str, exclude: Iterable[str], now_s: float
) -> Announcement | None:
    """Return an endpoint of a plain service, or None."""
    need = Need(service, exclude=frozenset(exclude))
    group = fleet.groups.get(("service", service))
    return _best_of_group(fleet, group, need, now_s)


def has_service(
    fleet: Fleet, service: str, exclude: Iterable[str], now_s: float
) -> bool:
    """Return whether a live endpoint of a plain service is left, even if it is full."""
    group = fleet.groups.get(("service", service))
    members = group.members.items() if group else ()
    return any(
        name not in exclude and _is_live(member, now_s) for name, member in members
    )


def _best_chain(fleet: Fleet, layer_map: LayerMap, need: Need, now_s):
    beams = {0: [PartialChain(0.0, 0.0, fleet.home, ())]}
    finished = []
    while beams:
        # Every range ends after its first layer, so the lowest boundary is complete.
        boundary = min(beams)
        partials = sorted(beams.pop(boundary), key=_cost)[:BEAM_WIDTH]
        if boundary == layer_map.layers:
            finished = partials
            break
        for group in layer_map.starting.get(boundary, ()):
            candidates = _candidates(fleet, group, need, now_s)
            grown = [
                _append(fleet, partial, candidate)
                for candidate in candidates
                for partial in partials
            ]
            if grown:
                beams.setdefault(group.end_layer, []).extend(grown)
    if not finished:
        return None
    # The last stage sends its tokens to the entry: one more hop.
    closed = [
        partial._replace(
            links_s=partial.links_s + links.hop_s(fleet.links, partial.end, fleet.home)
        )
        for partial in finished
    ]
    return min(closed, key=_cost)


def _append(fleet, partial, candidate):
    place = candidate.member.announcement.place
    return PartialChain(
        max(partial.slowest_s, candidate.cost_s),
        partial.links_s + links.hop_s(fleet.links, partial.end, place),
        place,
        (*partial.members, candidate.member),
    )


def _cost(partial):
    return partial.slowest_s + partial.links_s


def _is_live(member, now_s):
    """Return whether an endpoint may be sent requests once it has a free slot."""
    if not member.is_announced or member.is_leaving or member.is_link_lost:
        return False
    return not ejection.is_ejected(member.health, now_s)


def _best_of_group(fleet, group, need, now_s):
    if group is None:
        return None
    best, best_s = None, 0.0
    for candidate in _candidates(fleet, group, need, now_s):
        announcement = candidate.member.announcement
        cost_s = candidate.cost_s + 2 * links.hop_s(
            fleet.links, fleet.home, announcement.place
        )
        if best is None or cost_s < best_s:
            best, best_s = announcement, cost_s
    return best


def _candidates(fleet: Fleet, group: Group, need: Need, now_s) -> list[Candidate]:
    """Return the best sampled endpoint of each data centre, and those with the prefix.

    Links within a data centre cost the same, so its cheapest endpoint represents it.
    """
    found = []
    size = ejection.size_class(need.tokens)
    for opened in group.open.values():
        best, best_s = None, math.inf
        for member in _sample(fleet, opened.members, need.exclude):
            cost_s = member.cost_s[size]
            if need.prefix and _holds_prefix(
                fleet, member.announcement.endpoint, need.prefix
            ):
                cost_s *= 1 - PREFIX_SAVED_FRACTION
            if cost_s < best_s:
                best, best_s = member, cost_s
        if best is not None:
            found.append(Candidate(best, best_s))
    if need.prefix:
        found += _cache_candidates(fleet, group, need, now_s)
    return found


def _sample(fleet, members, exclude):
    count = len(members)
    sampled = members
    if count > FULL_SCAN_MAX:
        sampled = [members[int(fleet.rng.random() * count)] for _ in range(SAMPLE_SIZE)]
    if not exclude:
        return sampled
    kept = [m for m in sampled if m.announcement.endpoint not in exclude]
    if kept or count <= FULL_SCAN_MAX:
        return kept
    # All sampled endpoints are excluded; only a full scan can find one that is not.
    return [m for m in members if m.announcement.endpoint not in exclude]


def _cache_candidates(fleet, group, need, now_s):
    holders = affinity.holders_of(fleet.caches, need.prefix)
    # A popular prefix is held by many endpoints, and the sampled ones represent those.
    names = [name for name in islice(holders, SAMPLE_SIZE) if name in group.members]
    for name in _ranked(group, need.prefix):
        # The second choice takes only the load above the first one's bound. If both
        # were used from the start, the prefix would be computed and cached twice.
        if _accepts(group, name, need, now_s):
            names.append(name)
            break
    found = []
    for name in dict.fromkeys(names):
        if _accepts(group, name, need, now_s):
            member = group.members[name]
            cost_s = member.cost_s[ejection.size_class(need.tokens)]
            found.append(Candidate(member, cost_s * (1 - PREFIX_SAVED_FRACTION)))
    return found


def _ranked(group, prefix):
    slot = affinity.hash_slot(prefix)
    ranked = group.ranked.get(slot)
    if ranked is None:
        ranked = group.ranked[slot] = affinity.rank(group.members, slot)
    return ranked


def _holds_prefix(fleet, endpoint, prefix):
    return affinity.holds(fleet.caches, endpoint, prefix) or affinity.holds(
        fleet.sent, endpoint, prefix
    )


def _accepts(group, name, need, now_s):
    member = group.members[name]
    if name in need.exclude or free_slots(member, now_s) <= 0:
        return False
    slots = member.announcement.slots
    count = len(group.members)
    return member.in_flight < affinity.load_bound(group.in_flight, count, slots)
