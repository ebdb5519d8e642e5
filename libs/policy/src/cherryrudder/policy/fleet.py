"""The endpoints as one entry knows them: where they are, what they may take, how fast.

Load pattern: a thousand endpoints announce themselves, some hundred requests a second
each need a chain of them, and their load reports lag by seconds.
Without it: each choice would scan every endpoint, and rest on what they reported some
seconds ago. What the entry itself has sent is known at once, so work in flight, speeds
and failures are counted here, and credits say what the others leave.

Endpoints that can take a request are kept in one list for each layer range and data
centre, so that a choice looks at a few of them whatever their number.
"""

import random
from collections.abc import Iterable

from cherryrudder.model.endpoints import Announcement, Kind, Place, Stop

from . import affinity, credits, ejection, leaving
from .ejection import Health, KindHealth, Peer
from .links import Links

# Each kind is looked at twice a second for slow and silent endpoints: a fraction of the
# shortest silence that counts as a fault.
REVIEW_S = 0.5
# An endpoint that fails half of its requests counts as three times slower.
FAILURE_WEIGHT = 4.0
# An endpoint that announces no speed is taken for one of average speed.
UNKNOWN_TOKEN_S = 0.02
SEQUENCE = Announcement._fields.index("sequence")


class Member:
    """One endpoint and what this entry knows of it."""

    def __init__(self, announcement, group, kind, now_s):
        self.announcement = announcement
        self.group = group
        self.kind = kind
        # Its expected seconds per token with one request more, for short and for long
        # answers; kept up to date so that a choice only compares.
        self.cost_s = (0.0, 0.0)
        self.credits = announcement.slots
        self.credits_number = 0
        self.in_flight = 0
        self.health = Health()
        self.health.signal_s = now_s
        self.is_listed = True
        self.is_leaving = False


class OpenList:
    """Members that can take a request; adding, removing and sampling cost the same."""

    def __init__(self):
        self.members: list[Member] = []
        self.positions: dict[str, int] = {}


class Group:
    """All endpoints that do the same: hold one layer range, or offer one service."""

    def __init__(self, key, first_layer=0, end_layer=0):
        self.key = key
        self.first_layer = first_layer
        self.end_layer = end_layer
        self.members: dict[str, Member] = {}
        self.open: dict[str, OpenList] = {}
        self.in_flight = 0
        # The ranking by prefix slot; emptied when an endpoint comes or goes.
        self.ranked: dict[int, tuple[str, ...]] = {}


class LayerMap:
    """The groups of one model version, by the layer at which they start."""

    def __init__(self):
        self.layers = 0
        self.starting: dict[int, list[Group]] = {}


class KindReview:
    """The endpoints of one kind, which are compared with each other."""

    def __init__(self):
        self.members: dict[str, Member] = {}
        self.health = KindHealth()


class Fleet:
    """All endpoints that an entry may send to; `home` is where the entry runs."""

    def __init__(self, rng: random.Random, home: Place | None = None):
        self.rng = rng
        self.home = home
        self.links = Links()
        # What the engines' events tell, and what this entry has sent them.
        self.caches = affinity.CacheView()
        self.sent = affinity.CacheView(affinity.MAX_SENT)
        self.members: dict[str, Member] = {}
        self.groups: dict[tuple, Group] = {}
        self.models: dict[tuple[str, str], LayerMap] = {}
        self.kinds: dict[tuple, KindReview] = {}
        self.stops: tuple[Stop, ...] = ()
        self.review_due_s = 0.0


def update(fleet: Fleet, announcements: Iterable[Announcement], now_s: float) -> None:
    """Replace the endpoints by those that are announced now."""
    seen = set()
    for announcement in announcements:
        if announcement.kind == Kind.ENTRY:
            continue
        seen.add(announcement.endpoint)
        known = fleet.members.get(announcement.endpoint)
        if known is None or not known.is_listed:
            _list(fleet, announcement, known, now_s)
        elif not _says_the_same(known.announcement, announcement):
            _list(fleet, announcement, known, now_s)
    for name in [name for name in fleet.members if name not in seen]:
        _unlist(fleet, fleet.members[name], now_s)


def set_stops(fleet: Fleet, stops: Iterable[Stop], now_s: float) -> None:
    """Put the planned stops in force."""
    fleet.stops = tuple(stops)
    for member in fleet.members.values():
        _set_leaving(fleet, member)
        refresh(member, now_s)


def set_credits(fleet: Fleet, given: credits.Credits, now_s: float) -> None:
    """Take in an endpoint's credits; an older number than the last is ignored."""
    member = fleet.members.get(given.endpoint)
    if member is not None and given.number > member.credits_number:
        member.credits_number = given.number
        member.credits = given.count
        refresh(member, now_s)


def revoke_credits(fleet: Fleet, endpoint: str, now_s: float) -> None:
    """Take an endpoint's credits away until it gives some again; its link broke.

    A dead endpoint stays announced for a lease. A chain that lost its stage would be
    sent to the dead ones in turn, and be given up before one that lives has come back.
    """
    member = fleet.members.get(endpoint)
    if member is not None:
        member.credits = 0
        # From here on its credits are what it grants, not the slots that it announces.
        member.credits_number = max(1, member.credits_number)
        refresh(member, now_s)


def record_start(fleet: Fleet, endpoint: str, now_s: float) -> None:
    """Count a request that is sent to an endpoint."""
    member = fleet.members.get(endpoint)
    if member is None:
        return
    if not member.in_flight:
        member.health.signal_s = now_s
    member.in_flight += 1
    member.group.in_flight += 1
    refresh(member, now_s)


