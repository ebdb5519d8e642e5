"""The sidecar's side of credits: grants them to entries and measures step times."""

from cherryrudder.policy import credits
from cherryrudder.policy.credits import Issuer

from .framemessages import CreditGrant, CreditReport

# Weight of a new step in the moving average: an old pace fades within some ten steps.
STEP_TIME_WEIGHT = 0.1


class CreditGranter:
    """Grants the credits of one endpoint and tracks its unanswered calls."""

    def __init__(self, process, links):
        settings = process.settings.sidecar
        self.incarnation = process.incarnation
        self.issuer = Issuer(settings.endpoint, settings.slots)
        self.links = links
        self.step_s = 0.0
        self.calls: dict[object, float] = {}

    def handle_report(self, report: CreditReport, at_s: float) -> None:
        """Answer an entry's credit report with a grant."""
        given = credits.handle_report(
            self.issuer, report.entry, report.running, report.wanted, at_s
        )
        self._send(report.entry, given, at_s)

    def set_leaving(self, leaving: bool, at_s: float) -> None:
        """Revoke all credits at once, or grant them again."""
        self.issuer.is_leaving = leaving
        for entry, holding in list(self.issuer.holdings.items()):
            given = credits.handle_report(self.issuer, entry, holding.running, 0, at_s)
            self._send(entry, given, at_s)

    def record_call_start(self, call: object, at_s: float) -> None:
        """Record the start of a call to the endpoint."""
        self.calls[call] = at_s

    def record_call_end(self, call: object, steps: int, at_s: float) -> None:
        """Record the end of a call and its number of steps, 0 if it failed."""
        took_s = at_s - self.calls.pop(call)
        if steps:
            step_s = took_s / steps
            self.step_s += STEP_TIME_WEIGHT * (step_s - self.step_s)

    def _send(self, entry, given, at_s):
        oldest_s = at_s - min(self.calls.values(), default=at_s)
        grant = CreditGrant(
            given.endpoint,
            self.incarnation,
            given.number,
            given.count,
            self.step_s,
            oldest_s,
        )
        self.links.send(entry, grant)
