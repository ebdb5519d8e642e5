"""Table of endpoints, built from heartbeats that may be late, duplicated or lost.

Every control VM and every entry keeps such a table and merges the entries that it
receives from others. Merging gives the same result in any order: per incarnation of an
endpoint the heartbeat with the highest number counts, and leaving is never undone. An
endpoint may restart under the same name. Its later incarnation then ends the earlier
one: that one's memory is lost, and its delayed heartbeats must not be taken for the new
incarnation's. This also holds if the later one has ended itself.
"""

from typing import NamedTuple

from cherryrudder.layers.profile import NO_LAYERS, LayerRange

# An endpoint sends a heartbeat every 1.2 s to one control VM of its choice. If that VM
# is cut off from the others, they receive nothing about a live endpoint until it has
# switched to another one: 1.6 s until the control VM detects it, two heartbeats, and a
# cut of some seconds. The processes that use a dead endpoint detect it long before.
LOST_AFTER_S = 9.0
# Ended endpoints are kept for longer than any heartbeat can be in flight. Otherwise a
# late heartbeat would restore them.
RETENTION_S = 60.0

# Difference between the numbers of two heartbeats. The numbers between are for the
# leader's observations, of which there are a few at most between two heartbeats.
NUMBER_STEP = 16


class Announcement(NamedTuple):
    """The last heartbeat of one incarnation of an endpoint."""

    # Identifies the incarnation; new at each start of the endpoint.
    engine_id: str
    service: str
    address: str
    vm_zone: str
    version: str
    slots: int
    # Rises by a fixed step with each heartbeat of this incarnation. Those between are
    # for a leader's observations after the heartbeat.
    number: int
    # Set by a heartbeat: the endpoint still serves, and signs off when it ends.
    is_leaving: bool = False
    cold_s: float = 0.0
    kind: str = ""
    holding: LayerRange = NO_LAYERS
    # The endpoint's name, which it may keep over a restart.
    name: str = ""
    # Orders the incarnations of one name; 0 if the endpoint doesn't send it.
    started_ms: int = 0
    # It has signed off. Without an earlier draining notice it still serves its running
    # requests for as long as others do, and ends without another notice.
    has_signed_off: bool = False
    # Its answers stated that it leaves. Either of the other notices may still follow.
    has_notified_senders: bool = False


class TableEntry(NamedTuple):
    """An announcement, and when it was received, by this process's clock.

    If only a notice of leaving has arrived, the announcement has no address. Its
    endpoint counts as gone until a heartbeat arrives.
    """

    announcement: Announcement
    last_seen_s: float
    is_gone: bool = False


class EndpointTable:
    """The endpoints by incarnation.

    `version` rises with each change that other processes need. A heartbeat that only
    renews the time is no such change.
    """

    def __init__(self):
        self.entries: dict[str, TableEntry] = {}
        self.version = 0


def record_heartbeat(
    table: EndpointTable, received: Announcement, now_s: float
) -> bool:
    """Merge a heartbeat; return whether to forward it to others at once."""
    known = table.entries.get(received.engine_id)
    if known is None and _has_later_incarnation(table, received):
        return False
    if known is None or not known.announcement.address:
        return _record_first_heartbeat(table, known, received, now_s)
    if known.is_gone:
        return False
    if received.number <= known.announcement.number:
        return has_leaving_notice(received) and _merge_notices(
            table, known, received, now_s
        )
    # Leaving is final: a heartbeat that overtook the notice must not undo it.
    received = _with_notices(received, known.announcement)
    table.entries[received.engine_id] = TableEntry(
        received, now_s, _has_ended(received)
    )
    is_changed = received._replace(number=0) != known.announcement._replace(number=0)
    table.version += is_changed
    return is_changed


