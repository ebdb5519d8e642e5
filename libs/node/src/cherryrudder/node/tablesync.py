"""Synchronize the endpoint tables of several processes, by updates and heartbeats.

A reader acknowledges how far it has followed a table. The answer has the changes since
then and the endpoints' liveness, so that a reader that missed an update gets its
changes with the next heartbeat.
"""

from cherryrudder.layers.profile import LayerRange
from cherryrudder.routing import endpoints
from cherryrudder.routing.endpoints import Announcement, EndpointTable, TableEntry

from .gossip import EndpointState, Liveness, SyncPosition

# Signs of life are forwarded up to this age: two heartbeats of a control VM and the way
# of an endpoint's heartbeat. Readers already have older ones.
LIVENESS_MAX_AGE_S = 2.0


class SharedTable:
    """An endpoint table with numbered changes, so that readers can follow them."""

    def __init__(self, boot: str):
        self.boot = boot
        self.table = EndpointTable()
        # The table's version at which each endpoint last changed.
        self.changed: dict[str, int] = {}


def mark_changed(shared: SharedTable, engine_id: str) -> None:
    """Record that an endpoint changed in the table's current version."""
    shared.changed[engine_id] = shared.table.version


def _mark_if_changed(shared, engine_id, is_new):
    """Record an endpoint's change if there is one; return whether there is."""
    if is_new:
        mark_changed(shared, engine_id)
    return is_new


def record_heartbeat(
    shared: SharedTable, announcement: Announcement, now_s: float
) -> bool:
    """Record an endpoint's heartbeat; return whether to publish the endpoint."""
    version = shared.table.version
    is_new = endpoints.record_heartbeat(shared.table, announcement, now_s)
    is_changed = shared.table.version != version
    _mark_if_changed(shared, announcement.engine_id, is_changed)
    return is_new


def record_holding(
    shared: SharedTable, engine_id: str, holding: LayerRange, now_s: float
) -> bool:
    """Record the layers that an endpoint holds; return whether they changed."""
    is_new = endpoints.record_holding(shared.table, engine_id, holding, now_s)
    return _mark_if_changed(shared, engine_id, is_new)


def record_sign_off(shared: SharedTable, engine_id: str, now_s: float) -> bool:
    """Record that an endpoint signs off; return whether it changes the table."""
    is_new = endpoints.sign_off(shared.table, engine_id, now_s)
    return _mark_if_changed(shared, engine_id, is_new)


def record_leaving(shared: SharedTable, engine_id: str, now_s: float) -> bool:
    """Record that an endpoint's answer says it is leaving; return whether it is new."""
    is_new = endpoints.record_leaving(shared.table, engine_id, now_s)
    return _mark_if_changed(shared, engine_id, is_new)


def record_departure(shared: SharedTable, engine_id: str, now_s: float) -> bool:
    """Record an endpoint's departure; return whether it changes the table."""
    is_new = endpoints.record_departure(shared.table, engine_id, now_s)
    return _mark_if_changed(shared, engine_id, is_new)


def merge(
    shared: SharedTable, reported: tuple[EndpointState, ...], now_s: float
) -> list[str]:
    """Merge another process's endpoints; return the incarnations to publish."""
    changed = []
    for one in reported:
        engine_id = one.announcement.engine_id
        entry = TableEntry(one.announcement, 0.0, one.is_gone)
        version = shared.table.version
        if endpoints.merge(shared.table, entry, one.age_s, now_s):
            changed.append(engine_id)
        _mark_if_changed(shared, engine_id, shared.table.version != version)
    return changed


def merge_liveness(
    shared: SharedTable, alive: tuple[Liveness, ...], now_s: float
) -> None:
    """Apply signs of life to endpoints that are in the table."""
    for sign in alive:
        known = shared.table.entries.get(sign.engine_id)
        if known is None or known.is_gone:
            continue
        last_seen_s = now_s - sign.age_s
        if last_seen_s <= known.last_seen_s:
            continue
        # The heartbeat's number isn't taken over: the sender may hold a newer state,
        # which would then seem old when it arrives.
        shared.table.entries[sign.engine_id] = known._replace(last_seen_s=last_seen_s)


def changes_since(
    shared: SharedTable, acked: SyncPosition, now_s: float
) -> tuple[EndpointState, ...]:
    """Return what a reader lacks: all endpoints after a restart of either side."""
    since = acked.version if acked.boot == shared.boot else -1
    return tuple(
        report_endpoint(entry, now_s)
        for engine_id, entry in shared.table.entries.items()
        if shared.changed.get(engine_id, 0) > since
    )


def recent_liveness(shared: SharedTable, now_s: float) -> tuple[Liveness, ...]:
    """Return the recent signs of life."""
    return tuple(
        Liveness(engine_id, now_s - entry.last_seen_s)
        for engine_id, entry in shared.table.entries.items()
        if not entry.is_gone and now_s - entry.last_seen_s < LIVENESS_MAX_AGE_S
    )


def report_endpoint(entry: TableEntry, now_s: float) -> EndpointState:
    """Return an entry of the table in the form in which it is sent."""
    return EndpointState(entry.announcement, now_s - entry.last_seen_s, entry.is_gone)


def report_endpoints(
    shared: SharedTable, engine_ids, now_s: float
) -> tuple[EndpointState, ...]:
    """Return some entries of the table in the form in which they are sent."""
    entries = (shared.table.entries.get(engine_id) for engine_id in engine_ids)
    return tuple(
        report_endpoint(entry, now_s) for entry in entries if entry is not None
    )


def sweep(shared: SharedTable, now_s: float) -> list[str]:
    """Drop endpoints that are long gone; return the incarnations that timed out."""
    lost = endpoints.sweep(shared.table, now_s)
    for engine_id in set(shared.changed) - set(shared.table.entries):
        del shared.changed[engine_id]
    return lost
