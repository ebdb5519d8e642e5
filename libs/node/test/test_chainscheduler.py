import unittest

import anyio

from cherryrudder.node.chainscheduler import ChainScheduler
from cherryrudder.policy.capacityqueue import WaitingStream
from cherryrudder.replica.clock import now_s

CHAIN = ("chain",)


def a_request(name, patience_s=5.0, tokens=900.0):
    """Return a stream that waits from now on."""
    now = now_s()
    return WaitingStream(
        name, "account", tokens, now, now + patience_s, now + patience_s
    )


class Room:
    """A number of chains with room."""

    def __init__(self, count):
        self.count = count
        self.tries = 0

    def find(self):
        self.tries += 1
        if not self.count:
            return None
        self.count -= 1
        return CHAIN


async def until_waiting(scheduler, *names):
    """Return once all of these wait in the scheduler's queue.

    It polls the queue because `wait_all_tasks_blocked` may never return: the scheduler
    wakes four times in the 0.1 s after which that function checks again.
    """
    while not set(names) <= set(scheduler.queue.waiting):
        await anyio.sleep(0.001)


class SchedulerTest(unittest.TestCase):
    """All engines are full. Streams wait, and room becomes free for some of them."""

    def run_scenario(self, scenario):
        async def run():
            scheduler = ChainScheduler()
            with anyio.fail_after(20.0):
                async with anyio.create_task_group() as group:
                    group.start_soon(scheduler.run)
                    await scenario(scheduler, group)
                    group.cancel_scope.cancel()

        anyio.run(run)

    def test_free_room_is_used_at_once(self):
        async def scenario(scheduler, group):
            found = await scheduler.find_chain(a_request("1"), Room(1).find, False)
            self.assertEqual(found, CHAIN)

        self.run_scenario(scenario)

    def test_waiting_streams_get_free_room_in_order(self):
        order = []

        async def scenario(scheduler, group):
            room = Room(0)

            async def wait(name):
                if (
                    await scheduler.find_chain(a_request(name), room.find, False)
                    is not None
                ):
                    order.append(name)

            for name in ("1", "2", "3"):
                group.start_soon(wait, name)
                await until_waiting(scheduler, name)
            for count in (1, 2, 3):
                room.count = 1
                while len(order) < count:
                    await anyio.sleep(0.005)

        self.run_scenario(scenario)
        self.assertEqual(order, ["1", "2", "3"])

    def test_a_stream_that_waits_too_long_gets_no_chain(self):
        async def scenario(scheduler, group):
            found = await scheduler.find_chain(a_request("1", 0.1), Room(0).find, False)
            self.assertIsNone(found)
            self.assertEqual(scheduler.queue.waiting, {})

        self.run_scenario(scenario)

    def test_a_cancelled_stream_is_removed_from_the_queue(self):
        async def scenario(scheduler, group):
            with anyio.move_on_after(0.05):
                await scheduler.find_chain(a_request("1"), Room(0).find, False)
            self.assertEqual(scheduler.queue.waiting, {})

        self.run_scenario(scenario)

    def test_a_stream_that_cannot_use_all_engines_blocks_no_other(self):
        """A stream whose engine died may not use it again, and finds no chain.

        Streams that may use all engines must not wait behind it.
        """

        async def scenario(scheduler, group):
            group.start_soon(
                scheduler.find_chain, a_request("picky"), Room(0).find, True
            )
            await until_waiting(scheduler, "picky")
            room = Room(1)
            self.assertEqual(
                await scheduler.find_chain(a_request("2"), room.find, False), CHAIN
            )

        self.run_scenario(scenario)

    def test_many_waiting_streams_cost_one_search_per_interval(self):
        """Each search takes 0.6 ms; fifty at once would use up an entry's CPU time."""

        async def scenario(scheduler, group):
            room = Room(0)
            for n in range(50):
                group.start_soon(
                    scheduler.find_chain, a_request(str(n)), room.find, False
                )
            await until_waiting(scheduler, *(str(n) for n in range(50)))
            first = room.tries
            await anyio.sleep(0.2)
            self.assertLess(room.tries - first, 20)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
