"""A client's request at an entry: its time limits, log lines and answer."""

from typing import NamedTuple

import msgspec

from cherryrudder.platform import messages
from cherryrudder.platform.messages import ForwardHeaders, RequestFacts
from cherryrudder.relay.server import Exchange
from cherryrudder.replica.clock import now_s
from cherryrudder.routing.authorization import CUT_OFF, Admitted, Refused
from cherryrudder.routing.configuration import RouteKind, Service
from cherryrudder.routing.fingerprint import fingerprint, part_fingerprints

from . import crashes, entrystate
from .entrystate import EntryState

# The router's own answer is sent this long before the time limit of the client or the
# route, so that it arrives in time.
ANSWER_MARGIN_S = 0.02
# Clients disconnect from a stream without output after the longest of these: two
# seconds, this many objectives, or this many of the longest pauses that are still on
# time.
MIN_CLIENT_TIMEOUT_S = 2.0
CLIENT_TIMEOUT_OBJECTIVES = 4.0
CLIENT_TIMEOUT_PAUSES = 8.0
# Added to the client's timeout, so that the client disconnects first. An answer that
# the entry ends just before would look broken off by the router.
LEAVE_MARGIN_S = 0.3
# Refusals after which clients don't retry; they are always logged.
FINAL_STATUSES = frozenset({400, 401, 404})
MAX_LOGGED_PATH = 120


class WholeAnswer(NamedTuple):
    """A complete answer of an engine."""

    status: int
    headers: messages.Headers
    body: bytes


class FailedAttempt(NamedTuple):
    """The result of an attempt that gave no answer to relay."""

    reason: str
    # True only if the engine has certainly not run the request and never will.
    is_not_run: bool
    # The request was sent to an engine, which counts against the route's attempts.
    is_sent: bool = True
    is_late: bool = False
    # The engine broke its answer off, or gave none before the connection ended.
    is_broken: bool = False
    # The attempt says nothing about the engine.
    is_unclear: bool = False
    # An engine's own error answer, relayed if no later attempt gives a better one.
    answer: WholeAnswer | None = None
    # The engine asked this machine to back off.
    is_backoff: bool = False
    # When the client may retry, where that is known.
    retry_after_s: float | None = None


