"""What the entry learns of the endpoints, and hands to placement."""

import random

from cherryrudder.model.endpoints import Announcement, Kind
from cherryrudder.policy import placement
from cherryrudder.policy.credits import Credits

from .clock import now_s
from .framemessages import CreditGrant

# An endpoint that has not answered a call for so long is not said to make progress;
# placement then decides, by its kind, when silence is a fault.
SILENT_S = 2.0


class FleetView:
    """Which endpoints there are, and their pace."""

    def __init__(self, process):
        rng = random.Random(process.incarnation)
        self.fleet = placement.Fleet(rng, process.settings.place)
        self.step_s: dict[str, float] = {}

    def update(self, announcements, stops) -> None:
        """Take the endpoints that are live now, and the planned stops."""
        at_s = now_s()
        placement.update(self.fleet, announcements, at_s)
        if tuple(stops) != self.fleet.stops:
            placement.set_stops(self.fleet, stops, at_s)

    def take_grant(self, grant: CreditGrant) -> None:
        """Take in an endpoint's credits and pace."""
        at_s = now_s()
        given = Credits(grant.endpoint, grant.number, grant.count)
        placement.set_credits(self.fleet, given, at_s)
        self.step_s[grant.endpoint] = grant.step_s
        if grant.oldest_s < SILENT_S:
            placement.record_progress(self.fleet, grant.endpoint, at_s)

    def cut_off(self, endpoint: str) -> None:
        """Take an endpoint's credits away until it gives some again."""
        placement.revoke_credits(self.fleet, endpoint, now_s())

    def own_s(self, endpoint: str, tokens: float) -> float:
        """Return an endpoint's own time for so many tokens, 0 while unknown."""
        return self.step_s.get(endpoint, 0.0) * tokens

    def service(self, name: str) -> Announcement | None:
        """Return any endpoint of a service, for what all of them announce alike."""
        group = self.fleet.groups.get(("service", name))
        members = group.members.values() if group else ()
        return next((member.announcement for member in members), None)

    def leaving(self) -> list[str]:
        """Return the endpoints that are to stop and still hold work from here."""
        members = self.fleet.members.items()
        return [name for name, m in members if m.is_leaving and m.in_flight]

    def members(self):
        """Yield each endpoint's announcement, what it runs from here, and its peers."""
        for member in list(self.fleet.members.values()):
            yield member.announcement, member.in_flight, len(member.group.members)


def queue_name(announcement: Announcement) -> str:
    """Return the name under which requests for an endpoint wait."""
    if announcement.kind == Kind.SERVICE:
        return announcement.service
    return announcement.model
