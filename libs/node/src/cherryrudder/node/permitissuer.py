"""Issue permits for engines that limit their request rate, at a control VM.

Entries ask a control VM of the engine's data centre. Limits are forwarded to the
entries of this data centre as soon as they arrive; heartbeats repair what was lost.
"""

from collections.abc import Collection

from cherryrudder.policy import permits
from cherryrudder.policy.permits import Issuer
from cherryrudder.routing import ratelimits
from cherryrudder.routing.ratelimits import Limit, LimitBook

from . import ratelimiter, roster
from .controlstate import ControlState
from .gossip import LimitUpdate, PermitGrant, PermitRequest, ReportedLimit


class PermitIssuer:
    """The limits known to one control process, and the permits that it issues."""

    def __init__(self, state: ControlState, links):
        self.state = state
        self.links = links
        self.book = LimitBook()
        self._issuers: dict[str, Issuer] = {}

    def record_limits(self, reported: Collection[ReportedLimit], now_s: float) -> None:
        """Record reported limits, and forward those that are new."""
        new_limits = [one for one in reported if self._record_limit(one, now_s)]
        if not new_limits:
            return
        for heartbeat in roster.live_messages(self.state.entries, now_s):
            if self._forwards_to(heartbeat.vm_zone, now_s):
                self.links.send(heartbeat.address, LimitUpdate(tuple(new_limits)))

    def handle_request(self, request: PermitRequest, now_s: float) -> None:
        """Issue permits for an engine, or forward the request to its issuer.

        Each engine has one issuer. With two, entries that reach different control VMs
        would together send at twice the limit.
        """
        self.record_limits((request.limit,), now_s)
        issuer_address = self._find_issuer(request.limit.engine_id, now_s)
        if issuer_address != self.state.address:
            self.links.send(issuer_address, request)
            return
        engine_id = request.limit.engine_id
        limit_per_s = ratelimits.limit_of(self.book, engine_id)
        if limit_per_s is None:
            # The limit has ended; the update is on its way to the sender.
            limit_per_s = request.limit.per_s or 0.0
        issuer = self._issuers.setdefault(engine_id, Issuer(now_s))
        grant = permits.issue(issuer, request.sender, request.count, limit_per_s, now_s)
        outcome = "granted" if grant.permits else "denied"
        self.state.metrics.permits.labels(outcome).inc()
        self.links.send(request.sender, PermitGrant(engine_id, grant))

    def report_limits(self, now_s: float) -> tuple[ReportedLimit, ...]:
        """Return the limits in the form in which they are sent."""
        return ratelimiter.report_limits(self.book, now_s)

    def sweep(self, now_s: float) -> None:
        """Drop the limits of engines that are gone, and those that ended long ago."""
        known = self.state.endpoints.table.entries
        ratelimits.sweep(self.book, known, now_s)
        limited = self.book.limits
        self._issuers = {e: one for e, one in self._issuers.items() if e in limited}

    def _record_limit(self, one, now_s):
        stated = Limit(one.per_s, now_s - one.age_s)
        if not ratelimits.record_limit(self.book, one.engine_id, stated):
            return False
        self.state.sink.write(
            "rates",
            "engine-limit",
            True,
            engine_id=one.engine_id,
            limit_per_s=one.per_s,
        )
        return True

    def _find_issuer(self, engine_id, now_s):
        """Return the first control VM of an engine's data centre, or of all.

        Requests are only forwarded to an earlier address, so they can't loop.
        """
        state = self.state
        zones = {
            b.address: b.vm_zone for b in roster.live_messages(state.roster, now_s)
        }
        zones[state.address] = state.settings.vm_zone
        known = state.endpoints.table.entries.get(engine_id)
        vm_zone = known.announcement.vm_zone if known is not None else ""
        beside = [address for address, zone in zones.items() if zone == vm_zone]
        return min(beside or zones)

    def _forwards_to(self, vm_zone, now_s):
        """Return whether updates are forwarded to the entries of a data centre.

        Entries without a control VM in their data centre get updates from all others.
        """
        if vm_zone == self.state.settings.vm_zone:
            return True
        heartbeats = roster.live_messages(self.state.roster, now_s)
        return vm_zone not in {heartbeat.vm_zone for heartbeat in heartbeats}
