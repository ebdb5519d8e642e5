"""The sidecar's side of credits, and what it tells about its endpoint's pace."""

from cherryrudder.policy import credits
from cherryrudder.policy.credits import Issuer

from .framemessages import CreditGrant, CreditReport

# Each step counts a tenth: some ten steps forget an old pace.
LEARNING_PART = 0.1


class CreditGranter:
    """The credits of one endpoint and the calls that it has not answered."""

    def __init__(self, process, links):
        settings = process.settings.sidecar
        self.incarnation = process.incarnation
        self.issuer = Issuer(settings.endpoint, settings.slots)
        self.links = links
        self.step_s = 0.0
        self.calls: dict[object, float] = {}

    def handle_report(self, report: CreditReport, at_s: float) -> None:
        """Answer an entry's report."""
        given = credits.handle_report(
            self.issuer, report.entry, report.running, report.wanted, at_s
        )
        self._send(report.entry, given, at_s)

    def set_leaving(self, leaving: bool, at_s: float) -> None:
        """Take all credits back at once, or give them again."""
        self.issuer.is_leaving = leaving
        for entry, holding in list(self.issuer.holdings.items()):
            given = credits.handle_report(self.issuer, entry, holding.running, 0, at_s)
            self._send(entry, given, at_s)

    def call_began(self, call: object, at_s: float) -> None:
        """Note a call to the endpoint."""
        self.calls[call] = at_s

    def call_ended(self, call: object, steps: int, at_s: float) -> None:
        """Note the end of a call that took a number of steps; 0 if it failed."""
        took_s = at_s - self.calls.pop(call)
        if steps:
            step_s = took_s / steps
            self.step_s += LEARNING_PART * (step_s - self.step_s)

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
