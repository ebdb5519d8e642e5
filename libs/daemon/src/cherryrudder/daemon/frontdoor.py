"""Carries out what the policy decides of each request: send, wait, answer, retry."""

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


class TurnedAway(DaemonError):
    """A request that is given up before any of it ran."""

    def __init__(self, refusal: Refusal):
        super().__init__(refusal.message)
        self.refusal = refusal


class GivenUp(DaemonError):
    """A request that failed and is not sent again."""

    def __init__(self, outcome: Outcome, reason: str):
        super().__init__(f"no endpoint answered, and it is not sent again: {reason}")
        self.outcome = outcome


class _Ticket:
    """What the task of a waiting request is told."""

    def __init__(self):
        self.effect = None
        self.done = anyio.Event()


class FrontDoor:
    """The requests of one entry, from their arrival to their end."""

    def __init__(
        self,
        process,
        view: FleetView,
        on_wait: Callable[[], None],
        on_silent: Callable[[str, str], None],
    ):
        settings = process.settings.entry
        self.process = process
        self.view = view
        self.admission = Admission(settings.max_queued)
        self.dispatcher = Dispatcher(self.admission, view.fleet)
        self._on_wait = on_wait
        self._on_silent = on_silent
        self._tickets: dict[str, _Ticket] = {}

    def start(self) -> None:
        """Start looking for requests that may start or must be given up."""
        self.process.group.start_soon(self._tick)

    async def enter(self, work: Work) -> Send:
        """Return where a request is to be sent; raises TurnedAway.

        A request that got its `Send` ends in `finish`, `cancel` or `retry`.
        """
        ticket = self._tickets[work.offer.request_id] = _Ticket()
        self._carry_out(dispatch.submit(self.dispatcher, work, now_s()))
        return await self._wait(work.offer.request_id, ticket)

    async def retry(self, request_id, endpoint, is_certain_not_run: bool) -> Send:
        """Return where to send a failed request again; raises GivenUp, TurnedAway."""
        ticket = self._tickets[request_id] = _Ticket()
        self._carry_out(
            dispatch.fail_attempt(
                self.dispatcher, request_id, endpoint, is_certain_not_run, now_s()
            )
        )
        return await self._wait(request_id, ticket)

    def finish(self, request_id: str, used_tokens: int, took_s: float) -> None:
        """End a request that was answered."""
        own_s = self.view.own_s
        self._carry_out(
            dispatch.finish(
                self.dispatcher, request_id, used_tokens, took_s, now_s(), own_s
            )
        )

    def cancel(self, request_id: str, used_tokens: int) -> None:
        """End a request that was not answered to its end."""
        effects = dispatch.cancel(self.dispatcher, request_id, used_tokens, now_s())
        self._carry_out(effects)

    def replace_stage(self, request_id: str, need) -> Stage | None:
        """Return a stage for a range that a running request has lost."""
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
        """Start what there is room for: credits or shares have changed."""
        self._carry_out(dispatch.advance(self.dispatcher, now_s()))

    async def _wait(self, request_id, ticket):
        if not ticket.done.is_set():
            self._on_wait()
        try:
            await ticket.done.wait()
        except anyio.get_cancelled_exc_class():
            # The caller went away: what waits leaves the queue, and what was placed
            # in this very moment gives its places back.
            if request_id in self.dispatcher.works:
                self.cancel(request_id, 0)
            raise
        finally:
            del self._tickets[request_id]
        match ticket.effect:
            case Send():
                return ticket.effect
            case dispatch.Refuse():
                raise TurnedAway(ticket.effect.refusal)
            case dispatch.Failed():
                raise GivenUp(ticket.effect.outcome, ticket.effect.verdict)

    def _carry_out(self, effects):
        for effect in effects:
            if isinstance(effect, dispatch.Silent):
                log.warning("{} is silent.", effect.endpoint)
                self._on_silent(effect.request_id, effect.endpoint)
                continue
            ticket = self._tickets.get(effect.request_id)
            if ticket is not None:
                ticket.effect = effect
                ticket.done.set()

    async def _tick(self):
        while True:
            await anyio.sleep(TICK_S)
            self._carry_out(dispatch.tick(self.dispatcher, now_s()))
