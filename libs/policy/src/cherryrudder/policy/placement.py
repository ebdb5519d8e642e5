"""Where a request is sent: a chain of endpoints that holds every layer exactly once.

Load pattern: accelerators of several speeds, joined by unequal links, under load that
changes within seconds.
Without it: a round robin gives the slowest accelerator as much as the fastest, so that
every chain runs at the pace of the slowest, and it crosses slow links at random.

Among endpoints with credits a chain is chosen by its expected time per token: its
slowest stage, at its speed and with what this entry has in flight there, plus its
links. Endpoints that likely hold the prompt's prefix count as faster, within a bound on
their load. Of the open endpoints of each range and data centre only a few are drawn
(power of k choices), so the cost hardly grows with their number, and entries that
decide at the same moment don't all choose the same one.
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
    "revoke_credits",
    "dump",
    "record_success",
    "record_failure",
    "note_sent",
    "record_progress",
    "review",
    "set_credits",
    "set_stops",
    "update",
    "waits_for_prefix",
    "record_withdrawal",
]

# Up to so many open endpoints of a range and data centre are all looked at: the users'
# forty engines in three data centres.
SCANNED = 16
# Of more than that so many are drawn. Two already avoid the worst choice; four find the
# best of four kinds of accelerator in most draws.
DRAWN = 4
# Partial chains kept at each layer boundary; more than the data centres near the entry
# have changed no choice in trials.
BEAM = 3
# A cached prefix saves its prefill, about this part of a short answer's time.
PREFIX_SAVED_PART = 0.3
# A fleet with at most this part of its endpoints open is nearly full.
FULL_PART = 0.1
# How long a request lets others go first: about the time of the prefill that it saves.
PATIENCE_S = 0.5


class Need(NamedTuple):
    """What a request needs; `tokens` is its expected answer."""

    model: str
    version: str = ""
    tokens: float = 0.0
    prefix: str = ""
    exclude: frozenset[str] = frozenset()


class Chain(NamedTuple):
    """The endpoints in the order of their layers, and the expected time in all."""

    stages: tuple[Announcement, ...]
    expected_s: float


class Candidate(NamedTuple):
    """An endpoint that may be the next stage."""

    member: Member
    cost_s: float


class Partial(NamedTuple):
    """The first stages of a chain."""

    slowest_s: float
    links_s: float
    end: Place | None
    members: tuple[Member, ...]

    @property
    def cost_s(self) -> float:
        """Return the time per token."""
        return self.slowest_s + self.links_s


def choose_chain(fleet: Fleet, need: Need, now_s: float) -> Chain | None:
    """Return the best chain that has credits, or None; an empty version is any one."""
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


def waits_for_prefix(fleet: Fleet, need: Need, chain: Chain, waited_s, now_s) -> bool:
    """Tell whether a request should let others go first to the one endpoint with room.

    When the fleet is nearly full, each request would go to whichever endpoint frees a
    slot, and be computed anew there; the fleet would lose the speed that its caches
    gave it, and stay full. Of those that wait, one whose prefix is there goes instead.
    """
    if not need.prefix or waited_s >= PATIENCE_S:
        return False
    first = chain.stages[0]
    group = fleet.groups[group_key(first)]
    has_room = sum(len(opened.members) for opened in group.open.values())
    if has_room > FULL_PART * len(group.members) + 1:
        return False
    is_ranked = first.endpoint in _ranked(group, need.prefix)[:1]
    return not is_ranked and not _holds(fleet, first.endpoint, need.prefix)


def note_sent(fleet: Fleet, chain: Chain, prefix: str) -> None:
    """Remember that a chain will hold a prefix."""
    for stage in chain.stages:
        affinity.note_stored(fleet.sent, stage.endpoint, prefix)


def choose_stage(
    fleet: Fleet, need: Need, first_layer: int, end_layer: int, now_s: float
) -> Announcement | None:
    """Return an endpoint for a range that a chain has lost."""
    key = (need.model, need.version, first_layer, end_layer)
    return _best_of_group(fleet, fleet.groups.get(key), need, now_s)


def choose_service(
    fleet: Fleet, service: str, exclude: Iterable[str], now_s: float
) -> Announcement | None:
    """Return an endpoint of a plain service."""
    need = Need(service, exclude=frozenset(exclude))
    group = fleet.groups.get(("service", service))
    return _best_of_group(fleet, group, need, now_s)


def _best_chain(fleet: Fleet, layer_map: LayerMap, need: Need, now_s):
    beams = {0: [Partial(0.0, 0.0, fleet.home, ())]}
    finished = []
    while beams:
        # Every range ends past its start, so the lowest boundary is complete.
        boundary = min(beams)
        partials = sorted(beams.pop(boundary), key=_cost)[:BEAM]
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
    # The last stage hands its tokens to the entry: one more hop.
    closed = [
        partial._replace(
            links_s=partial.links_s + links.hop_s(fleet.links, partial.end, fleet.home)
        )
        for partial in finished
    ]
    return min(closed, key=_cost)


def _append(fleet, partial, candidate):
    place = candidate.member.announcement.place
    return Partial(
        max(partial.slowest_s, candidate.cost_s),
        partial.links_s + links.hop_s(fleet.links, partial.end, place),
        place,
        (*partial.members, candidate.member),
    )


def _cost(partial):
    return partial.slowest_s + partial.links_s


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
    """Return the best of some open endpoints in each data centre, and the caching ones.

    Within a data centre links cost the same, so its cheapest endpoint stands for it.
    """
    found = []
    size = ejection.size_class(need.tokens)
    for opened in group.open.values():
        best, best_s = None, math.inf
        for member in _drawn(fleet, opened.members, need.exclude):
            cost_s = member.cost_s[size]
            if need.prefix and _holds(fleet, member.announcement.endpoint, need.prefix):
                cost_s *= 1 - PREFIX_SAVED_PART
            if cost_s < best_s:
                best, best_s = member, cost_s
        if best is not None:
            found.append(Candidate(best, best_s))
    if need.prefix:
        found += _caching(fleet, group, need, now_s)
    return found


def _drawn(fleet, members, exclude):
    count = len(members)
    drawn = members
    if count > SCANNED:
        drawn = [members[int(fleet.rng.random() * count)] for _ in range(DRAWN)]
    if not exclude:
        return drawn
    kept = [m for m in drawn if m.announcement.endpoint not in exclude]
    if kept or count <= SCANNED:
        return kept
    # All that were drawn are excluded: only a full look can tell that none is left.
    return [m for m in members if m.announcement.endpoint not in exclude]


def _caching(fleet, group, need, now_s):
    holders = affinity.holders_of(fleet.caches, need.prefix)
    # A hot prefix is held by many; the endpoints that were drawn stand for those.
    names = [name for name in islice(holders, DRAWN) if name in group.members]
    for name in _ranked(group, need.prefix):
        # The second choice is for what is above the bound of the first: spread over
        # both from the start, the prefix would be computed and kept twice.
        if _takes(group, name, need, now_s):
            names.append(name)
            break
    found = []
    for name in dict.fromkeys(names):
        if _takes(group, name, need, now_s):
            member = group.members[name]
            cost_s = member.cost_s[ejection.size_class(need.tokens)]
            found.append(Candidate(member, cost_s * (1 - PREFIX_SAVED_PART)))
    return found


def _ranked(group, prefix):
    slot = affinity.slot_of(prefix)
    ranked = group.ranked.get(slot)
    if ranked is None:
        ranked = group.ranked[slot] = affinity.rank(group.members, slot)
    return ranked


def _holds(fleet, endpoint, prefix):
    return affinity.holds(fleet.caches, endpoint, prefix) or affinity.holds(
        fleet.sent, endpoint, prefix
    )


def _takes(group, name, need, now_s):
    member = group.members[name]
    if name in need.exclude or free_slots(member, now_s) <= 0:
        return False
    slots = member.announcement.slots
    count = len(group.members)
    return member.in_flight < affinity.load_bound(group.in_flight, count, slots)
