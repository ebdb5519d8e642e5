"""What is known of the endpoints, from heartbeats that come late, twice or never.

Every control VM and every entry keeps such a table and merges what it hears of others.
Merging gives the same result in any order: per incarnation of an endpoint the heartbeat
with the highest number counts, and leaving is never taken back. An endpoint may start
again under the name that it had. Its later incarnation then ends the earlier one: that
one's memory is gone, and a heartbeat of it that was held up must not speak for the new
one.
"""

from typing import NamedTuple

from cherryrudder.layers.profile import NO_LAYERS, LayerRange

# An endpoint reports every 1.2 s, to one control VM that it chose. When that one is cut
# off from the others, they hear nothing of an endpoint that lives, until it has turned
# to another: 1.6 s until the control VM knows, two reports, and a cut that lasts some
# seconds. One that is dead is found out by those who use it long before.
LOST_AFTER_S = 9.0
# A departure is remembered for longer than any heartbeat can be under way: a late one
# would otherwise bring the endpoint back.
FORGET_AFTER_S = 60.0

# Distance of an endpoint's own numbers. A leader looks a few times between two of its
# heartbeats at most.
NUMBER_STEP = 16


class Announcement(NamedTuple):
    """What one incarnation of an endpoint last said of itself."""

    # New at each start of the endpoint, and the key of all that is known of it.
    engine_id: str
    service: str
    address: str
    vm_zone: str
    version: str
    slots: int
    # Rises with each heartbeat of this incarnation by `WORD`; the numbers between are
    # for what a leader saw after it.
    number: int
    # Its own word in a heartbeat: it still serves, and signs off when it ends.
    is_leaving: bool = False
    cold_s: float = 0.0
    kind: str = ""
    holding: LayerRange = NO_LAYERS
    # The endpoint's own name, which it may keep over a restart.
    name: str = ""
    # Orders the incarnations of one name; 0 where the endpoint doesn't tell.
    started_ms: int = 0
    # It signed off from the list. With no word that it drains before, it still serves
    # what it has for as long as others do, and ends without another word.
    has_signed_off: bool = False
    # It told its senders that it leaves. Either notice may still follow.
    has_notified_senders: bool = False


class TableEntry(NamedTuple):
    """An announcement, and when this process heard of it, by its own clock."""

    announcement: Announcement
    last_seen_s: float
    is_gone: bool = False


class EndpointTable:
    """The endpoints by incarnation; `version` rises with what others should hear.

    A bare sign of life isn't such a change.
    """

    def __init__(self):
        self.entries: dict[str, TableEntry] = {}
        self.version = 0


def record_heartbeat(table: EndpointTable, heard: Announcement, now_s: float) -> bool:
    """Take a heartbeat; tell whether others should hear of it at once."""
    known = table.entries.get(heard.engine_id)
    if known is None:
        if _has_later_incarnation(table, heard):
            return False
        _end_earlier_incarnations(table, heard, now_s)
        table.entries[heard.engine_id] = TableEntry(heard, now_s)
        table.version += 1
        return True
    if known.is_gone:
        # Its departure came first; it still tells that those before have ended.
        _end_earlier_incarnations(table, heard, now_s)
        return False
    if heard.number <= known.announcement.number:
        return has_leaving_notice(heard) and _leave(table, known, heard, now_s)
    # Leaving is for good: a heartbeat that overtook the notice must not undo it.
    heard = _with_notices(heard, known.announcement)
    table.entries[heard.engine_id] = TableEntry(heard, now_s, _has_ended(heard))
    is_news = heard._replace(number=0) != known.announcement._replace(number=0)
    table.version += is_news
    return is_news


def has_leaving_notice(announcement: Announcement) -> bool:
    """Tell whether an endpoint said that it leaves, in whatever way."""
    return (
        announcement.is_leaving
        or announcement.has_signed_off
        or announcement.has_notified_senders
    )


def _with_notices(announcement, other):
    """Return an announcement with the notices of leaving that either one has."""
    return announcement._replace(
        is_leaving=announcement.is_leaving or other.is_leaving,
        has_signed_off=announcement.has_signed_off or other.has_signed_off,
        has_notified_senders=announcement.has_notified_senders
        or other.has_notified_senders,
    )


def _has_ended(announcement):
    """Tell whether an endpoint gave both notices, in whatever order they came.

    Failure: one that signs off without a word before is taken for gone. All its streams
    are broken off in that moment though it would have served them, their runs don't
    count any more, and each goes to one engine more than its route allows or ends in
    the middle. Only one that drained first signs off at its end.
    """
    return announcement.is_leaving and announcement.has_signed_off


def _incarnations_of(table, announcement):
    """Return the known incarnations of an endpoint that tells them apart."""
    if not announcement.started_ms:
        return []
    return [
        entry
        for entry in table.entries.values()
        if entry.announcement.name == announcement.name
        and entry.announcement.started_ms
    ]


