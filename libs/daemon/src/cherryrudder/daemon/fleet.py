"""The entry's view of the endpoints, which placement uses."""

import random

from cherryrudder.model.endpoints import Announcement, Kind
from cherryrudder.policy import placement
from cherryrudder.policy.credits import Credits

from .clock import now_s
from .framemessages import CreditGrant

# An endpoint with a call that is unanswered for longer is not recorded as making
# progress. Placement decides by the endpoint's kind when that is a fault.
STALLED_CALL_S = 2.0


class FleetView:
    """The live endpoints and their step times."""

    def __init__(self, process):
        rng = random.Random(process.incarnation)
        self.fleet = placement.Fleet(rng, process.settings.place)
        self.step_s: dict[str, float] = {}

    def update(self, announcements, stops) -> None:
        """Set the endpoints that are live and the planned stops."""
        at_s = now_s()
        placement.update(self.fleet, announcements, at_s)
        if tuple(stops) != self.fleet.stops:
            placement.set_stops(self.fleet, stops, at_s)

    def record_grant(self, grant: CreditGrant) -> None:
        """Record an endpoint's credits, step time and progress."""
        at_s = now_s()
        given = Credits(grant.endpoint, grant.number, grant.count)
        placement.set_credits(self.fleet, given, at_s)
        self.step_s[grant.endpoint] = grant.step_s
        if grant.oldest_s < STALLED_CALL_S:
            placement.record_progress(self.fleet, grant.endpoint, at_s)

    def revoke_credits(self, endpoint: str) -> None:
        """Revoke an endpoint's credits until its next grant."""
        placement.revoke_credits(self.fleet, endpoint, now_s())

    def decode_time_s(self, endpoint: str, tokens: float) -> float:
        """Return an endpoint's time for a number of tokens, 0 while unknown."""
        return self.step_s.get(endpoint, 0.0) * tokens

    def service(self, name: str) -> Announcement | None:
        """Return any endpoint of a service, for fields that are equal in all."""
        group = self.fleet.groups.get(("service", name))
        members = group.members.values() if group else ()
        return next((member.announcement for member in members), None)

    def leaving(self) -> list[str]:
        """Return the leaving endpoints that still have requests of this entry."""
        members = self.fleet.members.items()
        return [name for name, m in members if m.is_leaving and m.in_flight]

    def members(self):
        """Yield each endpoint's announcement, requests in flight and group size."""
        for member in list(self.fleet.members.values()):
            yield member.announcement, member.in_flight, len(member.group.members)


def queue_name(announcement: Announcement) -> str:
    """Return the name under which requests for an endpoint are queued."""
    if announcement.kind == Kind.SERVICE:
        return announcement.service
    return announcement.model
