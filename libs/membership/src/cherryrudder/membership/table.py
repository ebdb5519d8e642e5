"""A control VM's table of announced endpoints: leases in memory, no log, no disk.

The table's version rises with each change that readers need. A mere renewal of a lease
doesn't count as a change, so an idle platform sends only empty deltas.
"""

from enum import StrEnum
from typing import NamedTuple

from cherryrudder.model.endpoints import Announcement

from .incarnation import age_key

# How long a lost endpoint's last sequence is kept, to refuse delayed packets. No
# transport in use delivers a packet more than ten minutes late.
LOST_RETENTION_S = 600.0
# If `expire` was not called for this long, the process was frozen and could not receive
# announcements. Call `expire` at least every half second, far below this.
MIN_PAUSE_S = 2.0


class Code(StrEnum):
    """Outcome of an announcement."""

    OK = "ok"
    OLD = "old"
    SUPERSEDED = "superseded"


class Announced(NamedTuple):
    """Answer to an announcement; `incarnation` is the newest in the table."""

    code: Code
    incarnation: str


class TableDelta(NamedTuple):
    """Changes after version `since` of an epoch; `full` replaces the whole table.

    `asked` is the epoch in the reader's request.
    """

    epoch: str
    version: int
    full: bool
    announced: tuple[Announcement, ...] = ()
    gone: tuple[str, ...] = ()
    since: int = 0
    asked: str = ""


class Row(NamedTuple):
    """A live endpoint; `version` is the table version of its last change."""

    announcement: Announcement
    lease_s: float
    expires_s: float
    version: int


class LostEndpoint(NamedTuple):
    """A lost endpoint's newest announcement, kept to refuse late packets."""

    announcement: Announcement
    at_s: float
    version: int


class Table:
    """The endpoints that one control VM holds; both dicts are in version order.

    The epoch is a random id of one run of the process, because versions of different
    runs can't be compared.
    """

    def __init__(self, epoch: str):
        self.epoch = epoch
        self.version = 0
        self.rows: dict[str, Row] = {}
        self.gone: dict[str, LostEndpoint] = {}
        self.oldest_version = 0
        self.checked_s: float | None = None


def announce(
    table: Table, announcement: Announcement, lease_s: float, now_s: float
) -> Announced:
    """Start or renew an endpoint's lease if the announcement is its newest.

    The sequence must rise with each announcement, also with a mere renewal.
    """
    name = announcement.endpoint
    row = table.rows.get(name)
    newest = row or table.gone.get(name)
    if newest and age_key(announcement) <= age_key(newest.announcement):
        return _refuse(newest.announcement, announcement)
    version = row.version if row else 0
    if row is None or _differs(row.announcement, announcement):
        table.version += 1
        version = table.version
        table.rows.pop(name, None)
        table.gone.pop(name, None)
    table.rows[name] = Row(announcement, lease_s, now_s + lease_s, version)
    return Announced(Code.OK, announcement.incarnation)


def expire(table: Table, now_s: float) -> tuple[str, ...]:
    """Drop the endpoints whose lease has run out and return their names."""
    _extend_leases_after_pause(table, now_s)
    lost = [name for name, row in table.rows.items() if row.expires_s <= now_s]
    for name in lost:
        table.version += 1
        row = table.rows.pop(name)
        table.gone[name] = LostEndpoint(row.announcement, now_s, table.version)
    _drop_old_losses(table, now_s)
    return tuple(lost)


def delta_since(table: Table, epoch: str, version: int) -> TableDelta:
    """Return the changes after a version, or the whole table if that is too old."""
    is_available = (
        epoch == table.epoch and table.oldest_version <= version <= table.version
    )
    if not is_available:
        announced_all = live(table)
        return TableDelta(table.epoch, table.version, True, announced_all, asked=epoch)
    announced = tuple(row.announcement for row in _newer(table.rows, version))
    gone = tuple(lost.announcement.endpoint for lost in _newer(table.gone, version))
    return TableDelta(
        table.epoch, table.version, False, announced, gone, version, epoch
    )


def live(table: Table) -> tuple[Announcement, ...]:
    """Return the announcements with a running lease, including leaving endpoints."""
    return tuple(row.announcement for row in table.rows.values())


def _refuse(newest, announcement):
    # A delayed packet from before a planned stop must not reset `leaving`, and a
    # process that was frozen must not take its endpoint back from its successor.
    superseded = announcement.incarnation < newest.incarnation
    code = Code.SUPERSEDED if superseded else Code.OLD
    return Announced(code, newest.incarnation)


def _differs(old, new):
    return old._replace(sequence=new.sequence) != new


def _newer(records, version):
    """Return the records after a version, newest last, without scanning the others."""
    found = []
    for record in reversed(records.values()):
        if record.version <= version:
            break
        found.append(record)
    return found[::-1]


def _extend_leases_after_pause(table, now_s):
    # After a freeze of ten seconds, every lease would have expired although the
    # endpoints are live, and all readers would be sent an empty table. So leases don't
    # run during a pause; an endpoint that died meanwhile is dropped one lease later.
    pause_s = now_s - table.checked_s if table.checked_s is not None else 0.0
    table.checked_s = now_s
    if pause_s < MIN_PAUSE_S:
        return
    for name, row in table.rows.items():
        expires_s = min(row.expires_s + pause_s, now_s + row.lease_s)
        table.rows[name] = row._replace(expires_s=expires_s)


def _drop_old_losses(table, now_s):
    old = []
    for name, lost in table.gone.items():
        if lost.at_s > now_s - LOST_RETENTION_S:
            break
        old.append(name)
    for name in old:
        table.oldest_version = table.gone.pop(name).version
