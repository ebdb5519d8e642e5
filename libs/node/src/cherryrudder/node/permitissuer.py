"""Handing out the permits of engines that limit their requests, at a control VM.

Entries ask a control VM of the engine's data centre. Limits are passed on to the
entries nearby as soon as they are heard; beats repair what was lost.
"""

from collections.abc import Collection

from cherryrudder.policy import permits
from cherryrudder.policy.permits import Issuer
from cherryrudder.routing import ratelimits
from cherryrudder.routing.ratelimits import Limit, LimitBook

from . import ratekeeper, roster
from .controlstate import ControlState
from .gossip import LimitUpdate, PermitGrant, PermitRequest, ReportedLimit


class PermitIssuer:
    """The limits that one control process knows, and the permits that it gives."""

    def __init__(self, state: ControlState, links):
        self.state = state
        self.links = links
        self.book = LimitBook()
        self._issuers: dict[str, Issuer] = {}

    def record_limits(self, told: Collection[ReportedLimit], now_s: float) -> None:
        """Take limits that others have heard, and pass on what is news."""
        news = [one for one in told if self._record_limit(one, now_s)]
        if not news:
            return
        for beat in roster.beats(self.state.entries, now_s):
            if self._forwards_to(beat.vm_zone, now_s):
                self.links.send(beat.address, LimitUpdate(tuple(news)))

    def handle_request(self, ask: PermitRequest, now_s: float) -> None:
        """Hand out permits of an engine, or pass the ask on to who does.

        Entries that reach different control VMs would otherwise get the limit twice.
        """
        self.record_limits((ask.limit,), now_s)
        issuer_address = self._find_issuer(ask.limit.engine_id, now_s)
        if issuer_address != self.state.address:
            self.links.send(issuer_address, ask)
            return
        engine_id = ask.limit.engine_id
        limit_per_s = ratelimits.limit_of(self.book, engine_id)
        if limit_per_s is None:
            # It has ended; the news of that is on its way to the sender.
            limit_per_s = ask.limit.per_s or 0.0
        issuer = self._issuers.setdefault(engine_id, Issuer(now_s))
        grant = permits.issue(issuer, ask.sender, ask.count, limit_per_s, now_s)
        outcome = "granted" if grant.permits else "denied"
        self.state.metrics.permits.labels(outcome).inc()
        self.links.send(ask.sender, PermitGrant(engine_id, grant))

    def report_limits(self, now_s: float) -> tuple[ReportedLimit, ...]:
        """Return the limits as other processes are told them."""
        return ratekeeper.report_limits(self.book, now_s)

    def sweep(self, now_s: float) -> None:
        """Forget engines that are gone, and limits that ended long ago."""
        known = self.state.endpoints.table.entries
        ratelimits.sweep(self.book, known, now_s)
        limited = self.book.limits
        self._issuers = {e: one for e, one in self._issuers.items() if e in limited}

    def _record_limit(self, one, now_s):
        said = Limit(one.per_s, now_s - one.age_s)
        if not ratelimits.hear(self.book, one.engine_id, said):
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

        Each passes on only to one before it, so that no ask goes round in circles.
        """
        state = self.state
        zones = {b.address: b.vm_zone for b in roster.beats(state.roster, now_s)}
        zones[state.address] = state.settings.vm_zone
        known = state.endpoints.table.entries.get(engine_id)
        vm_zone = known.announcement.vm_zone if known is not None else ""
        beside = [address for address, zone in zones.items() if zone == vm_zone]
        return min(beside or zones)

    def _forwards_to(self, vm_zone, now_s):
        """Tell whether the entries of a data centre hear of news from here.

        Those without a control VM of their own hear it from all others.
        """
        if vm_zone == self.state.settings.vm_zone:
            return True
        beats = roster.beats(self.state.roster, now_s)
        return vm_zone not in {beat.vm_zone for beat in beats}
