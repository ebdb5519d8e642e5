"""Merges the endpoint tables of several control VMs in an entry or sidecar.

An endpoint is live if any control VM that still answers lists it. Endpoints listed only
by a control VM that stopped answering are kept for a limited time, see below.
"""

from enum import StrEnum
from typing import NamedTuple

from cherryrudder.model.endpoints import Announcement

from .incarnation import age_key
from .table import TableDelta

# Watches are answered at least every second, also when nothing changed. Three missed
# answers mean that the control VM is frozen, dead or unreachable.
STALE_TIMEOUT_S = 3.0
# Endpoints of a control VM are kept for this long after its last answer. Its sidecars
# announce every half second, detect the failure within about two seconds, and switch to
# another control VM. So a live endpoint is listed elsewhere by then, and one that died
# together with the control VM is still dropped within seconds.
RETENTION_S = 5.0
# Credits and steps arrive over a live link many times a second. Two seconds is also the
# lease of the announcements.
LINK_TIMEOUT_S = 2.0


class MergeResult(StrEnum):
    """Outcome of a delta; after `gap`, request again from `position`."""

    TAKEN = "taken"
    OLD = "old"
    GAP = "gap"


class Link(NamedTuple):
    """An endpoint that this process receives messages from directly."""

    announcement: Announcement
    last_seen_s: float


class Ended(NamedTuple):
    """An incarnation that a control VM no longer lists, and since when."""

    incarnation: str
    at_s: float


class View:
    """A control VM's table as last received, and the one before its restart."""

    def __init__(self):
        self.epoch = ""
        self.version = 0
        self.last_seen_s = 0.0
        self.endpoints: dict[str, Announcement] = {}
        self.previous_endpoints: dict[str, Announcement] = {}
        self.restarted_s = 0.0


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
        # The latest incarnation that ended, by endpoint. A control VM that is silent by
        # then may still list an earlier one.
        self.ended: dict[str, Ended] = {}


def merge(reader: Reader, source: str, delta: TableDelta, now_s: float) -> MergeResult:
    """Merge a control VM's delta; deltas may be lost, duplicated or reordered."""
    view = reader.views.setdefault(source, View())
    verdict = _check_delta(view, delta)
    if verdict != MergeResult.TAKEN:
        return verdict
    # After a long disconnection, the first answer must not drop the endpoints of other
    # control VMs that will answer shortly after.
    if not _any_fresh(reader, now_s):
        reader.reconnected_s = now_s
    view.last_seen_s = now_s
    if delta.epoch != view.epoch:
        _change_epoch(view, delta.epoch, now_s)
    before = view.endpoints
    if delta.full:
        view.endpoints = {}
    view.version = delta.version
    for name in delta.gone:
        _record_ended(reader, before.get(name), now_s)
        view.endpoints.pop(name, None)
    for announcement in delta.announced:
        view.endpoints[announcement.endpoint] = announcement
        _update_link(reader, announcement)
    if delta.full:
        for name in before.keys() - view.endpoints.keys():
            _record_ended(reader, before[name], now_s)
    _drop_expired(reader, now_s)
    return MergeResult.TAKEN


def position(reader: Reader, source: str) -> tuple[str, int]:
    """Return the epoch and version from which to request a control VM's changes."""
    view = reader.views.get(source)
    return (view.epoch, view.version) if view else ("", 0)


def endpoints(reader: Reader, now_s: float) -> tuple[Announcement, ...]:
    """Return the newest announcement of each endpoint considered live."""
    best: dict[str, Announcement] = {}
    any_fresh = _any_fresh(reader, now_s)
    for view in reader.views.values():
        # If no control VM answers, this process is itself disconnected, and the age of
        # an announcement doesn't show that the endpoint is dead. All are kept then:
        # failing links show which endpoints are dead, and leaving ones refuse work.
        if not any_fresh or not _is_expired(reader, view.last_seen_s, now_s):
            _take_newest(best, view.endpoints.values())
        if not any_fresh or not _is_expired(reader, view.restarted_s, now_s):
            _take_newest(best, view.previous_endpoints.values())
    _take_newest(best, _live_links(reader, now_s))
    return tuple(
        best[name] for name in sorted(best) if not _is_superseded(reader, best[name])
    )


def record_link_seen(
    reader: Reader, endpoint: str, incarnation: str, now_s: float
) -> None:
    """Record a message received directly from an incarnation of an endpoint.

    If the sidecars are disconnected from the control VMs but not from this process, all
    leases expire at once; endpoints with a live link keep serving here.
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
    """Record that the link to an endpoint broke, so that only its lease counts."""
    reader.links.pop(endpoint, None)


def _check_delta(view, delta):
    # Epochs have no order. A late answer of a control VM's earlier run must not restore
    # its old table. It is detected by the epoch of its request, which is no longer the
    # view's; answers of the current run are to requests from the view's epoch.
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
    # A restarted control VM begins with an empty table. Its endpoints announce again
    # within a second and would be missing here until then.
    if view.epoch:
        view.previous_endpoints = view.previous_endpoints | view.endpoints
        view.restarted_s = now_s
    view.epoch = epoch


def _record_ended(reader, announcement, now_s):
    if announcement is None:
        return
    known = reader.ended.get(announcement.endpoint)
    if known is None or announcement.incarnation >= known.incarnation:
        ended = Ended(announcement.incarnation, now_s)
        reader.ended[announcement.endpoint] = ended


def _is_superseded(reader, announcement):
    """Return whether a later incarnation was listed and has ended."""
    ended = reader.ended.get(announcement.endpoint)
    return ended is not None and announcement.incarnation < ended.incarnation


def _any_fresh(reader, now_s):
    return any(
        view.epoch and now_s - view.last_seen_s <= reader.stale_timeout_s
        for view in reader.views.values()
    )


def _is_expired(reader, since_s, now_s):
    return now_s - max(since_s, reader.reconnected_s) > reader.retention_s


def _drop_expired(reader, now_s):
    """Clear expired views, so that a later disconnection doesn't restore them."""
    for view in reader.views.values():
        if _is_expired(reader, view.restarted_s, now_s):
            view.previous_endpoints = {}
        if _is_expired(reader, view.last_seen_s, now_s):
            view.endpoints = {}
            view.version = 0
    # Not kept for longer: a control VM that restarted may list an endpoint again whose
    # clock was set back.
    for name in [
        name
        for name, ended in reader.ended.items()
        if _is_expired(reader, ended.at_s, now_s)
    ]:
        del reader.ended[name]
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
        known = best.get(announcement.endpoint)
        if known is None or age_key(announcement) > age_key(known):
            best[announcement.endpoint] = announcement
