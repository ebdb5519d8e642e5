"""Endpoints as an entry or sidecar knows them, over several control VMs.

An endpoint is live if any control VM that still answers holds it. What is only held
by a silent one is kept for a while, and the rules below say for how long.
"""

from enum import StrEnum
from typing import NamedTuple

from cherryrudder.model.endpoints import Announcement

from .incarnation import age_key
from .table import TableDelta

# Watches are answered at least every second, also when nothing changed; three missed
# answers mean that the control VM is frozen, dead or cut off.
STALE_TIMEOUT_S = 3.0
# What only a silent control VM held is kept for this long after its last answer. Its
# sidecars announce every half second, notice within about two, and turn to another
# control VM; so an endpoint that lives is held elsewhere by then, and one that died
# together with the control VM still leaves within seconds.
RETENTION_S = 5.0
# Credits and steps come over a live link many times a second; two seconds is the
# lease that the announcements themselves have.
LINK_TIMEOUT_S = 2.0


class MergeResult(StrEnum):
    """What became of a delta; after `gap` ask again from `position`."""

    TAKEN = "taken"
    OLD = "old"
    GAP = "gap"


class Link(NamedTuple):
    """An endpoint that this process itself heard from."""

    announcement: Announcement
    last_seen_s: float


class View:
    """One control VM's table as last heard; `carried` is from before its restart."""

    def __init__(self):
        self.epoch = ""
        self.version = 0
        self.last_seen_s = 0.0
        self.endpoints: dict[str, Announcement] = {}
        self.carried: dict[str, Announcement] = {}
        self.carried_s = 0.0


class Reader:
    """The views of all control VMs that this process watches."""

    def __init__(
        self,
        stale_timeout_s: float = STALE_TIMEOUT_S,
        retention_s: float = RETENTION_S,
        link_timeout_s: float = LINK_TIMEOUT_S,
    ):
        self.stale_timeout_s = stale_timeout_s
        self.retention_s = retention_s
        self.link_timeout_s = link_timeout_s
        self.reconnected_s = 0.0
        self.views: dict[str, View] = {}
        self.links: dict[str, Link] = {}


def merge(reader: Reader, source: str, delta: TableDelta, now_s: float) -> MergeResult:
    """Take in a control VM's delta; lost, doubled and reordered ones do no harm."""
    view = reader.views.setdefault(source, View())
    verdict = _check_delta(view, delta)
    if verdict != MergeResult.TAKEN:
        return verdict
    # After a long cut the first control VM to answer must not wipe what the others,
    # which answer a moment later, still hold.
    if not _any_fresh(reader, now_s):
        reader.reconnected_s = now_s
    view.last_seen_s = now_s
    if delta.epoch != view.epoch:
        _change_epoch(view, delta.epoch, now_s)
    if delta.full:
        view.endpoints = {}
    view.version = delta.version
    for name in delta.gone:
        view.endpoints.pop(name, None)
    for announcement in delta.announced:
        view.endpoints[announcement.endpoint] = announcement
        _update_link(reader, announcement)
    _drop_expired(reader, now_s)
    return MergeResult.TAKEN


def position(reader: Reader, source: str) -> tuple[str, int]:
    """Return the epoch and version from which to ask a control VM on."""
    view = reader.views.get(source)
    return (view.epoch, view.version) if view else ("", 0)


def endpoints(reader: Reader, now_s: float) -> tuple[Announcement, ...]:
    """Return the newest announcement of each endpoint that counts as live."""
    best: dict[str, Announcement] = {}
    any_fresh = _any_fresh(reader, now_s)
    for view in reader.views.values():
        # Without one answering control VM this process is itself cut off, and time
        # proves nothing against any endpoint. It keeps what it knows; links that fail
        # show which endpoints are dead, and a leaving one refuses work itself.
        if not any_fresh or not _is_expired(reader, view.last_seen_s, now_s):
            _take_newest(best, view.endpoints.values())
        if not any_fresh or not _is_expired(reader, view.carried_s, now_s):
            _take_newest(best, view.carried.values())
    _take_newest(best, _live_links(reader, now_s))
    return tuple(best[name] for name in sorted(best))


def record_link_seen(
    reader: Reader, endpoint: str, incarnation: str, now_s: float
) -> None:
    """Record that an incarnation of an endpoint was heard directly.

    Where the sidecars are cut off from the control VMs but not from this process, all
    leases run out at once; what still answers here goes on serving.
    """
    found: dict[str, Announcement] = {}
    for view in reader.views.values():
        _take_newest(found, filter(None, [view.endpoints.get(endpoint)]))
    if endpoint in reader.links:
        _take_newest(found, [reader.links[endpoint].announcement])
    newest = found.get(endpoint)
    if newest and newest.incarnation == incarnation:
        reader.links[endpoint] = Link(newest, now_s)


def record_link_lost(reader: Reader, endpoint: str) -> None:
    """Record that the link to an endpoint broke; its lease alone counts now."""
    reader.links.pop(endpoint, None)


def _check_delta(view, delta):
    # Epochs have no order. A late answer of a control VM's earlier run would bring its
    # old table back; it is known by the epoch that it was asked from, which has been
    # left since. The run that goes on always answers from the present epoch.
    if delta.epoch != view.epoch and delta.asked != view.epoch:
        return MergeResult.OLD
    if delta.epoch != view.epoch:
        return MergeResult.TAKEN if delta.full else MergeResult.GAP
    if delta.version < view.version:
        return MergeResult.OLD
    if not delta.full and delta.since > view.version:
        return MergeResult.GAP
    return MergeResult.TAKEN


def _change_epoch(view, epoch, now_s):
    # A control VM that restarted begins with an empty table. Its endpoints announce
    # again within a second; until then they would all be missing here.
    if view.epoch:
        view.carried = view.carried | view.endpoints
        view.carried_s = now_s
    view.epoch = epoch


def _any_fresh(reader, now_s):
    return any(
        view.epoch and now_s - view.last_seen_s <= reader.stale_timeout_s
        for view in reader.views.values()
    )


def _is_expired(reader, since_s, now_s):
    return now_s - max(since_s, reader.reconnected_s) > reader.retention_s


def _drop_expired(reader, now_s):
    """Empty the views that no longer count, lest a later cut bring them back."""
    for view in reader.views.values():
        if _is_expired(reader, view.carried_s, now_s):
            view.carried = {}
        if _is_expired(reader, view.last_seen_s, now_s):
            view.endpoints = {}
            view.version = 0
    limit_s = now_s - reader.link_timeout_s
    for name in [n for n, link in reader.links.items() if link.last_seen_s < limit_s]:
        del reader.links[name]


def _live_links(reader, now_s):
    limit_s = now_s - reader.link_timeout_s
    return [
        link.announcement
        for link in reader.links.values()
        if link.last_seen_s >= limit_s
    ]


def _update_link(reader, announcement):
    link = reader.links.get(announcement.endpoint)
    if link and age_key(announcement) > age_key(link.announcement):
        reader.links[announcement.endpoint] = link._replace(announcement=announcement)


def _take_newest(best, announcements):
    for announcement in announcements:
        held = best.get(announcement.endpoint)
        if held is None or age_key(announcement) > age_key(held):
            best[announcement.endpoint] = announcement
