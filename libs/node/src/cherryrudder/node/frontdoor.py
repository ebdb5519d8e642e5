"""Where clients' requests come in: route, key and service, then the relay."""

import anyio

from cherryrudder.platform import messages
from cherryrudder.policy import sharedbudget
from cherryrudder.relay.server import Exchange
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import authorization
from cherryrudder.routing.authorization import (
    NO_CONFIGURATION,
    UNCONFIRMED,
    AccessRequest,
    Admitted,
    Refused,
)
from cherryrudder.routing.routetable import pick_service

from . import crashes, plainrelay, roster, streamrelay
from .chainscheduler import ChainSchedulers
from .entrystate import EntryState
from .job import Job, refuse
from .stalls import StallDesk
from .supervision import Watch
from .uplink import Uplink

# A request that comes in the last seconds may not end in time: most streams take 2 to 5
# of the 8 s that a process has. Told at once that it has not run, it goes elsewhere.
LEAVING = Refused(503, "leaving", 0.05)
# How long a request waits for this entry's configuration, or for a control VM's word on
# it: a new leader and its first word take 1.2 s after a loss of power. Clients leave a
# stream that shows nothing for 2 s.
HOLD_S = 1.3
# Part of the time that a client gives its request; the rest is for serving it.
HOLD_SHARE = 0.5
HOLD_POLL_S = 0.02
# A usual chain makes a token in 12 to 14 ms.
TOKEN_S = 0.014
# Clients' guesses of their answers' length are right at the median. If they are off
# log-normally with a spread of 0.5, one answer in thirty is longer than this many times
# its guess; worked out, not measured.
GUESS_FACTOR = 2.5


class FrontDoor:
    """Takes requests and sees each to its one final answer."""

    def __init__(self, state: EntryState, uplink: Uplink):
        self.state = state
        # Set in the last seconds before the process ends.
        self.is_closed = False
        # When the process ends, once that is known.
        self.ends_s: float | None = None
        desks = ChainSchedulers(uplink.group)
        self._tell_crashes = uplink.publish_crashes
        self.watch = Watch(state, StallDesk(state, uplink), desks)

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
        await self._serve(exchange, facts, decision)

    async def _decide(self, exchange, facts):
        """Return the decision about a request, once this entry can make one.

        After a loss of power all entries start without a configuration, which takes the
        control VMs a second. Refused at once, the clients come back two seconds later,
        and those that were refused before don't come back at all.
        """
        decision = self._decide_now(exchange.request, facts)
        wait_s = HOLD_S
        if facts.deadline_s is not None:
            wait_s = min(wait_s, HOLD_SHARE * facts.deadline_s)
        until_s = exchange.request.arrived_s + wait_s
        while decision in (NO_CONFIGURATION, UNCONFIRMED) and now_s() < until_s:
            await anyio.sleep(HOLD_POLL_S)
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
        )

    async def _serve(self, exchange, facts, admitted: Admitted):
        state = self.state
        name = pick_service(admitted.route, state.rng.random())
        service = state.table.service(name)
        job = Job(state, exchange, facts, admitted, service)
        if self._may_outlast(job):
            await job.refuse(LEAVING)
            return
        sharedbudget.record_request(state.retry_budget, name, now_s())
        job.note(
            "admitted",
            route=admitted.route.name,
            version=state.version,
            account=admitted.account,
            service=name,
            fingerprint=job.fingerprint,
            body_bytes=len(exchange.request.body),
        )
        try:
            if crashes.is_blocked(job, now_s()):
                await job.refuse_for_good()
                return
            if service.model is not None and service.model.layers:
                await streamrelay.serve(job, self.watch)
            else:
                await plainrelay.serve(job, self._tell_crashes)
        finally:
            _record(job)

    def _may_outlast(self, job):
        """Tell whether a stream may go on for longer than this process.

        New clients come for two seconds after the order to stop, and a long stream
        would then be cut in the middle, when the platform's patience ends. Told at once
        that it has not run, its client goes elsewhere and loses some milliseconds.
        """
        model = job.service.model
        if self.ends_s is None or model is None or not model.layers:
            return False
        facts = job.facts
        tokens = facts.guessed_answer_tokens or model.usual_answer_tokens
        tokens *= GUESS_FACTOR
        if facts.max_answer_tokens:
            tokens = min(tokens, facts.max_answer_tokens)
        return now_s() + tokens * TOKEN_S > self.ends_s


def _record(job):
    """Count the request's end; failures keep their line also when lines are short."""
    state, kind = job.state, str(job.route.kind)
    if job.exchange.is_gone:
        job.outcome = f"client left ({job.outcome})"
    total_s = now_s() - job.arrived_s
    first_s = job.first_byte_s - job.arrived_s if job.first_byte_s else None
    # Without the reason, which may name an address: labels have to stay few.
    outcome = job.outcome.partition(":")[0].partition(" (")[0]
    state.metrics.requests.labels(kind, outcome).inc()
    state.metrics.total_s.labels(kind).observe(total_s)
    if first_s is not None:
        state.metrics.first_byte_s.labels(kind).observe(first_s)
    is_failure = not job.outcome.startswith(("status 2", "client left"))
    job.note(
        "ended",
        is_failure,
        outcome=job.outcome,
        attempts=job.attempts,
        first_byte_s=first_s and round(first_s, 3),
        total_s=round(total_s, 3),
        longest_pause_s=round(job.longest_pause_s, 3),
        paused_at_s=round(max(0.0, job.paused_until_s - job.arrived_s), 3),
        waited_s=round(job.waited_s, 3),
        waited_for=job.waited_for,
        objective_s=job.route.objective_s,
        gap_s=job.route.gap_s,
    )
