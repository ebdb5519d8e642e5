"""The entry's view of the endpoints, and the places that requests hold on them."""

from collections import Counter

from cherryrudder.model.endpoints import Kind, stops_endpoint
from cherryrudder.pipeline.messages import Stage
from cherryrudder.pipeline.plan import cover, stage_of


class Placed:
    """One request's places; `release` gives them back, once."""

    def __init__(self, fleet, names):
        self.fleet = fleet
        self.names = list(names)
        self.is_released = False

    def release(self, tokens: int = 0) -> None:
        """Give the places back after a number of tokens."""
        if not self.is_released:
            self.is_released = True
            self.fleet.in_flight.subtract(self.names)


class PlacedChain(Placed):
    """A request's chain of engines."""

    def __init__(self, fleet, stages, model):
        super().__init__(fleet, [stage.endpoint for stage in stages])
        self.stages = stages
        self.model = model

    def find_stage(self, need) -> Stage | None:
        """Return a stage for a lost range and take a place on it."""
        found = self.fleet.find_stage(self.model, need)
        if found is not None:
            self.names.append(found.endpoint)
            self.fleet.in_flight[found.endpoint] += 1
        return found


class PlacedCall(Placed):
    """A service call's endpoint."""

    def __init__(self, fleet, announcement):
        super().__init__(fleet, [announcement.endpoint])
        self.announcement = announcement


class FleetView:
    """Which endpoints take new work, and how many requests from here each holds."""

    def __init__(self):
        self.usable = {}
        self.in_flight = Counter()

    def update(self, announcements, stops) -> None:
        """Take the endpoints that are live now; planned stops take theirs away."""
        self.usable = {
            a.endpoint: a
            for a in announcements
            if a.kind != Kind.ENTRY
            and not a.leaving
            and not any(stops_endpoint(stop, a) for stop in stops)
        }

    def chain_placer(self, offer, prompt):
        """Return a function that places a completion, or gives None for now."""

        def place():
            engines = self._engines(offer.model)
            if not engines:
                return None
            result = cover(engines, engines[0].model_layers)
            if result.is_error():
                return None
            placed = PlacedChain(self, result.ok, offer.model)
            self.in_flight.update(placed.names)
            return placed

        return place

    def service_placer(self, service, exclude):
        """Return a function that places a service call, or gives None for now."""

        def place():
            free = [
                a
                for a in self.usable.values()
                if a.service == service and self._free(a)
            ]
            if not free:
                return None
            # An endpoint that failed this call is asked again only when it is the
            # last one left.
            best = min(
                free,
                key=lambda a: (
                    a.endpoint in exclude,
                    self.in_flight[a.endpoint] / a.slots,
                ),
            )
            self.in_flight[best.endpoint] += 1
            return PlacedCall(self, best)

        return place

    def find_stage(self, model, need):
        """Return a stage that holds a lost range, on an endpoint that is free."""
        for engine in self._engines(model):
            layers = (engine.first_layer, engine.end_layer)
            wanted = (need.first_layer, need.end_layer)
            if layers == wanted and engine.endpoint not in need.exclude:
                return stage_of(engine)
        return None

    def service(self, name):
        """Return any endpoint of a service, for what all of them announce alike."""
        return next((a for a in self.usable.values() if a.service == name), None)

    def dump(self) -> dict:
        """Return the endpoints in use and what each holds from here."""
        return {name: self.in_flight[name] for name in sorted(self.usable)}

    def _engines(self, model):
        return [
            a
            for a in self.usable.values()
            if a.kind == Kind.ENGINE and a.model == model and self._free(a)
        ]

    def _free(self, announcement):
        return self.in_flight[announcement.endpoint] < announcement.slots