def record_progress(fleet: Fleet, endpoint: str, now_s: float) -> None:
    """Note that an endpoint has answered part of a request."""
    member = fleet.members.get(endpoint)
    if member is not None:
        ejection.note_signal(member.health, member.kind.health, now_s)


def record_success(
    fleet, endpoint: str, tokens, duration_s: float, now_s: float
) -> None:
    """Count a request that an endpoint has answered, with its own time for it."""
    member = fleet.members.get(endpoint)
    if member is None:
        return
    kind = member.kind.health
    ejection.note_signal(member.health, kind, now_s)
    ejection.note_answer(member.health, kind, tokens, duration_s, now_s)
    _take_off(fleet, member, now_s)


def record_failure(fleet: Fleet, endpoint: str, now_s: float) -> None:
    """Count a request that an endpoint has failed."""
    member = fleet.members.get(endpoint)
    if member is None:
        return
    ejection.note_failure(member.health, now_s)
    member.health.signal_s = now_s
    _take_off(fleet, member, now_s)


def record_withdrawal(fleet: Fleet, endpoint: str, now_s: float) -> None:
    """Count a request that was cancelled, or failed by no fault of this endpoint."""
    member = fleet.members.get(endpoint)
    if member is not None:
        _take_off(fleet, member, now_s)


def review(fleet: Fleet, now_s: float) -> list[str]:
    """Eject slow, failing and silent endpoints; return those ejected now.

    Their requests in flight are lost if they are silent: resume them elsewhere.
    """
    if now_s < fleet.review_due_s:
        return []
    fleet.review_due_s = now_s + REVIEW_S
    ejected = []
    for kind in fleet.kinds.values():
        ejected += _review_kind(kind, now_s)
    return ejected


def refresh(member: Member, now_s: float) -> None:
    """Bring a member's cost and its place in its group's open list up to date."""
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
    if not member.is_listed or member.is_leaving:
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
        token_s = announcement.slots / speed if speed > 0 else UNKNOWN_TOKEN_S
    load = 1.0 + member.in_flight / max(1, announcement.slots)
    return token_s * load * (1.0 + FAILURE_WEIGHT * health.failure_part)


def _review_kind(kind, now_s):
    peers = []
    for name, member in kind.members.items():
        peers.append(Peer(name, member.health, member.in_flight))
    ejected = ejection.review(kind.health, peers, now_s)
    for member in kind.members.values():
        # Also the way back: an ejection that has run out opens the endpoint to a probe.
        if ejection.is_probing(member.health):
            refresh(member, now_s)
    return ejected


def _list(fleet, announcement, known, now_s):
    if known is not None and not _is_continued(known.announcement, announcement):
        # Another process or another job: what was in flight before is lost, and what
        # was learned doesn't hold.
        _unlist(fleet, known, now_s)
        fleet.members.pop(announcement.endpoint, None)
        _forget_caches(fleet, announcement.endpoint)
        known = None
    if known is None:
        group = _group(fleet, announcement)
        known = Member(announcement, group, _kind(fleet, announcement), now_s)
        fleet.members[announcement.endpoint] = known
    elif not known.credits_number:
        known.credits = announcement.slots
    known.announcement = announcement
    known.is_listed = True
    _join_group(known)
    _set_leaving(fleet, known)
    refresh(known, now_s)


def _is_continued(announcement, other):
    is_same_process = announcement.incarnation == other.incarnation
    return is_same_process and _sort(announcement) == _sort(other)


def _join_group(member):
    name = member.announcement.endpoint
    if name not in member.group.members:
        member.group.members[name] = member
        member.group.in_flight += member.in_flight
        member.group.ranked.clear()
        member.kind.members[name] = member


def _unlist(fleet, member, now_s):
    member.is_listed = False
    refresh(member, now_s)
    name = member.announcement.endpoint
    if member.group.members.pop(name, None) is not None:
        member.group.ranked.clear()
        member.group.in_flight -= member.in_flight
        member.kind.members.pop(name, None)
    if not member.in_flight:
        fleet.members.pop(name, None)
        _forget_caches(fleet, name)


def _forget_caches(fleet, endpoint):
    affinity.forget_endpoint(fleet.caches, endpoint)
    affinity.forget_endpoint(fleet.sent, endpoint)


def _take_off(fleet, member, now_s):
    if member.in_flight:
        member.in_flight -= 1
        if member.is_listed:
            member.group.in_flight -= 1
    if not member.is_listed and not member.in_flight:
        fleet.members.pop(member.announcement.endpoint, None)
        return
    refresh(member, now_s)


def _set_leaving(fleet, member):
    member.is_leaving = leaving.is_leaving(member.announcement, fleet.stops)


def _remove_open(opened, name):
    position = opened.positions.pop(name)
    last = opened.members.pop()
    if position < len(opened.members):
        opened.members[position] = last
        opened.positions[last.announcement.endpoint] = position


def group_key(announcement: Announcement) -> tuple:
    """Return the key of the endpoints that do the same as this one."""
    if announcement.kind == Kind.SERVICE:
        return ("service", announcement.service)
    return (
        announcement.model,
        announcement.version,
        announcement.first_layer,
        announcement.end_layer,
    )


def _says_the_same(announcement, other):
    # All but the sequence number, which changes with each renewal of the lease.
    return announcement is other or (
        announcement[:SEQUENCE] == other[:SEQUENCE]
        and announcement[SEQUENCE + 1 :] == other[SEQUENCE + 1 :]
    )


def _sort(announcement):
    return group_key(announcement), announcement.accelerator


def _group(fleet, announcement):
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


def _kind(fleet, announcement):
    key = _sort(announcement)
    kind = fleet.kinds.get(key)
    if kind is None:
        kind = fleet.kinds[key] = KindReview()
    return kind
