"""Admission and placement joined: a request enters, waits its turn or is refused."""

from collections.abc import Callable
from typing import Any

import anyio
from loguru import logger

from cherryrudder.model.outcomes import Refusal
from cherryrudder.policy import admission
from cherryrudder.policy.admission import Admission, GaveUp, Offer

from .clock import now_s
from .errors import DaemonError

RELEASE_S = 0.05

log = logger.bind(part="admission")


class TurnedAway(DaemonError):
    """A request that is given up; it did not run."""

    def __init__(self, refusal: Refusal):
        super().__init__(refusal.message)
        self.refusal = refusal


class _Ticket:
    def __init__(self, place):
        self.place = place
        self.placed = None
        self.refusal = None
        self.done = anyio.Event()


class FrontDoor:
    """What waits at this entry, and what may start."""

    def __init__(self, process, max_queued: int, on_wait: Callable[[], None]):
        self.process = process
        self.admission = Admission(max_queued)
        self._on_wait = on_wait
        self._tickets: dict[str, _Ticket] = {}

    def start(self) -> None:
        """Start looking for requests that may start or must be given up."""
        self.process.group.start_soon(self._tick)

    async def enter(self, offer: Offer, place: Callable[[], Any]) -> Any:
        """Return what `place` gave once the request may start; raises TurnedAway.

        `place` returns None while there is no room. A placed request must be settled.
        """
        answer = admission.offer(self.admission, offer, now_s())
        if isinstance(answer, admission.Admitted):
            placed = place()
            if placed is not None:
                return placed
            answer = admission.put_back(self.admission, offer.request_id, now_s())
        if isinstance(answer, Refusal):
            raise TurnedAway(answer)
        return await self._wait(offer.request_id, place)

    def settle(self, request_id: str, used_tokens: float) -> None:
        """End a request that was placed, with the tokens that it used."""
        admission.settle(self.admission, request_id, used_tokens, now_s())
        self.release()

    def release(self) -> None:
        """Start what there is room for and give up what cannot be served in time."""
        for result in admission.release(self.admission, now_s(), self._can_place):
            ticket = self._tickets.get(result.request_id)
            if ticket is None:
                continue
            if isinstance(result, GaveUp):
                ticket.refusal = result.refusal
            ticket.done.set()

    async def _wait(self, request_id, place):
        ticket = self._tickets[request_id] = _Ticket(place)
        self._on_wait()
        try:
            await ticket.done.wait()
        except anyio.get_cancelled_exc_class():
            # The caller went away: what waits leaves the queue, and what was placed
            # in this very moment gives its place back.
            admission.cancel(self.admission, request_id, now_s())
            if ticket.placed is not None:
                ticket.placed.release()
                self.settle(request_id, 0)
            raise
        finally:
            del self._tickets[request_id]
        if ticket.refusal is not None:
            raise TurnedAway(ticket.refusal)
        return ticket.placed

    def _can_place(self, request_id):
        ticket = self._tickets.get(request_id)
        if ticket is None:
            return False
        ticket.placed = ticket.place()
        return ticket.placed is not None

    async def _tick(self):
        while True:
            await anyio.sleep(RELEASE_S)
            self.release()