def _has_later_incarnation(table, heard):
    return any(
        entry.announcement.started_ms > heard.started_ms
        for entry in _incarnations_of(table, heard)
    )


def _end_earlier_incarnations(table, heard, now_s):
    for entry in _incarnations_of(table, heard):
        if entry.announcement.started_ms >= heard.started_ms:
            continue
        # Kept as gone, so that its late heartbeats stay without effect.
        table.entries[entry.announcement.engine_id] = _gone(entry.announcement, now_s)


def newest_incarnation(table: EndpointTable, name: str) -> str | None:
    """Return the last incarnation that is known of an endpoint's name, if any."""
    found = [
        entry.announcement
        for entry in table.entries.values()
        if entry.announcement.name == name
    ]
    newest = max(found, key=lambda one: one.started_ms, default=None)
    return newest and newest.engine_id


def _leave(table, known, heard, now_s):
    """Take a notice of leaving that later heartbeats overtook; tell whether news."""
    leaving = _with_notices(known.announcement, heard)
    if leaving == known.announcement:
        return False
    table.entries[leaving.engine_id] = TableEntry(leaving, now_s, _has_ended(leaving))
    table.version += 1
    return True


def _gone(announcement, now_s):
    return TableEntry(
        announcement._replace(is_leaving=True, has_signed_off=True), now_s, True
    )


def record_holding(
    table: EndpointTable, engine_id: str, holding: LayerRange, now_s: float
) -> bool:
    """Take the layers that an endpoint was seen to hold between two heartbeats."""
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
    """Take an endpoint's word that it signs off; tell whether it is news."""
    known = table.entries.get(engine_id)
    if known is None:
        return record_departure(table, engine_id, now_s)
    if known.is_gone:
        return False
    signed = known.announcement._replace(has_signed_off=True)
    return _leave(table, known, signed, known.last_seen_s)


def record_leaving(table: EndpointTable, engine_id: str, now_s: float) -> bool:
    """Take an endpoint's word in an answer that it leaves; tell whether it is news."""
    known = table.entries.get(engine_id)
    if known is None or known.is_gone:
        return False
    told = known.announcement._replace(has_notified_senders=True)
    return _leave(table, known, told, now_s)


def record_departure(table: EndpointTable, engine_id: str, now_s: float) -> bool:
    """Take an endpoint as ended; tell whether it is news."""
    known = table.entries.get(engine_id)
    if known is not None and known.is_gone:
        return False
    # Of one that was never heard, heartbeats may still be under way.
    unheard = Announcement(engine_id, "", "", "", "", 0, 0)
    announcement = known.announcement if known else unheard
    table.entries[engine_id] = _gone(announcement, now_s)
    table.version += 1
    return True


def merge(table: EndpointTable, heard: TableEntry, age_s: float, now_s: float) -> bool:
    """Take what another process knows, heard there `age_s` ago."""
    engine_id = heard.announcement.engine_id
    if heard.is_gone and not heard.announcement.address:
        # Its teller had never heard it, and can't know whether it drained before.
        return sign_off(table, engine_id, now_s)
    if heard.is_gone:
        return record_departure(table, engine_id, now_s)
    known = table.entries.get(engine_id)
    is_news = record_heartbeat(table, heard.announcement, now_s - age_s)
    known_later = known is not None and known.last_seen_s > now_s - age_s
    if known_later and not table.entries[engine_id].is_gone:
        entry = table.entries[engine_id]
        table.entries[engine_id] = entry._replace(last_seen_s=known.last_seen_s)
    return is_news


def sweep(table: EndpointTable, now_s: float) -> list[str]:
    """Forget what is long gone, and return the incarnations that fell silent."""
    lost = []
    for engine_id, entry in list(table.entries.items()):
        age_s = now_s - entry.last_seen_s
        if age_s > FORGET_AFTER_S:
            del table.entries[engine_id]
            if not entry.is_gone:
                lost.append(engine_id)
    return lost


def live(table: EndpointTable, now_s: float) -> list[Announcement]:
    """Return the endpoints that may be used, one for each address."""
    newest: dict[str, TableEntry] = {}
    for entry in table.entries.values():
        if entry.is_gone or now_s - entry.last_seen_s > LOST_AFTER_S:
            continue
        address = entry.announcement.address
        other = newest.get(address)
        # An address is used again by a later incarnation, also of another service.
        if other is None or _is_later(entry, other):
            newest[address] = entry
    return [entry.announcement for entry in newest.values()]


def _is_later(entry, other):
    """Tell which of two incarnations is there now, by their starts if told."""
    starts_ms = entry.announcement.started_ms, other.announcement.started_ms
    if all(starts_ms) and starts_ms[0] != starts_ms[1]:
        return starts_ms[0] > starts_ms[1]
    return entry.last_seen_s > other.last_seen_s


def accepts_requests(announcement: Announcement) -> bool:
    """Tell whether an endpoint is to get new requests."""
    return not has_leaving_notice(announcement)
