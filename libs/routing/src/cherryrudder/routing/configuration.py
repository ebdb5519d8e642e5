"""The operators' configuration: one complete, validated document per version."""

from enum import StrEnum
from typing import NamedTuple

from expression import Error, Ok, Result

from cherryrudder.layers.profile import ModelProfile


class RouteKind(StrEnum):
    """Which requests of a route may be retried."""

    # Idempotent: may run more than once.
    SAFE = "safe"
    # Not idempotent: runs at most once.
    UNSAFE = "unsafe"
    # A stream of events; like UNSAFE unless it may be resumed.
    STREAM = "stream"


class WeightedService(NamedTuple):
    """A service's weight in a split route."""

    service: str
    weight: float


class Route(NamedTuple):
    """A host and path prefix, and how their requests are served."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    # An answer within this time is on time; for streams, the first event.
    objective_s: float
    # Longest pause between two events of a stream that is on time.
    gap_s: float
    # 0 is the most urgent.
    priority: int
    split: tuple[WeightedService, ...]
    max_attempts: int
    is_anonymous: bool
    is_resumable: bool
    # Requests of this route are for a model and state the size of their prompt.
    has_prompt: bool
    # Service named beside a split, which takes precedence; empty for none.
    unused_service: str = ""


class Service(NamedTuple):
    """A service; `model` is None for a plain service."""

    name: str
    health_path: str
    max_connections: int
    # Within the bounds that planning needs; see `layers.profile`.
    model: ModelProfile | None
    # Why no engine can run the model as it was sent, empty if one can.
    model_fault: str = ""


class Account(NamedTuple):
    """A client account and its keys."""

    name: str
    keys: tuple[str, ...]
    # Overrides the route's priority; None if the account has no priority.
    priority: int | None


class ClientLimits(NamedTuple):
    """Limits on the size of clients' requests and on their timeouts."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


# Characters that end a header's value, or that servers refuse in one.
CONTROLS = frozenset("\0\n\v\f\r")
DEFAULT_LIMITS = ClientLimits(16_384, 4_194_304, 3.0, 15.0)


class Configuration(NamedTuple):
    """One version of all that operators configure."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...]
    limits: ClientLimits


def validate(configuration: Configuration) -> Result[Configuration, str]:
    """Return the configuration, or the first fault found in it."""
    for find_fault in (_route_fault, _account_fault):
        fault = find_fault(configuration)
        if fault:
            return Error(fault)
    return Ok(configuration)


def find_new_fault(configuration: Configuration) -> str:
    """Return the fault for which a new configuration is refused, or an empty string.

    Unlike `validate` it isn't applied to what is in force: that has to be served.
    """
    names = {service.name for service in configuration.services}
    for route in configuration.routes:
        if route.unused_service and route.unused_service not in names:
            return f"route {route.name}: no service {route.unused_service}"
    for service in configuration.services:
        if service.model_fault:
            return f"service {service.name}: {service.model_fault}"
    owners: dict[str, int] = {}
    for number, account in enumerate(configuration.accounts):
        if not _fits_header(account.name):
            return f"account {account.name!r}: no header can carry its name"
        for key in account.keys:
            if owners.setdefault(key, number) != number:
                return f"two accounts {account.name!r} share a key"
    return ""


def _fits_header(text):
    """Return whether a header's value can hold a text unchanged (RFC 9110, 5.5)."""
    return text == text.strip(" \t") and not CONTROLS.intersection(text)


def _route_fault(configuration):
    names = {service.name for service in configuration.services}
    places = set()
    for route in configuration.routes:
        fault = _single_route_fault(route, names)
        if fault:
            return f"route {route.name}: {fault}"
        place = (route.host, route.path_prefix)
        if place in places:
            return f"route {route.name}: another has its host and prefix"
        places.add(place)
    return ""


def _single_route_fault(route, services):
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
