"""The endpoints that an entry may send to: place, capacity and speed.

A thousand endpoints announce themselves, a few hundred requests a second each need a
chain of them, and load reports lag by seconds. Scanning every endpoint for each choice
would be too slow, and the reports would be stale. An entry has current data only on
what it has sent itself. So requests in flight, speeds and failures are counted here,
and credits limit what each entry may send beside the others.

Endpoints that can accept a request are kept in one list for each layer range and data
centre. A choice looks at a few of them, however many there are.
"""

import random
from collections.abc import Iterable

from cherryrudder.model.endpoints import Announcement, Kind, Place, Stop

from . import affinity, credits, ejection, leaving
from .ejection import Health, KindHealth, Peer
from .links import Links

# Interval of the checks for slow and silent endpoints; a fraction of the shortest
# silence that counts as a fault.
REVIEW_INTERVAL_S = 0.5
# An endpoint that fails half of its requests counts as three times slower.
FAILURE_WEIGHT = 4.0
# Seconds per token of an endpoint that announces no speed: an average one.
DEFAULT_TOKEN_S = 0.02
SEQUENCE_INDEX = Announcement._fields.index("sequence")


class Member:
    """One endpoint and what this entry has recorded about it."""

    def __init__(self, announcement, group, kind, now_s):
        self.announcement = announcement
        self.group = group
        self.kind = kind
        # Expected seconds per token with one more request, for short and for long
        # answers. Kept up to date so that a choice only compares.
        self.cost_s = (0.0, 0.0)
        self.credits = announcement.slots
        self.credits_number = 0
        self.in_flight = 0
        self.health = Health()
        self.health.signal_s = now_s
        self.is_announced = True
        self.is_leaving = False
        # The link broke, and no credits were granted since.
        self.is_link_lost = False


class OpenList:
    """Members that can accept a request; add, remove and sample in constant time."""

    def __init__(self):
        self.members: list[Member] = []
        self.positions: dict[str, int] = {}


class Group:
    """Endpoints with the same function: one layer range, or one service."""

    def __init__(self, key, first_layer=0, end_layer=0):
        self.key = key
        self.first_layer = first_layer
        self.end_layer = end_layer
        self.members: dict[str, Member] = {}
        self.open: dict[str, OpenList] = {}
        self.in_flight = 0
        # Rankings by prefix hash slot; cleared when an endpoint joins or leaves.
        self.ranked: dict[int, tuple[str, ...]] = {}


class LayerMap:
    """The groups of one model version, by their first layer."""

    def __init__(self):
        self.layers = 0
        self.starting: dict[int, list[Group]] = {}


class KindReview:
    """The endpoints of one kind, which are compared with each other."""

    def __init__(self):
        self.members: dict[str, Member] = {}
        self.health = KindHealth()


class Fleet:
    """All endpoints that an entry may send to; `home` is the entry's own place."""

    def __init__(self, rng: random.Random, home: Place | None = None):
        self.rng = rng
        self.home = home
        self.links = Links()
        # Prefixes cached according to the engines' events, and those that this entry
        # has sent.
        self.caches = affinity.CacheView()
        self.sent = affinity.CacheView(affinity.MAX_SENT)
        self.members: dict[str, Member] = {}
        self.groups: dict[tuple, Group] = {}
        self.models: dict[tuple[str, str], LayerMap] = {}
        self.kinds: dict[tuple, KindReview] = {}
        self.stops: tuple[Stop, ...] = ()
        self.review_due_s = 0.0


def update(fleet: Fleet, announcements: Iterable[Announcement], now_s: float) -> None:
    """Replace the known endpoints by those that are announced now."""
    seen = set()
    for announcement in announcements:
        if announcement.kind == Kind.ENTRY:
            continue
        seen.add(announcement.endpoint)
        known = fleet.members.get(announcement.endpoint)
        if known is None or not known.is_announced:
            _register(fleet, announcement, known, now_s)
        elif not _is_unchanged(known.announcement, announcement):
            _register(fleet, announcement, known, now_s)
    for name in [name for name in fleet.members if name not in seen]:
        _unregister(fleet, fleet.members[name], now_s)


def set_stops(fleet: Fleet, stops: Iterable[Stop], now_s: float) -> None:
    """Set the planned stops and update which endpoints are leaving."""
    fleet.stops = tuple(stops)
    for member in fleet.members.values():
        _update_leaving(fleet, member)
        refresh(member, now_s)


