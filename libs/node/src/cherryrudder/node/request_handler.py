"""Handle clients' requests: check route and key, pick the service, then relay."""

import anyio
from loguru import logger

from cherryrudder.layers import profile
from cherryrudder.platform import messages
from cherryrudder.policy import sharedbudget
from cherryrudder.relay.errors import ClientGone
from cherryrudder.relay.server import Exchange
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import authorization
from cherryrudder.routing.authorization import (
    NO_CONFIGURATION,
    UNCONFIRMED,
    AccessRequest,
    Refused,
)
from cherryrudder.routing.routetable import pick_service
from cherryrudder.wire.errors import WireError

from . import crashes, entrystate, plainrelay, roster, streamrelay
from .chainscheduler import ChainSchedulers
from .entrystate import EntryState
from .job import Job, refuse
from .stalls import StallDetector
from .supervision import StreamSupervisor
from .uplink import Uplink

# Refusal of requests that may not end before this process does: most streams take 2 to
# 5 of the 8 s that a process has to stop. Refused at once as not run, they are retried
# elsewhere by their clients.
LEAVING = Refused(503, "leaving", 0.05)
# Refusal for a model that no plan can spread; only another configuration helps.
UNSERVABLE = Refused(503, "the service's layers can't be planned", 5.0)
# Answers after an error of this process, without and with a request sent to an engine.
FAILED_UNSENT = Refused(503, "internal error", 1.0)
FAILED_SENT = Refused(502, "internal error")
# How long a request waits for this entry's configuration or its confirmation. After a
# power loss it takes 1.2 s until a new leader is elected and answers. Clients
# disconnect from a stream without output after 2 s.
MAX_HOLD_S = 1.3
# Part of the client's deadline that the wait may take; the rest is for serving.
HOLD_SHARE = 0.5
HOLD_POLL_INTERVAL_S = 0.02
# Time per token: a usual chain takes 12 to 14 ms.
TOKEN_TIME_S = 0.014
# Clients' guesses of their answers' length are right at the median. With a log-normal
# error of spread 0.5, one answer in thirty is longer than this many times its guess.
GUESS_FACTOR = 2.5

log = logger.bind(part="clients")


