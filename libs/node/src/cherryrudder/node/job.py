"""One client's request at an entry: its limits, its log lines and its answer."""

from typing import NamedTuple

import msgspec

from cherryrudder.platform import messages
from cherryrudder.platform.messages import ForwardHeaders, RequestFacts
from cherryrudder.relay.server import Exchange
from cherryrudder.replica.clock import now_s
from cherryrudder.routing.authorization import CUT_OFF, Admitted, Refused
from cherryrudder.routing.configuration import RouteKind, Service
from cherryrudder.routing.fingerprint import fingerprint

from . import crashes, entrystate
from .entrystate import EntryState

# An answer of this system's own is sent this long before the client or the route gives
# up, so that it arrives in time.
ANSWER_MARGIN_S = 0.02
# Clients leave a stream that shows nothing for the longest of these: two seconds, some
# objectives, some of the longest pauses that are still on time.
LEAST_PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_PAUSES = 8.0
# A client that is about to leave is left to do so: ended just before, its answer would
# look broken off by this system.
LEAVE_MARGIN_S = 0.3


class Whole(NamedTuple):
    """A whole answer of an engine."""

    status: int
    headers: messages.Headers
    body: bytes


class Failed(NamedTuple):
    """An attempt that brought no answer to pass on."""

    reason: str
    # True only when the engine has certainly not run the request and never will.
    is_not_run: bool
    # The request reached an engine, which counts against the route's attempts.
    is_sent: bool = True
    is_late: bool = False
    # The engine broke its answer off, or gave none before the connection ended.
    is_broken: bool = False
    # An engine's own failure, to be passed on if nothing better comes.
    whole: Whole | None = None
    # The engine wants nothing from this machine for a while.
    is_turned_away: bool = False
    # When the client may come back, where that is known.
    retry_after_s: float | None = None


