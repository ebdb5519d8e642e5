"""A control VM's table of announced endpoints: leases in memory, no log, no disk.

Its version rises with each change that readers need to hear of. A lease that is only
renewed is none, so that an idle platform sends nothing but empty deltas.
"""

from enum import StrEnum
from typing import NamedTuple

from cherryrudder.model.endpoints import Announcement

from .incarnation import age_key

# How long a lost endpoint's last sequence is remembered. A packet that is held up for
# longer than ten minutes has been given up by every transport in use.
LOST_RETENTION_S = 600.0
# A table that was not looked at for this long was itself frozen: it could not hear
# anyone. Call `expire` at least every half second, far below this.
MIN_PAUSE_S = 2.0


class Code(StrEnum):
    """What became of an announcement."""

    OK = "ok"
    OLD = "old"
    SUPERSEDED = "superseded"


class Announced(NamedTuple):
    """Answer to an announcement; `incarnation` is the newest that is known."""

    code: Code
    incarnation: str


class TableDelta(NamedTuple):
    """What changed after version `since` of an epoch; `full` replaces everything.

    `asked` is the epoch that the reader asked from.
    """

    epoch: str
    version: int
    full: bool
    announced: tuple[Announcement, ...] = ()
    gone: tuple[str, ...] = ()
    since: int = 0
    asked: str = ""


class Row(NamedTuple):
    """A live endpoint; `version` is the table's when it last changed."""

    announcement: Announcement
    lease_s: float
    expires_s: float
    version: int


class LostEndpoint(NamedTuple):
    """A lost endpoint's newest announcement, against late packets."""

    announcement: Announcement
    at_s: float
    version: int


class Table:
    """The endpoints that one control VM holds; both dicts are in version order.

    The epoch is a random id of one run of the process: versions of another run mean
    nothing here.
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
    """Renew an endpoint's lease with an announcement newer than all before it.

    The sequence must rise with each announcement, also with a mere renewal.
    """
    name = announcement.endpoint
    held = table.rows.get(name)
    newest = held or table.gone.get(name)
    if newest and age_key(announcement) <= age_key(newest.announcement):
        return _refuse(newest.announcement, announcement)
    version = held.version if held else 0
    if held is None or _differs(held.announcement, announcement):
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
    """Return what changed after a version, or everything where that is unknown."""
    known = epoch == table.epoch and table.oldest_version <= version <= table.version
    if not known:
        everything = live(table)
        return TableDelta(table.epoch, table.version, True, everything, asked=epoch)
    announced = tuple(row.announcement for row in _newer(table.rows, version))
    gone = tuple(lost.announcement.endpoint for lost in _newer(table.gone, version))
    return TableDelta(
        table.epoch, table.version, False, announced, gone, version, epoch
    )


def live(table: Table) -> tuple[Announcement, ...]:
    """Return the announcements whose lease runs, those that are leaving too."""
    return tuple(row.announcement for row in table.rows.values())


def _refuse(newest, announcement):
    # A delayed packet from before a planned stop must not undo `leaving`, and a frozen
    # process that thaws must not take its endpoint back from the one that followed.
    superseded = announcement.incarnation < newest.incarnation
    code = Code.SUPERSEDED if superseded else Code.OLD
    return Announced(code, newest.incarnation)


def _differs(old, new):
    return old._replace(sequence=new.sequence) != new


def _newer(table, version):
    """Return the records past a version, newest last, at the cost of these alone."""
    found = []
    for record in reversed(table.values()):
        if record.version <= version:
            break
        found.append(record)
    return found[::-1]


def _extend_leases_after_pause(table, now_s):
    # A control VM that thaws after ten seconds finds every lease run out, though the
    # endpoints are well: it would tell all readers that the platform is empty. Leases
    # run only while the table listens; a dead endpoint then goes one lease later.
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
