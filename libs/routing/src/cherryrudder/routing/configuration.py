"""The operators' configuration: one whole, checked document per version."""

from enum import StrEnum
from typing import NamedTuple

from expression import Error, Ok, Result

from cherryrudder.layers.profile import ModelProfile


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    # Idempotent: may run more than once.
    SAFE = "safe"
    # Not idempotent: runs at most once.
    UNSAFE = "unsafe"
    # A stream of events; as UNSAFE unless it may be resumed.
    STREAM = "stream"


class WeightedService(NamedTuple):
    """A service's weight in a split route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Requests for a host and path prefix, and where they go."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    # Answers within this time earn their full worth; for streams, the first event.
    objective_s: float
    # The longest pause between events of a stream that is still on time.
    gap_s: float
    # 0 is the most urgent.
    priority: int
    split: tuple[WeightedService, ...]
    max_attempts: int
    is_anonymous: bool
    is_resumable: bool
    # Requests of this route are for a model and name their prompt's size.
    has_prompt: bool


class Service(NamedTuple):
    """A service; `model` is None for a plain one."""

    name: str
    health_path: str
    max_connections: int
    model: ModelProfile | None


class Account(NamedTuple):
    """A client account and its keys."""

    name: str
    keys: tuple[str, ...]
    # Goes before the route's priority; None when the account has none.
    priority: int | None


class ClientLimits(NamedTuple):
    """What a client may send, and how long it may take or stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


DEFAULT_LIMITS = ClientLimits(16_384, 4_194_304, 3.0, 15.0)


class Configuration(NamedTuple):
    """One version of everything that operators set."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...]
    limits: ClientLimits


def validate(configuration: Configuration) -> Result[Configuration, str]:
    """Return the configuration, or the first fault that makes it invalid."""
    for find_fault in (_route_fault, _account_fault):
        fault = find_fault(configuration)
        if fault:
            return Error(fault)
    return Ok(configuration)


def _route_fault(configuration):
    names = {service.name for service in configuration.services}
    places = set()
    for route in configuration.routes:
        fault = _own_fault(route, names)
        if fault:
            return f"route {route.name}: {fault}"
        place = (route.host, route.path_prefix)
        if place in places:
            return f"route {route.name}: another has its host and prefix"
        places.add(place)
    return ""


def _own_fault(route, services):
    if route.timeout_s <= 0:
        return "its timeout is 0"
    if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
        return "its prefix has to begin and end with a slash"
    if any(share.weight < 0 for share in route.split):
        return "a weight is negative"
    if sum(share.weight for share in route.split) <= 0:
        return "its weights add up to 0"
    for share in route.split:
        if share.service not in services:
            return f"no service {share.service}"
    return ""


def _account_fault(configuration):
    owners: dict[str, str] = {}
    for account in configuration.accounts:
        for key in account.keys:
            if owners.setdefault(key, account.name) != account.name:
                return f"accounts {owners[key]} and {account.name} share a key"
    return ""