class Job:
    """A request that was admitted, while it is served."""

    def __init__(
        self,
        state: EntryState,
        exchange: Exchange,
        facts: RequestFacts,
        admitted: Admitted,
        service: Service,
    ):
        self.state = state
        self.exchange = exchange
        self.facts = facts
        self.admitted = admitted
        self.route = admitted.route
        self.service = service
        # The same for each attempt of the client, whichever entry it comes to.
        self.fingerprint = _fingerprint(exchange.request, facts.host, admitted.account)
        self.attempts = 0
        # When the newest attempt went out.
        self.sent_s = 0.0
        self.outcome = "cut"
        self.first_byte_s: float | None = None
        # The last piece that the client got, and the longest pause before one.
        self.piece_s = 0.0
        self.longest_pause_s = 0.0
        # When that pause was over.
        self.paused_until_s = 0.0
        # How long it waited for a chain before its first event, and for want of what.
        self.waited_s = 0.0
        self.waited_for = ""
        self.arrived_s = exchange.request.arrived_s
        limit_s = self.route.timeout_s
        if facts.deadline_s is not None:
            limit_s = min(limit_s, facts.deadline_s)
        self.end_s = self.arrived_s + limit_s

    @property
    def is_idempotent(self) -> bool:
        """Tell whether the request may run more than once."""
        if self.route.kind is RouteKind.STREAM:
            return self.route.is_resumable
        return self.route.kind is RouteKind.SAFE

    def note_piece(self, now: float) -> None:
        """Take note that the client gets a piece of a stream."""
        if self.first_byte_s is None:
            self.first_byte_s = now
        else:
            self._note_pause(now)
        self.piece_s = now

    def _note_pause(self, now):
        if now - self.piece_s > self.longest_pause_s:
            self.longest_pause_s = now - self.piece_s
            self.paused_until_s = now

    def note_wait(self, waited_s: float, waited_for: str) -> None:
        """Take note of a wait for a chain; only those before the first event count."""
        if self.first_byte_s is None:
            self.waited_s += waited_s
            self.waited_for = waited_for

    def patience_s(self) -> float:
        """Return how long the client stays with a stream that shows nothing."""
        return max(
            LEAST_PATIENCE_S,
            PATIENCE_OBJECTIVES * self.route.objective_s,
            PATIENCE_PAUSES * self.route.gap_s,
        )

    def leaves_s(self) -> float:
        """Return when the client of a stream that has begun leaves by itself."""
        shown_s = max(self.arrived_s, self.piece_s)
        return min(self.end_s, shown_s + self.patience_s() + LEAVE_MARGIN_S)

    def left_s(self) -> float:
        """Return the time until the client or the route gives up."""
        return self.end_s - now_s() - ANSWER_MARGIN_S

    def note(self, event: str, is_kept: bool = False, **fields) -> None:
        """Write a log line about this request."""
        self.state.sink.write(
            "request", event, is_kept, request_id=self.facts.request_id, **fields
        )

    def engine_headers(self, sending: ForwardHeaders) -> messages.Headers:
        """Return the request's headers on their way to an engine."""
        request = self.exchange.request
        return messages.engine_headers(request.headers, sending, len(request.body))

    def sending(self, engine_id: str, **fields) -> ForwardHeaders:
        """Return what this system adds to the request for an engine."""
        name = entrystate.engine_name(self.state, engine_id)
        return ForwardHeaders(
            name, self.end_s - now_s(), self.admitted.account, **fields
        )

    async def pass_on(self, whole: Whole) -> None:
        """Send an engine's whole answer to the client, unchanged."""
        self.outcome = f"status {whole.status}"
        self.first_byte_s = now_s()
        headers = messages.answer_headers(whole.headers)
        headers = [pair for pair in headers if pair[0] != b"content-length"]
        await self.exchange.answer(whole.status, headers, whole.body)

    async def refuse(self, refused: Refused) -> None:
        """Send an answer of this system's own."""
        self.outcome = f"refused {refused.status}"
        await refuse(self.state, self.exchange, self.facts, refused, self.route.kind)

    async def refuse_for_good(self) -> None:
        """Answer a request that ends its engines."""
        crashes.log_refused(self, now_s())
        await self.refuse(crashes.REFUSED_AS_CRASHING)

    async def fail(self, failed: Failed) -> None:
        """Send the final answer after attempts that brought none.

        Only an engine's word, or that nothing was sent, makes it a "not run".
        """
        if failed.whole is not None:
            await self.pass_on(failed.whole)
            return
        if failed.is_not_run:
            retry_after_s = failed.retry_after_s or self.retry_after_s()
            refused = Refused(503, failed.reason, retry_after_s)
        elif failed.is_late:
            refused = Refused(504, failed.reason)
        else:
            refused = Refused(502, failed.reason)
        await self.refuse(refused)

    def retry_after_s(self) -> float:
        """Return when the client may come back: after about one usual answer."""
        return max(0.1, min(1.0, self.route.objective_s))


def _fingerprint(request, host, account):
    return fingerprint(account, request.method, host, request.target, request.body)


async def refuse(
    state: EntryState,
    exchange: Exchange,
    facts: RequestFacts,
    refused: Refused,
    kind: str = "none",
) -> None:
    """Answer a request without an engine, and say why in the log."""
    state.metrics.refusals.labels(kind, str(refused.status)).inc()
    state.sink.write(
        "request",
        "refused",
        request_id=facts.request_id,
        status=refused.status,
        reason=refused.reason,
        retry_after_s=refused.retry_after_s,
        version=state.version,
        confirmed_age_s=round(now_s() - state.confirmed_s, 3),
    )
    headers = messages.own_headers(facts.request_id, refused.retry_after_s)
    body = b""
    if refused is crashes.REFUSED_AS_CRASHING:
        headers.append((b"content-type", b"application/json"))
        body = msgspec.json.encode({"error": refused.reason})
    if refused is CUT_OFF:
        # On this connection the client would only be refused again.
        headers.append((b"connection", b"close"))
    await exchange.answer(refused.status, headers, body)
