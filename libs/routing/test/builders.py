"""Builders of test data for the tests of routing."""

from cherryrudder.layers.profile import NO_LAYERS, LayerRange
from cherryrudder.routing.configuration import (
    DEFAULT_LIMITS,
    Account,
    Configuration,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from cherryrudder.routing.endpoints import Announcement


def a_route(name="r", prefix="/a/", **changes):
    """Return a route of a plain, idempotent service."""
    route = Route(
        name=name,
        host="desk.example",
        path_prefix=prefix,
        kind=RouteKind.SAFE,
        timeout_s=1.0,
        objective_s=0.125,
        gap_s=0.0,
        priority=2,
        split=(WeightedService("desk", 1.0),),
        max_attempts=2,
        is_anonymous=False,
        is_resumable=False,
        has_prompt=False,
    )
    return route._replace(**changes)


def a_configuration(*routes, version=1, accounts=None):
    """Return a configuration with one service and one account."""
    if accounts is None:
        accounts = (Account("petra", ("key-1", "key-2"), None),)
    services = (Service("desk", "/health", 50, None),)
    return Configuration(
        version, routes or (a_route(),), services, accounts, DEFAULT_LIMITS
    )


def an_announcement(engine_id="boot-1", number=1, layers=None, **changes):
    """Return what an endpoint announces."""
    announcement = Announcement(
        engine_id=engine_id,
        service="desk",
        address="10.0.0.1:80",
        vm_zone="a",
        version="v1",
        slots=6,
        number=number,
        holding=LayerRange(*layers) if layers else NO_LAYERS,
    )
    return announcement._replace(**changes)