def _record_first_heartbeat(table, known, received, now_s):
    """Record an incarnation's first heartbeat, which notices may have overtaken.

    Return whether it may be used: others get an ended one's with the next heartbeat.
    """
    if known is not None:
        received = _with_notices(received, known.announcement)
    entry = TableEntry(received, now_s)
    if _has_ended(received) or _has_later_incarnation(table, received):
        seen_s = now_s if known is None else known.last_seen_s
        entry = _gone_entry(received, seen_s)
    table.entries[received.engine_id] = entry
    table.version += 1
    _end_earlier_incarnations(table, received, now_s)
    return not entry.is_gone


def has_leaving_notice(announcement: Announcement) -> bool:
    """Return whether an endpoint has given any notice of leaving."""
    return (
        announcement.is_leaving
        or announcement.has_signed_off
        or announcement.has_notified_senders
    )


def _with_notices(announcement, other):
    """Return an announcement with the notices of leaving of both."""
    return announcement._replace(
        is_leaving=announcement.is_leaving or other.is_leaving,
        has_signed_off=announcement.has_signed_off or other.has_signed_off,
        has_notified_senders=announcement.has_notified_senders
        or other.has_notified_senders,
    )


def _has_ended(announcement):
    """Return whether an endpoint has drained and signed off, in either order.

    Failure: an endpoint that signs off without draining first is treated as gone. All
    its streams are broken off at once though it would have served them, their runs are
    no longer counted, and each stream runs on one engine more than its route allows or
    ends in the middle. Only an endpoint that drained first signs off at its end.
    """
    return announcement.is_leaving and announcement.has_signed_off


def _incarnations_of(table, announcement):
    """Return the known incarnations of an endpoint that sends its start times."""
    if not announcement.started_ms:
        return []
    return [
        entry
        for entry in table.entries.values()
        if entry.announcement.name == announcement.name
        and entry.announcement.started_ms
    ]


def _has_later_incarnation(table, received):
    return any(
        entry.announcement.started_ms > received.started_ms
        for entry in _incarnations_of(table, received)
    )


def _end_earlier_incarnations(table, received, now_s):
    for entry in _incarnations_of(table, received):
        if entry.is_gone or entry.announcement.started_ms >= received.started_ms:
            continue
        # Kept as gone, so that its late heartbeats have no effect.
        table.entries[entry.announcement.engine_id] = _gone_entry(
            entry.announcement, now_s
        )


def newest_incarnation(table: EndpointTable, name: str) -> str | None:
    """Return the latest known incarnation of an endpoint's name, or None."""
    found = [
        entry.announcement
        for entry in table.entries.values()
        if entry.announcement.name == name
    ]
    newest = max(found, key=lambda one: one.started_ms, default=None)
    return newest and newest.engine_id


def _merge_notices(table, known, received, now_s):
    """Add notices of leaving to a known entry; return whether any is new."""
    leaving = _with_notices(known.announcement, received)
    if leaving == known.announcement:
        return False
    table.entries[leaving.engine_id] = TableEntry(leaving, now_s, _has_ended(leaving))
    table.version += 1
    return True


def _gone_entry(announcement, now_s):
    return TableEntry(
        announcement._replace(is_leaving=True, has_signed_off=True), now_s, True
    )


def record_holding(
    table: EndpointTable, engine_id: str, holding: LayerRange, now_s: float
) -> bool:
    """Record the layers that a leader saw on an endpoint between two heartbeats.

    Return whether they changed.
    """
    known = table.entries.get(engine_id)
    if known is None or known.is_gone:
        return False
    number = known.announcement.number + 1
    if number % NUMBER_STEP == 0 or holding == known.announcement.holding:
        return False
    seen = known.announcement._replace(holding=holding, number=number)
    table.entries[engine_id] = TableEntry(seen, now_s)
    table.version += 1
    return True


def sign_off(table: EndpointTable, engine_id: str, now_s: float) -> bool:
    """Record that an endpoint has signed off; return whether that is new."""
    known = table.entries.get(engine_id)
    if known is None:
        # Its heartbeat may still be in flight, and shows whether it has drained.
        unknown = _unknown(engine_id)._replace(has_signed_off=True)
        table.entries[engine_id] = TableEntry(unknown, now_s, True)
        table.version += 1
        return True
    if known.is_gone:
        return False
    signed = known.announcement._replace(has_signed_off=True)
    return _merge_notices(table, known, signed, known.last_seen_s)


