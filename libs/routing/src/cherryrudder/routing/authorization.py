"""Whether a request may go on, by the configuration in force and how sure that is.

Failure: an entry that is cut off from the control VMs goes on with an old
configuration, and a key works long after it was taken away. An entry that could not
confirm its configuration for most of the time that a revocation may take refuses what
needs a key.
"""

from typing import NamedTuple

from .configuration import Account, Route
from .routetable import RouteTable

# Part of the time that a revocation may take until an entry stops trusting its
# configuration; the rest is for a request to reach its engine.
TRUSTED_SHARE = 0.8
# Part of it until "no such route" and "no such key" are no longer answered for sure.
CERTAIN_SHARE = 0.3
# Part of it until an entry says that it isn't ready. The platform asks once a second
# and needs two misses, so that new clients go elsewhere before any is refused here. A
# new leader is there after 1.2 s, well inside 0.5 of the users' 5 s.
READY_SHARE = 0.5
# When everything starts at once, the control VMs have elected a leader and an entry
# has its configuration about two seconds after its start. Most clients come back once
# only: told a shorter time, they would be refused for good.
FIRST_CONFIGURATION_S = 2.5
# The control VMs elect a new leader in about a second.
RECONNECT_S = 1.5


class AccessRequest(NamedTuple):
    """What a request asks for."""

    host: str
    target: str
    key: str


class Admitted(NamedTuple):
    """The request may go on; `account` is empty for an anonymous one."""

    route: Route
    account: str
    priority: int


class Refused(NamedTuple):
    """The answer that this system gives itself; `retry_after_s` with a 503 or 429."""

    status: int
    reason: str
    retry_after_s: float | None = None


NO_CONFIGURATION = Refused(503, "no configuration yet", FIRST_CONFIGURATION_S)
UNCONFIRMED = Refused(503, "configuration unconfirmed", RECONNECT_S)
# No control VM is heard here at all, so the fault is this entry's link, and others can
# serve the client; a retry goes to another entry. The time is for it to get there.
CUT_OFF = Refused(503, "cut off from the control VMs", 0.05)


def authorize(
    table: RouteTable | None,
    asked: AccessRequest,
    confirmed_age_s: float,
    revoke_s: float,
    is_cut_off: bool = False,
) -> Admitted | Refused:
    """Return the request's route and account, or the answer that ends it here.

    `is_cut_off` tells that no control VM was heard for some seconds.
    """
    decision = _decide(table, asked, confirmed_age_s, revoke_s)
    return CUT_OFF if decision is UNCONFIRMED and is_cut_off else decision


def _decide(table, asked, confirmed_age_s, revoke_s):
    if table is None:
        return NO_CONFIGURATION
    is_trusted = confirmed_age_s < TRUSTED_SHARE * revoke_s
    is_certain = confirmed_age_s < CERTAIN_SHARE * revoke_s
    route = table.route(asked.host, asked.target)
    if route is None:
        return Refused(404, "no route") if is_certain else UNCONFIRMED
    if route.is_anonymous or not table.has_accounts:
        return Admitted(route, "", route.priority)
    if not is_trusted:
        return UNCONFIRMED
    account = table.account(asked.key)
    if account is None:
        return Refused(401, "unknown key") if is_certain else UNCONFIRMED
    return Admitted(route, account.name, _priority(account, route))


def _priority(account: Account, route: Route):
    return route.priority if account.priority is None else account.priority
