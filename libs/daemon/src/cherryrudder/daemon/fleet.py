"""The entry's view of the endpoints, and the places that requests hold on them.

The decisions are `policy.placement`'s; this module keeps what each request holds and
tells placement how it ended.
"""

import random
from typing import NamedTuple

from cherryrudder.model.endpoints import Kind
from cherryrudder.pipeline.messages import Stage
from cherryrudder.pipeline.plan import stage_of
from cherryrudder.policy import placement
from cherryrudder.policy.credits import Credits
from cherryrudder.policy.placement import Need

from .clock import now_s
from .framemessages import CreditGrant

# Prompts that begin alike share their engine's cached prefix; so many tokens are enough
# to tell a customer's templates apart.
PREFIX_TOKENS = 16
# An endpoint that has not answered a call for so long is not said to make progress;
# placement then decides, by its kind, when silence is a fault.
SILENT_S = 2.0


class Held(NamedTuple):
    """A place on one endpoint."""

    endpoint: str
    since_s: float


class Placed:
    """One request's places; each is given back once."""

    def __init__(self, view, endpoints, model):
        self.view = view
        self.model = model
        self.held: dict[str, Held] = {}
        for endpoint in endpoints:
            self.hold(endpoint)

    def hold(self, endpoint: str) -> None:
        """Take a place on an endpoint."""
        at_s = now_s()
        self.held[endpoint] = Held(endpoint, at_s)
        placement.began(self.view.fleet, endpoint, at_s)

    def fail(self, endpoint: str) -> None:
        """Give a place back on an endpoint that failed the request."""
        if self.held.pop(endpoint, None) is not None:
            placement.failed(self.view.fleet, endpoint, now_s())

    def release(self, tokens: int = 0) -> None:
        """Give back what is still held, after so many tokens; 0 says nothing."""
        at_s = now_s()
        for held in self.held.values():
            if tokens:
                took_s = self.view.own_time_s(held, tokens, at_s)
                placement.ended(self.view.fleet, held.endpoint, tokens, took_s, at_s)
            else:
                placement.withdrawn(self.view.fleet, held.endpoint, at_s)
        self.held = {}


class PlacedChain(Placed):
    """A request's chain of engines."""

    def __init__(self, view, announcements, model):
        super().__init__(view, [a.endpoint for a in announcements], model)
        self.stages = tuple(stage_of(a) for a in announcements)
        self.version = announcements[0].version

    def find_stage(self, need) -> Stage | None:
        """Return a stage for a lost range and hold a place on its endpoint."""
        for name in need.exclude:
            self.fail(name)
        # A chain cannot have two stages on one endpoint: their requests share a name.
        exclude = frozenset((*need.exclude, *self.held))
        found = placement.choose_stage(
            self.view.fleet,
            Need(self.model, self.version, exclude=exclude),
            need.first_layer,
            need.end_layer,
            now_s(),
        )
        if found is None:
            return None
        self.hold(found.endpoint)
        return stage_of(found)


class PlacedCall(Placed):
    """A service call's endpoint."""

    def __init__(self, view, announcement):
        super().__init__(view, [announcement.endpoint], announcement.service)
        self.announcement = announcement


class FleetView:
    """Which endpoints take new work, what they hold from here, and their pace."""

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

    def review(self) -> list[str]:
        """Return the endpoints that are ejected now."""
        return placement.review(self.fleet, now_s())

    def take_grant(self, grant: CreditGrant) -> None:
        """Take in an endpoint's credits and pace."""
        at_s = now_s()
        given = Credits(grant.endpoint, grant.number, grant.count)
        placement.set_credits(self.fleet, given, at_s)
        self.step_s[grant.endpoint] = grant.step_s
        if grant.oldest_s < SILENT_S:
            placement.progressed(self.fleet, grant.endpoint, at_s)

    def own_time_s(self, held: Held, tokens: int, at_s: float) -> float:
        """Return an endpoint's own part of the time for so many tokens."""
        step_s = self.step_s.get(held.endpoint, 0.0)
        # A service call has no steps, and its whole time is its endpoint's.
        return step_s * tokens if step_s else at_s - held.since_s

    def chain_placer(self, offer, prompt):
        """Return a function that places a completion, or gives None for now."""
        prefix = " ".join(prompt[:PREFIX_TOKENS])
        need = Need(offer.model, tokens=offer.max_tokens, prefix=prefix)

        def place():
            chain = placement.choose_chain(self.fleet, need, now_s())
            return chain and PlacedChain(self, chain.stages, offer.model)

        return place

    def service_placer(self, service, exclude):
        """Return a function that places a service call, or gives None for now."""

        def place():
            # An endpoint that failed this call is asked again only when it is the
            # last one left.
            found = placement.choose_service(self.fleet, service, exclude, now_s())
            if found is None:
                found = placement.choose_service(self.fleet, service, (), now_s())
            return found and PlacedCall(self, found)

        return place

    def service(self, name):
        """Return any endpoint of a service, for what all of them announce alike."""
        group = self.fleet.groups.get(("service", name))
        members = group.members.values() if group else ()
        return next((member.announcement for member in members), None)

    def members(self):
        """Return each endpoint's announcement and what it runs from here."""
        for member in list(self.fleet.members.values()):
            yield member.announcement, member.in_flight, len(member.group.members)

    def dump(self) -> dict:
        """Return the endpoints and what each holds from here."""
        return placement.dump(self.fleet, now_s())


def queue_name(announcement) -> str:
    """Return the name under which requests for an endpoint wait."""
    if announcement.kind == Kind.SERVICE:
        return f"service/{announcement.service}"
    return announcement.model
