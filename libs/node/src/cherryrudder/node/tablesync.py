"""Keeping the endpoints' tables of several processes alike, by news and by beats.

A reader tells how far it has followed a table; the answer has what changed since, and
signs of life. The reader that missed some news thus gets them with the next beat.
"""

from cherryrudder.layers.profile import LayerRange
from cherryrudder.routing import endpoints
from cherryrudder.routing.endpoints import Announcement, EndpointTable, TableEntry

from .gossip import Alive, Heard, TableMark

# Signs of life are passed on for endpoints heard within this time; two beats and a
# heartbeat's way. Older ones bring the reader nothing that it doesn't have.
ALIVE_S = 2.0


class SharedTable:
    """A table whose changes are numbered for its readers."""

    def __init__(self, boot: str):
        self.boot = boot
        self.table = EndpointTable()
        # The table's version at which each endpoint last changed.
        self.changed: dict[str, int] = {}


def note(shared: SharedTable, engine_id: str) -> None:
    """Take note that an endpoint has changed with the table's present version."""
    shared.changed[engine_id] = shared.table.version


def _noted(shared, engine_id, is_news):
    """Take note of an endpoint if it has changed; tell whether it has."""
    if is_news:
        note(shared, engine_id)
    return is_news


def record_heartbeat(shared: SharedTable, heard: Announcement, now_s: float) -> bool:
    """Take a heartbeat; tell whether it is news."""
    is_news = endpoints.record_heartbeat(shared.table, heard, now_s)
    return _noted(shared, heard.engine_id, is_news)


def observe(
    shared: SharedTable, engine_id: str, holding: LayerRange, now_s: float
) -> bool:
    """Take the layers that an endpoint was seen to hold; tell whether it is news."""
    is_news = endpoints.record_holding(shared.table, engine_id, holding, now_s)
    return _noted(shared, engine_id, is_news)


def sign_off(shared: SharedTable, engine_id: str, now_s: float) -> bool:
    """Take an endpoint's word that it signs off; tell whether it is news."""
    is_news = endpoints.sign_off(shared.table, engine_id, now_s)
    return _noted(shared, engine_id, is_news)


def record_leaving(shared: SharedTable, engine_id: str, now_s: float) -> bool:
    """Take an endpoint's word in an answer that it leaves; tell whether it is news."""
    is_news = endpoints.record_leaving(shared.table, engine_id, now_s)
    return _noted(shared, engine_id, is_news)


def record_departure(shared: SharedTable, engine_id: str, now_s: float) -> bool:
    """Take a departure; tell whether it is news."""
    is_news = endpoints.record_departure(shared.table, engine_id, now_s)
    return _noted(shared, engine_id, is_news)


def take(shared: SharedTable, heard: tuple[Heard, ...], now_s: float) -> list[str]:
    """Merge what another process knows; return the incarnations it is news of."""
    news = []
    for one in heard:
        engine_id = one.announcement.engine_id
        entry = TableEntry(one.announcement, 0.0, one.is_gone)
        if endpoints.merge(shared.table, entry, one.age_s, now_s):
            note(shared, engine_id)
            news.append(engine_id)
    return news


def take_alive(shared: SharedTable, alive: tuple[Alive, ...], now_s: float) -> None:
    """Take signs of life."""
    for sign in alive:
        known = shared.table.entries.get(sign.engine_id)
        if known is None or known.is_gone:
            continue
        heard_s = now_s - sign.age_s
        if heard_s <= known.last_seen_s:
            continue
        # It brings no number: what it came with may differ from what is known here,
        # and that news would then seem to be old when it comes.
        shared.table.entries[sign.engine_id] = known._replace(last_seen_s=heard_s)


def news_since(shared: SharedTable, seen: TableMark, now_s: float) -> tuple[Heard, ...]:
    """Return what a reader lacks; all of it after a restart of either side."""
    since = seen.version if seen.boot == shared.boot else -1
    return tuple(
        heard_of(entry, now_s)
        for engine_id, entry in shared.table.entries.items()
        if shared.changed.get(engine_id, 0) > since
    )


def signs(shared: SharedTable, now_s: float) -> tuple[Alive, ...]:
    """Return the recent signs of life."""
    return tuple(
        Alive(engine_id, now_s - entry.last_seen_s)
        for engine_id, entry in shared.table.entries.items()
        if not entry.is_gone and now_s - entry.last_seen_s < ALIVE_S
    )


def heard_of(entry: TableEntry, now_s: float) -> Heard:
    """Return an entry of the table as it is told to others."""
    return Heard(entry.announcement, now_s - entry.last_seen_s, entry.is_gone)


def news_of(shared: SharedTable, engine_ids, now_s: float) -> tuple[Heard, ...]:
    """Return some entries of the table as they are told to others."""
    entries = (shared.table.entries.get(engine_id) for engine_id in engine_ids)
    return tuple(heard_of(entry, now_s) for entry in entries if entry is not None)


def sweep(shared: SharedTable, now_s: float) -> list[str]:
    """Forget what is long gone; return the incarnations that fell silent."""
    lost = endpoints.sweep(shared.table, now_s)
    for engine_id in set(shared.changed) - set(shared.table.entries):
        del shared.changed[engine_id]
    return lost
