import asyncio
import unittest

from builders import in_loop

from cherryrudder.relay.turns import SLICE_UNITS, TURN_UNITS, TurnQueue


async def work(turns, name, slices, log, iteration):
    """Take some slices, and log the loop's iteration of each."""
    done = 0
    for _ in range(slices):
        await turns.take(done, SLICE_UNITS)
        done += SLICE_UNITS
        log.append((iteration(), name))


class Iterations:
    """Counts the iterations of the event loop."""

    def __init__(self):
        self.count = 0
        asyncio.get_running_loop().call_soon(self._next)

    def _next(self):
        self.count += 1
        asyncio.get_running_loop().call_soon(self._next)


class TurnQueueTest(unittest.TestCase):
    """Guards against clients whose work keeps the loop from all others."""

    @in_loop
    async def test_each_iteration_has_a_bounded_amount_of_work(self):
        turns, log, iterations = TurnQueue(), [], Iterations()
        async with asyncio.TaskGroup() as group:
            for name in range(50):
                group.create_task(work(turns, name, 6, log, lambda: iterations.count))
        counts = {}
        for iteration, _ in log:
            counts[iteration] = counts.get(iteration, 0) + SLICE_UNITS
        self.assertEqual(len(log), 300)
        # What waits is let go in one iteration and works in the next one.
        self.assertLessEqual(max(counts.values()), TURN_UNITS + SLICE_UNITS)

    @in_loop
    async def test_a_new_client_goes_before_one_that_has_worked_much(self):
        turns, log = TurnQueue(), []

        async def come_later():
            while len(log) < 200:
                await asyncio.sleep(0)
            await work(turns, "new", 1, log, lambda: 0)

        async with asyncio.TaskGroup() as group:
            for name in range(30):
                group.create_task(work(turns, name, 40, log, lambda: 0))
            group.create_task(come_later())
        place = [name for _, name in log].index("new")
        self.assertLess(place, 200 + 3 * TURN_UNITS // SLICE_UNITS)

    @in_loop
    async def test_a_cancelled_client_takes_no_turn(self):
        turns, log = TurnQueue(), []
        tasks = [
            asyncio.create_task(work(turns, name, 20, log, lambda: 0))
            for name in range(20)
        ]
        await asyncio.sleep(0)
        for task in tasks[1:]:
            task.cancel()
        await asyncio.wait_for(tasks[0], 5)
        self.assertEqual(sum(name == 0 for _, name in log), 20)


if __name__ == "__main__":
    unittest.main()