def record_leaving(table: EndpointTable, engine_id: str, now_s: float) -> bool:
    """Record that an endpoint's answer says it is leaving; return whether it is new."""
    known = table.entries.get(engine_id)
    if known is None or known.is_gone:
        return False
    notified = known.announcement._replace(has_notified_senders=True)
    return _merge_notices(table, known, notified, now_s)


def record_departure(table: EndpointTable, engine_id: str, now_s: float) -> bool:
    """Record that an endpoint has ended; return whether that is new."""
    return _record_end(table, _unknown(engine_id), now_s)


def _unknown(engine_id):
    """Return the announcement of an endpoint whose heartbeats are in flight or lost."""
    return Announcement(engine_id, "", "", "", "", 0, 0)


def _record_end(table, announcement, now_s):
    """Record that an endpoint has ended; return whether the table changes.

    Its name and start time are kept, so that it still ends earlier incarnations.
    """
    known = table.entries.get(announcement.engine_id)
    if known is not None and known.announcement.address:
        announcement = known.announcement
    ended = _gone_entry(announcement, now_s)
    if known is not None and known.is_gone and known.announcement == ended.announcement:
        return False
    table.entries[announcement.engine_id] = ended
    table.version += 1
    _end_earlier_incarnations(table, announcement, now_s)
    return True


def merge(
    table: EndpointTable, received: TableEntry, age_s: float, now_s: float
) -> bool:
    """Merge another process's entry, received there `age_s` ago.

    Return whether to forward it to others.
    """
    engine_id = received.announcement.engine_id
    seen_s = now_s - age_s
    if received.is_gone and not received.announcement.address:
        # The sender never received its heartbeat and has no record whether it drained.
        return sign_off(table, engine_id, seen_s)
    if received.is_gone:
        return _record_end(table, received.announcement, seen_s)
    known = table.entries.get(engine_id)
    is_changed = record_heartbeat(table, received.announcement, seen_s)
    known_later = known is not None and known.last_seen_s > seen_s
    if known_later and not table.entries[engine_id].is_gone:
        entry = table.entries[engine_id]
        table.entries[engine_id] = entry._replace(last_seen_s=known.last_seen_s)
    return is_changed


def sweep(table: EndpointTable, now_s: float) -> list[str]:
    """Drop expired entries; return the incarnations that stopped sending heartbeats."""
    lost = []
    for engine_id, entry in list(table.entries.items()):
        age_s = now_s - entry.last_seen_s
        if age_s > RETENTION_S:
            del table.entries[engine_id]
            if not entry.is_gone:
                lost.append(engine_id)
    return lost


def live(table: EndpointTable, now_s: float) -> list[Announcement]:
    """Return the endpoints that are neither gone nor lost, one for each address."""
    newest: dict[str, TableEntry] = {}
    # Any incarnation that was at the address before an ended one has ended as well.
    ended: dict[str, TableEntry] = {}
    for entry in table.entries.values():
        if now_s - entry.last_seen_s > LOST_AFTER_S:
            continue
        latest = ended if entry.is_gone else newest
        address = entry.announcement.address
        other = latest.get(address)
        # A later incarnation, also of another service, may reuse an address.
        if other is None or _is_later(entry, other):
            latest[address] = entry
    return [
        entry.announcement
        for address, entry in newest.items()
        if address not in ended or not _is_later(ended[address], entry)
    ]


def _is_later(entry, other):
    """Return whether an incarnation is the later one, by start time if both have it."""
    starts_ms = entry.announcement.started_ms, other.announcement.started_ms
    if all(starts_ms) and starts_ms[0] != starts_ms[1]:
        return starts_ms[0] > starts_ms[1]
    return entry.last_seen_s > other.last_seen_s


def accepts_requests(announcement: Announcement) -> bool:
    """Return whether an endpoint may get new requests."""
    return not has_leaving_notice(announcement)