def set_credits(fleet: Fleet, given: credits.Credits, now_s: float) -> None:
    """Set an endpoint's credits, unless a newer number has been received."""
    member = fleet.members.get(given.endpoint)
    if member is not None and given.number > member.credits_number:
        member.credits_number = given.number
        member.credits = given.count
        member.is_link_lost = False
        refresh(member, now_s)


def revoke_credits(fleet: Fleet, endpoint: str, now_s: float) -> None:
    """Set an endpoint's credits to zero until its next grant, after its link broke.

    A dead endpoint stays announced until its lease expires. Without this, a chain that
    lost a stage would be sent to each dead endpoint in turn, and would be given up
    before a live one has freed a slot.
    """
    member = fleet.members.get(endpoint)
    if member is not None:
        member.credits = 0
        member.is_link_lost = True
        # From now on the credits are what the endpoint grants, not its announced slots.
        member.credits_number = max(1, member.credits_number)
        refresh(member, now_s)


def record_start(fleet: Fleet, endpoint: str, now_s: float) -> None:
    """Record that a request was sent to an endpoint."""
    member = fleet.members.get(endpoint)
    if member is None:
        return
    if not member.in_flight:
        member.health.signal_s = now_s
    member.in_flight += 1
    member.group.in_flight += 1
    refresh(member, now_s)


def record_progress(fleet: Fleet, endpoint: str, now_s: float) -> None:
    """Record that an endpoint has answered part of a request."""
    member = fleet.members.get(endpoint)
    if member is not None:
        ejection.record_signal(member.health, member.kind.health, now_s)


def record_success(
    fleet, endpoint: str, tokens, duration_s: float, now_s: float
) -> None:
    """Record that an endpoint answered a request in `duration_s` of its own time."""
    member = fleet.members.get(endpoint)
    if member is None:
        return
    kind = member.kind.health
    ejection.record_signal(member.health, kind, now_s)
    ejection.record_answer(member.health, kind, tokens, duration_s, now_s)
    _release_slot(fleet, member, now_s)


def record_failure(fleet: Fleet, endpoint: str, now_s: float) -> None:
    """Record that an endpoint failed a request."""
    member = fleet.members.get(endpoint)
    if member is None:
        return
    ejection.record_failure(member.health, now_s)
    member.health.signal_s = now_s
    _release_slot(fleet, member, now_s)


def record_withdrawal(fleet: Fleet, endpoint: str, now_s: float) -> None:
    """Record a request that was cancelled, or did not fail because of this endpoint."""
    member = fleet.members.get(endpoint)
    if member is not None:
        _release_slot(fleet, member, now_s)


def review(fleet: Fleet, now_s: float) -> list[str]:
    """Eject slow, failing and silent endpoints; return the newly ejected ones.

    Requests in flight at a silent endpoint are lost and should be resumed elsewhere.
    """
    if now_s < fleet.review_due_s:
        return []
    fleet.review_due_s = now_s + REVIEW_INTERVAL_S
    ejected = []
    for kind in fleet.kinds.values():
        ejected += _review_kind(kind, now_s)
    return ejected


def refresh(member: Member, now_s: float) -> None:
    """Update a member's cost and whether it is in its group's open list."""
    member.cost_s = (_token_cost_s(member, 0), _token_cost_s(member, 1))
    centre = member.announcement.place.data_centre
    lists = member.group.open
    is_open = free_slots(member, now_s) > 0
    opened = lists.get(centre)
    if opened is None:
        if not is_open:
            return
        opened = lists[centre] = OpenList()
    name = member.announcement.endpoint
    if is_open and name not in opened.positions:
        opened.positions[name] = len(opened.members)
        opened.members.append(member)
    elif not is_open and name in opened.positions:
        _remove_open(opened, name)


def free_slots(member: Member, now_s: float) -> int:
    """Return how many requests an endpoint may be sent now."""
    if not member.is_announced or member.is_leaving:
        return 0
    if ejection.is_ejected(member.health, now_s):
        return 0
    allowed = member.credits
    if ejection.is_probing(member.health):
        allowed = min(1, allowed)
    return max(0, allowed - member.in_flight)


def _token_cost_s(member, size):
    health, announcement = member.health, member.announcement
    token_s = health.token_s[size] if health.samples[size] else 0.0
    token_s = token_s or member.kind.health.median_s[size]
    if not token_s:
        speed = announcement.tokens_per_s
        token_s = announcement.slots / speed if speed > 0 else DEFAULT_TOKEN_S
    load = 1.0 + member.in_flight / max(1, announcement.slots)
    return token_s * load * (1.0 + FAILURE_WEIGHT * health.failure_part)


