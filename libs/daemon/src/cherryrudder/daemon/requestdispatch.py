"""Carries out the policy's decisions on requests: send, wait, answer, retry."""

from collections.abc import Callable

import anyio
from loguru import logger

from cherryrudder.model.outcomes import Outcome, Refusal
from cherryrudder.pipeline.messages import Stage
from cherryrudder.pipeline.plan import stage_of
from cherryrudder.policy import dispatch
from cherryrudder.policy.admission import Admission
from cherryrudder.policy.dispatch import Dispatcher, Send, Work

from .clock import now_s
from .errors import DaemonError
from .fleet import FleetView

TICK_S = 0.05

log = logger.bind(part="admission")


class RequestRefused(DaemonError):
    """A request was refused before any part of it ran."""

    def __init__(self, refusal: Refusal):
        super().__init__(refusal.message)
        self.refusal = refusal


class RequestFailed(DaemonError):
    """A request failed and is not retried."""

    def __init__(self, outcome: Outcome, reason: str):
        super().__init__(f"no endpoint answered, and it is not sent again: {reason}")
        self.outcome = outcome


class _PendingRequest:
    """A waiting request: the effect that ends the wait."""

    def __init__(self):
        self.effect = None
        self.done = anyio.Event()


class RequestDispatch:
    """Queues and places the requests of one entry, from arrival to end."""

    def __init__(
        self,
        process,
        view: FleetView,
        on_wait: Callable[[], None],
        on_stall: Callable[[str, str], None],
    ):
        settings = process.settings.entry
        self.process = process
        self.view = view
        self.admission = Admission(settings.max_queued)
        self.dispatcher = Dispatcher(self.admission, view.fleet)
        self._on_wait = on_wait
        self._on_stall = on_stall
        self._pending: dict[str, _PendingRequest] = {}

    def start(self) -> None:
        """Start checking for requests that may start or must be refused."""
        self.process.group.start_soon(self._tick)

    async def submit(self, work: Work) -> Send:
        """Return the endpoints for a new request; raises RequestRefused.

        Each returned `Send` must be followed by `finish`, `cancel` or `retry`.
        """
        ticket = self._pending[work.offer.request_id] = _PendingRequest()
        self._carry_out(dispatch.submit(self.dispatcher, work, now_s()))
        return await self._wait(work.offer.request_id, ticket)

    async def retry(self, request_id, endpoint, is_certain_not_run: bool) -> Send:
        """Return endpoints for a retry; raises RequestFailed, RequestRefused."""
        ticket = self._pending[request_id] = _PendingRequest()
        self._carry_out(
            dispatch.fail_attempt(
                self.dispatcher, request_id, endpoint, is_certain_not_run, now_s()
            )
        )
        return await self._wait(request_id, ticket)

    def finish(self, request_id: str, used_tokens: int, took_s: float) -> None:
        """Record the end of a request that was answered."""
        own_s = self.view.decode_time_s
        self._carry_out(
            dispatch.finish(
                self.dispatcher, request_id, used_tokens, took_s, now_s(), own_s
            )
        )

    def cancel(self, request_id: str, used_tokens: int) -> None:
        """Record the end of a request without a complete answer."""
        effects = dispatch.cancel(self.dispatcher, request_id, used_tokens, now_s())
        self._carry_out(effects)

    def replace_stage(self, request_id: str, need) -> Stage | None:
        """Return a stage for a layer range that a running request has lost."""
        placed = self.dispatcher.placed.get(request_id)
        for endpoint in placed.stages if placed else ():
            member = self.view.fleet.members.get(endpoint)
            if member is None or endpoint not in need.exclude:
                continue
            own = member.announcement
            if (own.first_layer, own.end_layer) == (need.first_layer, need.end_layer):
                found = dispatch.replace_stage(
                    self.dispatcher, request_id, endpoint, now_s(), need.exclude
                )
                return stage_of(found) if found is not None else None
        return None

    def advance(self) -> None:
        """Start queued requests after credits or shares have changed."""
        self._carry_out(dispatch.advance(self.dispatcher, now_s()))

    async def _wait(self, request_id, ticket):
        if not ticket.done.is_set():
            self._on_wait()
        try:
            await ticket.done.wait()
        except anyio.get_cancelled_exc_class():
            # The caller disconnected. A queued request leaves the queue; a request that
            # was placed just now releases its places.
            if request_id in self.dispatcher.works:
                self.cancel(request_id, 0)
            raise
        finally:
            del self._pending[request_id]
        match ticket.effect:
            case Send():
                return ticket.effect
            case dispatch.Refuse():
                raise RequestRefused(ticket.effect.refusal)
            case dispatch.Failed():
                raise RequestFailed(ticket.effect.outcome, ticket.effect.verdict)

    def _carry_out(self, effects):
        for effect in effects:
            if isinstance(effect, dispatch.Silent):
                log.warning("{} makes no progress.", effect.endpoint)
                self._on_stall(effect.request_id, effect.endpoint)
                continue
            ticket = self._pending.get(effect.request_id)
            if ticket is not None:
                ticket.effect = effect
                ticket.done.set()

    async def _tick(self):
        while True:
            await anyio.sleep(TICK_S)
            self._carry_out(dispatch.tick(self.dispatcher, now_s()))
