"""Builders of test data for the membership's tests, and its naive versions."""

from hypothesis import Phase, settings

from cherryrudder.membership.table import Row
from cherryrudder.model.contracts import Contract
from cherryrudder.model.endpoints import Announcement, Kind, Place, Stop
from cherryrudder.model.revisions import ConfigDelta, VersionedContract, VersionedStop

SETTINGS = settings(derandomize=True, database=None, deadline=None, max_examples=100)
# A naive version need only fail, not be reduced to its smallest failure.
UNSHRUNK = settings(
    SETTINGS,
    max_examples=1000,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)
LEASE_S = 2.0


def an_announcement(endpoint="desk-1", start=1, sequence=1, **changes):
    place = Place("vm-1", "amman-1", "jordan")
    incarnation = f"{start:013d}-aa"
    announcement = Announcement(
        endpoint, Kind.SERVICE, incarnation, sequence, place, "10.0.0.1:7001"
    )
    return announcement._replace(**changes)


def naive_announce(table, announcement, lease_s, now_s):
    """Believe whatever arrives last."""
    table.version += 1
    name = announcement.endpoint
    table.rows.pop(name, None)
    table.rows[name] = Row(announcement, lease_s, now_s + lease_s, table.version)


def naive_merge(reader, source, delta, now_s):
    """Lay every delta over what is known, whichever is newer."""
    view = reader.views[source]
    if delta.full:
        view.endpoints = {}
    for name in delta.gone:
        view.endpoints.pop(name, None)
    for announcement in delta.announced:
        view.endpoints[announcement.endpoint] = announcement
    view.epoch, view.version, view.heard_s = delta.epoch, delta.version, now_s


def naive_take(config, delta):
    """Lay every delta over what is known, whichever is newer."""
    if delta.full:
        config.contracts.clear()
        config.stops.clear()
    config.contracts |= {held.contract.customer: held for held in delta.contracts}
    config.stops |= {held.stop.stop_id: held for held in delta.stops}
    for stop_id in delta.cancelled:
        config.stops.pop(stop_id, None)
    config.revision = delta.revision


class History:
    """The configuration at each revision; a change names a contract or a stop."""

    def __init__(self, changes):
        self.changes = changes

    def at(self, revision):
        contracts, stops, cancelled = {}, {}, {}
        for number, (kind, name) in enumerate(self.changes[:revision], start=1):
            if kind == "contract":
                held = contracts.get(name)
                contract = Contract(name, "", ("m",), (), 1.0, 1.0, 1, 1.0)
                version = held.version + 1 if held else 1
                contracts[name] = VersionedContract(version, number, contract)
            elif stops.pop(name, None):
                cancelled[name] = number
            elif name not in cancelled:
                stops[name] = VersionedStop(number, Stop(name, "vm", "vm-1"))
        return contracts, stops, cancelled

    def delta(self, since, revision):
        """Return what a control VM at a revision answers to a reader at another."""
        contracts, stops, cancelled = self.at(revision)
        return ConfigDelta(
            revision,
            since,
            since == 0,
            tuple(held for held in contracts.values() if held.revision > since),
            tuple(held for held in stops.values() if held.revision > since),
            tuple(n for n, at in cancelled.items() if at > since) if since else (),
        )