def _review_kind(kind, now_s):
    peers = []
    for name, member in kind.members.items():
        peers.append(Peer(name, member.health, member.in_flight))
    ejected = ejection.review(kind.health, peers, now_s)
    for member in kind.members.values():
        # An ejection that has expired opens the endpoint again, for a probe.
        if ejection.is_probing(member.health):
            refresh(member, now_s)
    return ejected


def _register(fleet, announcement, known, now_s):
    if known is not None and not _is_same_job(known.announcement, announcement):
        # Another process or another job: requests in flight are lost, and the recorded
        # speeds and failures no longer apply.
        _unregister(fleet, known, now_s)
        fleet.members.pop(announcement.endpoint, None)
        _drop_caches(fleet, announcement.endpoint)
        known = None
    if known is None:
        group = _get_group(fleet, announcement)
        known = Member(announcement, group, _get_kind(fleet, announcement), now_s)
        fleet.members[announcement.endpoint] = known
    elif not known.credits_number:
        known.credits = announcement.slots
    known.announcement = announcement
    known.is_announced = True
    _join_group(known)
    _update_leaving(fleet, known)
    refresh(known, now_s)


def _is_same_job(announcement, other):
    is_same_process = announcement.incarnation == other.incarnation
    return is_same_process and _kind_key(announcement) == _kind_key(other)


def _join_group(member):
    name = member.announcement.endpoint
    if name not in member.group.members:
        member.group.members[name] = member
        member.group.in_flight += member.in_flight
        member.group.ranked.clear()
        member.kind.members[name] = member


def _unregister(fleet, member, now_s):
    member.is_announced = False
    refresh(member, now_s)
    name = member.announcement.endpoint
    if member.group.members.pop(name, None) is not None:
        member.group.ranked.clear()
        member.group.in_flight -= member.in_flight
        member.kind.members.pop(name, None)
    if not member.in_flight:
        fleet.members.pop(name, None)
        _drop_caches(fleet, name)


def _drop_caches(fleet, endpoint):
    affinity.drop_endpoint(fleet.caches, endpoint)
    affinity.drop_endpoint(fleet.sent, endpoint)


def _release_slot(fleet, member, now_s):
    if member.in_flight:
        member.in_flight -= 1
        if member.is_announced:
            member.group.in_flight -= 1
    if not member.is_announced and not member.in_flight:
        fleet.members.pop(member.announcement.endpoint, None)
        return
    refresh(member, now_s)


def _update_leaving(fleet, member):
    member.is_leaving = leaving.is_leaving(member.announcement, fleet.stops)


def _remove_open(opened, name):
    position = opened.positions.pop(name)
    last = opened.members.pop()
    if position < len(opened.members):
        opened.members[position] = last
        opened.positions[last.announcement.endpoint] = position


def group_key(announcement: Announcement) -> tuple:
    """Return the key of the endpoints with the same function as this one."""
    if announcement.kind == Kind.SERVICE:
        return ("service", announcement.service)
    return (
        announcement.model,
        announcement.version,
        announcement.first_layer,
        announcement.end_layer,
    )


def _is_unchanged(announcement, other):
    # Compare all fields but the sequence number, which changes with each lease renewal.
    return announcement is other or (
        announcement[:SEQUENCE_INDEX] == other[:SEQUENCE_INDEX]
        and announcement[SEQUENCE_INDEX + 1 :] == other[SEQUENCE_INDEX + 1 :]
    )


def _kind_key(announcement):
    return group_key(announcement), announcement.accelerator


def _get_group(fleet, announcement):
    key = group_key(announcement)
    group = fleet.groups.get(key)
    if group is not None:
        return group
    first, end = announcement.first_layer, announcement.end_layer
    group = fleet.groups[key] = Group(key, first, end)
    if announcement.kind == Kind.ENGINE:
        model = (announcement.model, announcement.version)
        layer_map = fleet.models.setdefault(model, LayerMap())
        layer_map.layers = announcement.model_layers
        layer_map.starting.setdefault(first, []).append(group)
    return group


def _get_kind(fleet, announcement):
    key = _kind_key(announcement)
    kind = fleet.kinds.get(key)
    if kind is None:
        kind = fleet.kinds[key] = KindReview()
    return kind
