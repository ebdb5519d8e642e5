"""Look-up of routes, client accounts and services in one configuration."""

import re

from .configuration import Account, Configuration, Route, Service

ENCODED = re.compile(r"%[0-9A-Fa-f]{2}")
UNRESERVED = re.compile(r"[A-Za-z0-9._~-]")


class RouteTable:
    """Indexes of one configuration; immutable once built."""

    def __init__(self, configuration: Configuration):
        self.configuration = configuration
        # Names of routes with a host and prefix that are spelled in another way by a
        # later one, which gets their requests.
        self.hidden_routes: list[str] = []
        self._routes: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            by_prefix = self._routes.setdefault(_host_name(route.host), {})
            prefix = _decode_unreserved(route.path_prefix)
            if prefix in by_prefix:
                self.hidden_routes.append(by_prefix[prefix].name)
            by_prefix[prefix] = route
        self._accounts = {
            key: account for account in configuration.accounts for key in account.keys
        }
        self._services = {service.name: service for service in configuration.services}

    @property
    def version(self) -> int:
        """Return the configuration's version."""
        return self.configuration.version

    @property
    def has_accounts(self) -> bool:
        """Return whether any account is configured, so that requests need a key."""
        return bool(self.configuration.accounts)

    def route(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the target's path, or None."""
        by_prefix = self._routes.get(_host_name(host))
        if by_prefix is None:
            return None
        path = _decode_unreserved(target.partition("?")[0])
        end = path.rfind("/") + 1
        while end > 0:
            route = by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def account(self, key: str) -> Account | None:
        """Return the client account that has a key, or None."""
        return self._accounts.get(key)

    def service(self, name: str) -> Service | None:
        """Return the service with a name, or None."""
        return self._services.get(name)


def _host_name(host):
    """Return a host without port and final dot, in lower case."""
    if host.startswith("["):
        # An IPv6 address has colons of its own.
        return host.partition("]")[0].lower() + "]"
    return host.partition(":")[0].removesuffix(".").lower()


def _decode_unreserved(path):
    """Return a path with the escapes decoded that change nothing (RFC 3986, 6.2.2)."""
    return ENCODED.sub(_decode, path) if "%" in path else path


def _decode(found):
    character = chr(int(found[0][1:], 16))
    return character if UNRESERVED.fullmatch(character) else found[0].upper()


def pick_service(route: Route, drawn: float) -> str:
    """Return the service of a split that a random number in [0, 1) selects."""
    total = sum(share.weight for share in route.split)
    left = drawn * total
    for share in route.split:
        left -= share.weight
        if left < 0:
            return share.service
    return next(s.service for s in reversed(route.split) if s.weight > 0)