class RequestHandler:
    """Handles each request until its one final answer."""

    def __init__(self, state: EntryState, uplink: Uplink):
        self.state = state
        # Set in the last seconds before the process ends.
        self.is_closed = False
        # When the process will end, once that is known.
        self.process_ends_s: float | None = None
        schedulers = ChainSchedulers(uplink.group)
        self._publish_crashes = uplink.publish_crashes
        self.supervisor = StreamSupervisor(
            state, StallDetector(state, uplink), schedulers
        )

    async def handle(self, exchange: Exchange) -> None:
        """Serve or refuse one request."""
        state, request = self.state, exchange.request
        facts = messages.read_request(request.headers)
        if self.is_closed:
            await refuse(state, exchange, facts, LEAVING)
            return
        decision = await self._decide(exchange, facts)
        if isinstance(decision, Refused):
            await refuse(state, exchange, facts, decision)
            return
        name = pick_service(decision.route, state.rng.random())
        job = Job(state, exchange, facts, decision, state.table.service(name))
        refused = self._find_refusal(job)
        if refused is not None:
            await job.refuse(refused)
            return
        try:
            await self._serve(job)
        except (ClientGone, WireError):
            raise
        except Exception as error:
            log.opt(exception=error).error("Serving a request failed: {!r}.", error)
            await self._fail(job)
        finally:
            _record(job)

    async def _decide(self, exchange, facts):
        """Return the decision about a request; wait for a configuration if needed.

        After a power loss all entries start without a configuration, and the control
        VMs need a second to send it. Clients that are refused at once retry two seconds
        later, and those that were refused before don't retry at all.
        """
        decision = self._decide_now(exchange.request, facts)
        wait_s = MAX_HOLD_S
        if facts.deadline_s is not None:
            wait_s = min(wait_s, HOLD_SHARE * facts.deadline_s)
        until_s = exchange.request.arrived_s + wait_s
        while decision in (NO_CONFIGURATION, UNCONFIRMED) and now_s() < until_s:
            await anyio.sleep(HOLD_POLL_INTERVAL_S)
            decision = self._decide_now(exchange.request, facts)
        return decision

    def _decide_now(self, request, facts):
        state, now = self.state, now_s()
        was_confirmed = state.confirmed_s > float("-inf")
        return authorization.authorize(
            state.table,
            AccessRequest(facts.host, request.target.decode("latin-1"), facts.key),
            now - state.confirmed_s,
            state.settings.bounds.revoke_s,
            is_cut_off=was_confirmed and not roster.live_addresses(state.controls, now),
            superseded_age_s=entrystate.superseded_age_s(state, now),
        )

    async def _fail(self, job):
        """End a request after an error in this process."""
        self.state.metrics.failed_steps.labels("request").inc()
        if job.exchange.has_begun:
            job.outcome = "broken off: internal error"
            return
        await job.refuse(FAILED_SENT if job.attempts else FAILED_UNSENT)

    async def _serve(self, job):
        state, admitted, service = self.state, job.admitted, job.service
        sharedbudget.record_request(state.retry_budget, service.name, now_s())
        job.log_event(
            "admitted",
            route=admitted.route.name,
            version=state.version,
            account=admitted.account,
            service=service.name,
            fingerprint=job.fingerprint,
            prompt_parts=[part.label for part in job.parts],
            body_bytes=len(job.exchange.request.body),
        )
        if await crashes.confirm_block(job):
            await job.refuse_permanently()
            return
        if service.model is not None and service.model.layers:
            await streamrelay.serve(job, self.supervisor)
        else:
            await plainrelay.serve(job, self._publish_crashes)

    def _find_refusal(self, job):
        """Return why an admitted request isn't served at all, or None."""
        model = job.service.model
        if model is not None and model.layers and not profile.is_servable(model):
            return UNSERVABLE
        return LEAVING if self._may_outlast(job) else None

    def _may_outlast(self, job):
        """Return whether a stream may last longer than this process.

        The platform still sends new clients for two seconds after the order to stop. A
        long stream would then be cut in the middle when the platform kills the process.
        If it is refused at once, its client retries elsewhere and loses some
        milliseconds.
        """
        model = job.service.model
        if self.process_ends_s is None or model is None or not model.layers:
            return False
        facts = job.facts
        tokens = facts.guessed_answer_tokens or model.usual_answer_tokens
        tokens *= GUESS_FACTOR
        if facts.max_answer_tokens:
            tokens = min(tokens, facts.max_answer_tokens)
        return now_s() + tokens * TOKEN_TIME_S > self.process_ends_s


def _record(job):
    """Record the request's end in metrics and log; failures are always logged."""
    state, kind = job.state, str(job.route.kind)
    if job.exchange.is_gone:
        job.outcome = f"client left ({job.outcome})"
    total_s = now_s() - job.arrived_s
    first_s = job.first_byte_s - job.arrived_s if job.first_byte_s else None
    # Leave out the reason, which may contain an address: few label values are allowed.
    outcome = job.outcome.partition(":")[0].partition(" (")[0]
    state.metrics.requests.labels(kind, outcome).inc()
    state.metrics.total_s.labels(kind).observe(total_s)
    if first_s is not None:
        state.metrics.first_byte_s.labels(kind).observe(first_s)
    is_failure = not job.outcome.startswith(("status 2", "client left"))
    job.log_event(
        "ended",
        is_failure,
        outcome=job.outcome,
        attempts=job.attempts,
        first_byte_s=first_s and round(first_s, 3),
        total_s=round(total_s, 3),
        longest_pause_s=round(job.longest_pause_s, 3),
        paused_at_s=round(max(0.0, job.longest_pause_end_s - job.arrived_s), 3),
        waited_s=round(job.waited_s, 3),
        waited_for=job.waited_for,
        dropped_for=job.exchange.connection.dropped_for,
        objective_s=job.route.objective_s,
        gap_s=job.route.gap_s,
    )
