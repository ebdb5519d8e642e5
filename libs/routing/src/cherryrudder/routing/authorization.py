"""Authorization of requests by the configuration in force and by its age.

Failure: an entry that is cut off from the control VMs goes on with an old
configuration, and accepts a key long after it was revoked. So an entry that could not
confirm its configuration for most of the time that a revocation may take refuses
requests that need a key.
"""

from typing import NamedTuple

from .configuration import Account, Route
from .routetable import RouteTable

# Share of the time that a revocation may take after which an entry stops accepting
# keys. The rest is for a request to reach its engine.
TRUSTED_SHARE = 0.8
# Share of it after which unknown routes and keys are no longer final refusals.
CERTAIN_SHARE = 0.3
# Share of it after which an entry reports that it isn't ready. The platform polls once
# a second and needs two failures, so new clients go elsewhere before any is refused
# here. A new leader is elected within 1.2 s, well inside 0.5 of the users' 5 s.
READY_SHARE = 0.5
# How long an entry that knows of a newer configuration goes on with the one it has. The
# newer one usually comes at once, and from another data centre within a second.
MAX_SUPERSEDED_S = 1.2
# When everything starts at once, the control VMs have elected a leader and an entry
# has its configuration about two seconds after its start. Most clients retry only
# once: after a shorter delay they would be refused again.
FIRST_CONFIGURATION_S = 2.5
# The control VMs elect a new leader in about a second.
RECONNECT_S = 1.5


class AccessRequest(NamedTuple):
    """Host, target and key of a request."""

    host: str
    target: str
    key: str


class Admitted(NamedTuple):
    """The request is admitted; `account` is empty for an anonymous one."""

    route: Route
    account: str
    priority: int


class Refused(NamedTuple):
    """An answer of the router itself; `retry_after_s` is set for a 503 or 429."""

    status: int
    reason: str
    retry_after_s: float | None = None


NO_CONFIGURATION = Refused(503, "no configuration yet", FIRST_CONFIGURATION_S)
UNCONFIRMED = Refused(503, "configuration unconfirmed", RECONNECT_S)
# This entry receives nothing from any control VM, so its own link is at fault and
# other entries can serve the client. The delay only covers the way to another entry.
CUT_OFF = Refused(503, "cut off from the control VMs", 0.05)


def is_certain(confirmed_age_s: float, revoke_s: float) -> bool:
    """Return whether a configuration is new enough for refusals that are final."""
    return confirmed_age_s < CERTAIN_SHARE * revoke_s


def authorize(
    table: RouteTable | None,
    request: AccessRequest,
    confirmed_age_s: float,
    revoke_s: float,
    is_cut_off: bool = False,
    superseded_age_s: float = 0.0,
) -> Admitted | Refused:
    """Return the request's route and account, or the refusal to answer with.

    `is_cut_off` is true if nothing came from any control VM for some seconds, and
    `superseded_age_s` says for how long a newer configuration is known to be in force.
    """
    if table is not None and superseded_age_s > MAX_SUPERSEDED_S:
        return UNCONFIRMED
    decision = _authorize(table, request, confirmed_age_s, revoke_s)
    return CUT_OFF if decision is UNCONFIRMED and is_cut_off else decision


def _authorize(table, request, confirmed_age_s, revoke_s):
    if table is None:
        return NO_CONFIGURATION
    is_trusted = confirmed_age_s < TRUSTED_SHARE * revoke_s
    route = table.route(request.host, request.target)
    if route is None:
        if is_certain(confirmed_age_s, revoke_s):
            return Refused(404, "no route")
        return UNCONFIRMED
    if route.is_anonymous or not table.has_accounts:
        return Admitted(route, "", route.priority)
    if not is_trusted:
        return UNCONFIRMED
    account = table.account(request.key)
    if account is None:
        if is_certain(confirmed_age_s, revoke_s):
            return Refused(401, "unknown key")
        return UNCONFIRMED
    return Admitted(route, account.name, _priority(account, route))


def _priority(account: Account, route: Route):
    return route.priority if account.priority is None else account.priority
