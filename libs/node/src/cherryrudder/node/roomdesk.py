"""Finds chains for streams, in turn when there isn't room for all of them.

One task tries for all that wait, in the queue's order, instead of each for itself: a
search through the chains of some fifty engines takes about half a millisecond, and a
try makes up to three. Twenty streams that try every 25 ms would take a whole core.
"""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from cherryrudder.layers.chains import Chain
from cherryrudder.policy import roomqueue
from cherryrudder.policy.roomqueue import RoomQueue, Waiting
from cherryrudder.replica.clock import now_s

# Room comes free when a stream ends, here or at another entry; the latter isn't told at
# once. In a busy data centre one ends every 30 to 90 ms.
TRY_INTERVAL_S = 0.025

FindChain = Callable[[], Chain | None]


class _Waiter:
    """One stream that waits for its turn."""

    def __init__(self, find_chain: FindChain, is_picky: bool):
        self.find_chain = find_chain
        self.is_picky = is_picky
        self.chain: Chain | None = None
        self.is_over = anyio.Event()


class RoomDesk:
    """The streams of one entry that wait for chains of one service."""

    def __init__(self):
        self.queue = RoomQueue()
        self._waiters: dict[str, _Waiter] = {}
        self._wake = anyio.Event()

    def retry_after_s(self) -> float:
        """Return when all that wait now will have had their turn, 0 if unknown."""
        waiting = self.queue.waiting.values()
        return roomqueue.expected_wait_s(self.queue, sum(r.tokens for r in waiting))

    async def find(
        self, request: Waiting, find_chain: FindChain, is_picky: bool
    ) -> Chain | None:
        """Return a chain, once there is one with room; None when it takes too long.

        `find_chain` counts the chain in that it returns, so that whoever is next sees
        the room as taken. `is_picky`: the stream can't use all engines, so that others
        may find room where it doesn't.
        """
        if not roomqueue.ahead_tokens(self.queue, request, now_s()):
            chain = find_chain()
            if chain is not None:
                return chain
        if roomqueue.push(self.queue, request, now_s()) is not None:
            return None
        turn = self._waiters[request.request_id] = _Waiter(find_chain, is_picky)
        self._wake.set()
        try:
            await turn.is_over.wait()
        except BaseException:
            roomqueue.remove(self.queue, request.request_id)
            raise
        finally:
            del self._waiters[request.request_id]
        return turn.chain

    async def run(self) -> None:
        """Give the streams that wait their turns."""
        while True:
            if not self.queue.waiting:
                self._wake = anyio.Event()
                await self._wake.wait()
            self._serve_waiting()
            await anyio.sleep(TRY_INTERVAL_S)

    def _serve_waiting(self):
        now = now_s()
        for request in roomqueue.take_expired(self.queue, now):
            self._waiters[request.request_id].is_over.set()
        skipped: set[str] = set()
        while (request := roomqueue.first(self.queue, now, skipped)) is not None:
            turn = self._waiters[request.request_id]
            turn.chain = turn.find_chain()
            if turn.chain is not None:
                roomqueue.started(self.queue, request.request_id, now)
                turn.is_over.set()
            elif turn.is_picky:
                skipped.add(request.request_id)
            else:
                return


class RoomDesks:
    """The desks of all services of one entry."""

    def __init__(self, group: TaskGroup):
        self._group = group
        self._schedulers: dict[str, RoomDesk] = {}

    def of(self, service: str) -> RoomDesk:
        """Return a service's desk."""
        desk = self._schedulers.get(service)
        if desk is None:
            desk = self._schedulers[service] = RoomDesk()
            self._group.start_soon(desk.run)
        return desk
