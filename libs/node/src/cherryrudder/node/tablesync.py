"""Keeping the endpoints' tables of several processes alike, by news and by beats.

A reader tells how far it has followed a table; the answer has what changed since, and
signs of life. The reader that missed some news thus gets them with the next beat.
"""

from cherryrudder.layers.profile import Holding
from cherryrudder.routing import endpoints
from cherryrudder.routing.endpoints import Announcement, EndpointTable, Entry

from .gossip import EndpointState, Liveness, SyncPosition

# Signs of life are passed on for endpoints heard within this time; two beats and a
# heartbeat's way. Older ones bring the reader nothing that it doesn't have.
LIVENESS_MAX_AGE_S = 2.0


class SharedTable:
    """A table whose changes are numbered for its readers."""

    def __init__(self, boot: str):
        self.boot = boot
        self.table = EndpointTable()
        # The table's version at which each endpoint last changed.
        self.changed: dict[str, int] = {}


def mark_changed(shared: SharedTable, engine_id: str) -> None:
    """Take note that an endpoint has changed with the table's present version."""
    shared.changed[engine_id] = shared.table.version


def _mark_if_changed(shared, engine_id, is_news):
    """Take note of an endpoint if it has changed; tell whether it has."""
    if is_news:
        mark_changed(shared, engine_id)
    return is_news


def hear(shared: SharedTable, heard: Announcement, now_s: float) -> bool:
    """Take a heartbeat; tell whether it is news."""
    is_news = endpoints.hear(shared.table, heard, now_s)
    return _mark_if_changed(shared, heard.engine_id, is_news)


def record_holding(
    shared: SharedTable, engine_id: str, holding: Holding, now_s: float
) -> bool:
    """Take the layers that an endpoint was seen to hold; tell whether it is news."""
    is_news = endpoints.observe(shared.table, engine_id, holding, now_s)
    return _mark_if_changed(shared, engine_id, is_news)


def record_sign_off(shared: SharedTable, engine_id: str, now_s: float) -> bool:
    """Take an endpoint's word that it signs off; tell whether it is news."""
    is_news = endpoints.sign_off(shared.table, engine_id, now_s)
    return _mark_if_changed(shared, engine_id, is_news)


def tell_senders(shared: SharedTable, engine_id: str, now_s: float) -> bool:
    """Take an endpoint's word in an answer that it leaves; tell whether it is news."""
    is_news = endpoints.tell_senders(shared.table, engine_id, now_s)
    return _mark_if_changed(shared, engine_id, is_news)


def depart(shared: SharedTable, engine_id: str, now_s: float) -> bool:
    """Take a departure; tell whether it is news."""
    is_news = endpoints.depart(shared.table, engine_id, now_s)
    return _mark_if_changed(shared, engine_id, is_news)


def merge(
    shared: SharedTable, heard: tuple[EndpointState, ...], now_s: float
) -> list[str]:
    """Merge what another process knows; return the incarnations it is news of."""
    news = []
    for one in heard:
        engine_id = one.announcement.engine_id
        entry = Entry(one.announcement, 0.0, one.is_gone)
        if endpoints.merge(shared.table, entry, one.age_s, now_s):
            mark_changed(shared, engine_id)
            news.append(engine_id)
    return news


def merge_liveness(
    shared: SharedTable, alive: tuple[Liveness, ...], now_s: float
) -> None:
    """Take signs of life."""
    for sign in alive:
        known = shared.table.entries.get(sign.engine_id)
        if known is None or known.is_gone:
            continue
        heard_s = now_s - sign.age_s
        if heard_s <= known.heard_s:
            continue
        # It brings no number: what it came with may differ from what is known here,
        # and that news would then seem to be old when it comes.
        shared.table.entries[sign.engine_id] = known._replace(heard_s=heard_s)


def changes_since(
    shared: SharedTable, seen: SyncPosition, now_s: float
) -> tuple[EndpointState, ...]:
    """Return what a reader lacks; all of it after a restart of either side."""
    since = seen.version if seen.boot == shared.boot else -1
    return tuple(
        report_endpoint(entry, now_s)
        for engine_id, entry in shared.table.entries.items()
        if shared.changed.get(engine_id, 0) > since
    )


def recent_liveness(shared: SharedTable, now_s: float) -> tuple[Liveness, ...]:
    """Return the recent signs of life."""
    return tuple(
        Liveness(engine_id, now_s - entry.heard_s)
        for engine_id, entry in shared.table.entries.items()
        if not entry.is_gone and now_s - entry.heard_s < LIVENESS_MAX_AGE_S
    )


def report_endpoint(entry: Entry, now_s: float) -> EndpointState:
    """Return an entry of the table as it is told to others."""
    return EndpointState(entry.announcement, now_s - entry.heard_s, entry.is_gone)


def report_endpoints(
    shared: SharedTable, engine_ids, now_s: float
) -> tuple[EndpointState, ...]:
    """Return some entries of the table as they are told to others."""
    entries = (shared.table.entries.get(engine_id) for engine_id in engine_ids)
    return tuple(
        report_endpoint(entry, now_s) for entry in entries if entry is not None
    )


def sweep(shared: SharedTable, now_s: float) -> list[str]:
    """Forget what is long gone; return the incarnations that fell silent."""
    lost = endpoints.sweep(shared.table, now_s)
    for engine_id in set(shared.changed) - set(shared.table.entries):
        del shared.changed[engine_id]
    return lost
