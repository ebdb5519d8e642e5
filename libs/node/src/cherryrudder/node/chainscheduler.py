"""Find chains for streams, in the queue's order if there isn't room for all of them.

One task searches for all waiting streams. A search through the chains of some fifty
engines takes about half a millisecond, and a try makes up to three. If each stream
searched for itself, twenty streams that try every 25 ms would take a whole core.
"""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from cherryrudder.layers.chains import Chain
from cherryrudder.policy import capacityqueue
from cherryrudder.policy.capacityqueue import CapacityQueue, WaitingStream
from cherryrudder.replica.clock import now_s

# Room becomes free when a stream ends, here or at another entry, which doesn't report
# it at once. In a busy data centre a stream ends every 30 to 90 ms.
TRY_INTERVAL_S = 0.025

FindChain = Callable[[], Chain | None]


class _Waiter:
    """A stream that waits for a chain with room."""

    def __init__(self, find_chain: FindChain, is_restricted: bool):
        self.find_chain = find_chain
        self.is_restricted = is_restricted
        self.chain: Chain | None = None
        # Raised by the last search.
        self.error: Exception | None = None
        self.is_over = anyio.Event()


class ChainScheduler:
    """Finds chains of one service for the waiting streams of one entry."""

    def __init__(self):
        self.queue = CapacityQueue()
        self._waiters: dict[str, _Waiter] = {}
        self._wake = anyio.Event()

    def retry_after_s(self) -> float:
        """Return the time until all waiting streams will have started, 0 if unknown."""
        waiting = self.queue.waiting.values()
        return capacityqueue.expected_wait_s(self.queue, sum(r.tokens for r in waiting))

    async def find_chain(
        self, request: WaitingStream, find_chain: FindChain, is_restricted: bool
    ) -> Chain | None:
        """Return a chain once there is one with room; None if it takes too long.

        `find_chain` reserves the chain that it returns, so that the next stream sees
        the room as taken. `is_restricted`: the stream can't use all engines, so others
        may find room where it doesn't.
        """
        if not capacityqueue.ahead_tokens(self.queue, request, now_s()):
            chain = find_chain()
            if chain is not None:
                return chain
        if capacityqueue.push(self.queue, request, now_s()) is not None:
            return None
        waiter = self._waiters[request.request_id] = _Waiter(find_chain, is_restricted)
        self._wake.set()
        try:
            await waiter.is_over.wait()
        except BaseException:
            capacityqueue.remove(self.queue, request.request_id)
            raise
        finally:
            del self._waiters[request.request_id]
        if waiter.error is not None:
            raise waiter.error
        return waiter.chain

    async def run(self) -> None:
        """Try periodically to find chains for the waiting streams."""
        while True:
            if not self.queue.waiting:
                self._wake = anyio.Event()
                await self._wake.wait()
            self._serve_waiting()
            await anyio.sleep(TRY_INTERVAL_S)

    def _serve_waiting(self):
        now = now_s()
        for request in capacityqueue.take_expired(self.queue, now):
            self._waiters[request.request_id].is_over.set()
        skipped: set[str] = set()
        while (
            request := capacityqueue.next_waiting(self.queue, now, skipped)
        ) is not None:
            waiter = self._waiters[request.request_id]
            try:
                waiter.chain = waiter.find_chain()
            except Exception as error:
                # The search for one stream must not end those of all others.
                waiter.error = error
                capacityqueue.remove(self.queue, request.request_id)
                waiter.is_over.set()
                continue
            if waiter.chain is not None:
                capacityqueue.record_start(self.queue, request.request_id, now)
                waiter.is_over.set()
            elif waiter.is_restricted:
                skipped.add(request.request_id)
            else:
                return


class ChainSchedulers:
    """The chain schedulers of all services of one entry."""

    def __init__(self, group: TaskGroup):
        self._group = group
        self._schedulers: dict[str, ChainScheduler] = {}

    def get(self, service: str) -> ChainScheduler:
        """Return the scheduler of a service; create it at its first use."""
        scheduler = self._schedulers.get(service)
        if scheduler is None:
            scheduler = self._schedulers[service] = ChainScheduler()
            self._group.start_soon(scheduler.run)
        return scheduler