class Job:
    """An admitted request while it is served."""

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
        # The same for each attempt of the client, at whichever entry.
        self.fingerprint = _fingerprint(exchange.request, facts.host, admitted.account)
        self.parts = part_fingerprints(admitted.account, service.name, facts.part_ids)
        self.attempts = 0
        # For what the newest attempt is a trial, as fingerprints; see `heldrequests`.
        self.on_trial: frozenset[str] = frozenset()
        # When the newest attempt went out.
        self.sent_s = 0.0
        # When the retry was charged that is sent next; None if none is due.
        self.retry_charged_s: float | None = None
        self.outcome = "cut"
        self.first_byte_s: float | None = None
        # When the last chunk went to the client, and the longest pause before one.
        self.last_chunk_s = 0.0
        self.longest_pause_s = 0.0
        # When that pause ended.
        self.longest_pause_end_s = 0.0
        # How long it waited for a chain before its first event, and for which reason.
        self.waited_s = 0.0
        self.waited_for = ""
        self.arrived_s = exchange.request.arrived_s
        limit_s = self.route.timeout_s
        if facts.deadline_s is not None:
            limit_s = min(limit_s, facts.deadline_s)
        self.end_s = self.arrived_s + limit_s

    @property
    def is_idempotent(self) -> bool:
        """Return whether the request may run more than once."""
        if self.route.kind is RouteKind.STREAM:
            return self.route.is_resumable
        return self.route.kind is RouteKind.SAFE

    def record_chunk(self, now: float) -> None:
        """Record that the client gets a chunk of a stream at this time."""
        if self.first_byte_s is None:
            self.first_byte_s = now
        else:
            self._record_pause(now)
        self.last_chunk_s = now

    def _record_pause(self, now):
        if now - self.last_chunk_s > self.longest_pause_s:
            self.longest_pause_s = now - self.last_chunk_s
            self.longest_pause_end_s = now

    def record_wait(self, waited_s: float, waited_for: str) -> None:
        """Add a wait for a chain; waits after the first event are ignored."""
        if self.first_byte_s is None:
            self.waited_s += waited_s
            self.waited_for = waited_for

    def client_timeout_s(self) -> float:
        """Return how long the client waits for a stream without output."""
        return max(
            MIN_CLIENT_TIMEOUT_S,
            CLIENT_TIMEOUT_OBJECTIVES * self.route.objective_s,
            CLIENT_TIMEOUT_PAUSES * self.route.gap_s,
        )

    def client_leaves_s(self) -> float:
        """Return when the client of a stream that has begun disconnects by itself."""
        last_output_s = max(self.arrived_s, self.last_chunk_s)
        return min(self.end_s, last_output_s + self.client_timeout_s() + LEAVE_MARGIN_S)

    def left_s(self) -> float:
        """Return the time left until the time limit of the client or the route."""
        return self.end_s - now_s() - ANSWER_MARGIN_S

    def log_event(self, event: str, is_kept: bool = False, **fields) -> None:
        """Write a log line about this request."""
        self.state.sink.write(
            "request", event, is_kept, request_id=self.facts.request_id, **fields
        )

    def engine_headers(self, sending: ForwardHeaders) -> messages.Headers:
        """Return the request's headers as sent to an engine."""
        request = self.exchange.request
        return messages.engine_headers(request.headers, sending, len(request.body))

    def sending(self, engine_id: str, **fields) -> ForwardHeaders:
        """Return the facts that the router adds to the request for an engine."""
        name = entrystate.engine_name(self.state, engine_id)
        return ForwardHeaders(
            name, self.end_s - now_s(), self.admitted.account, **fields
        )

    async def pass_on(self, whole: WholeAnswer) -> None:
        """Send an engine's complete answer to the client, unchanged."""
        self.outcome = f"status {whole.status}"
        self.first_byte_s = now_s()
        headers = messages.answer_headers(whole.headers)
        headers = [pair for pair in headers if pair[0] != b"content-length"]
        await self.exchange.answer(whole.status, headers, whole.body)

    async def refuse(self, refused: Refused) -> None:
        """Refuse the request with an answer of the router's own."""
        self.outcome = f"refused {refused.status}"
        await refuse(self.state, self.exchange, self.facts, refused, self.route.kind)

    async def refuse_permanently(self) -> None:
        """Refuse a request that crashes its engines."""
        crashes.log_refused(self, now_s())
        await self.refuse(crashes.REFUSED_AS_CRASHING)

    async def fail(self, failed: FailedAttempt) -> None:
        """Send the final answer after attempts that gave none.

        It states "not run" only if an engine stated it or nothing was sent.
        """
        if failed.answer is not None:
            await self.pass_on(failed.answer)
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
        """Return when the client may retry: after about one usual answer."""
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
    """Refuse a request without an engine, and log the reason."""
    state.metrics.refusals.labels(kind, str(refused.status)).inc()
    is_final = refused.status in FINAL_STATUSES
    target = exchange.request.target.decode("latin-1")
    state.sink.write(
        "request",
        "refused",
        is_final,
        request_id=facts.request_id,
        status=refused.status,
        reason=refused.reason,
        retry_after_s=refused.retry_after_s,
        version=state.version,
        confirmed_age_s=round(now_s() - state.confirmed_s, 3),
        host=facts.host,
        # Without the query, which may hold personal data.
        path=target.partition("?")[0][:MAX_LOGGED_PATH],
        has_key=bool(facts.key),
    )
    headers = messages.own_headers(facts.request_id, refused.retry_after_s)
    body = b""
    if refused is crashes.REFUSED_AS_CRASHING:
        headers.append((b"content-type", b"application/json"))
        body = msgspec.json.encode({"error": refused.reason})
    if refused is CUT_OFF:
        # The client would only be refused again on this connection.
        headers.append((b"connection", b"close"))
    await exchange.answer(refused.status, headers, body)
