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
    """So many chains with room."""

    def __init__(self, count):
        self.count = count
        self.tries = 0

    def find(self):
        self.tries += 1
        if not self.count:
            return None
        self.count -= 1
        return CHAIN


async def until_waiting(desk, *names):
    """Return once all of these wait at a desk.

    By the desk's own queue: a desk wakes four times in the 0.1 s after which
    `wait_all_tasks_blocked` looks again, and in step with it is never seen asleep.
    """
    while not set(names) <= set(desk.queue.waiting):
        await anyio.sleep(0.001)


class DeskTest(unittest.TestCase):
    """All engines are full. Streams wait, and room comes free for some of them."""

    def play(self, scenario):
        async def run():
            desk = ChainScheduler()
            with anyio.fail_after(20.0):
                async with anyio.create_task_group() as group:
                    group.start_soon(desk.run)
                    await scenario(desk, group)
                    group.cancel_scope.cancel()

        anyio.run(run)

    def test_room_that_is_there_is_taken_at_once(self):
        async def scenario(desk, group):
            found = await desk.find_chain(a_request("1"), Room(1).find, False)
            self.assertEqual(found, CHAIN)

        self.play(scenario)

    def test_who_waits_gets_the_room_that_comes_free_in_order(self):
        order = []

        async def scenario(desk, group):
            room = Room(0)

            async def wait(name):
                if await desk.find_chain(a_request(name), room.find, False) is not None:
                    order.append(name)

            for name in ("1", "2", "3"):
                group.start_soon(wait, name)
                await until_waiting(desk, name)
            for count in (1, 2, 3):
                room.count = 1
                while len(order) < count:
                    await anyio.sleep(0.005)

        self.play(scenario)
        self.assertEqual(order, ["1", "2", "3"])

    def test_who_waits_too_long_is_told_so(self):
        async def scenario(desk, group):
            found = await desk.find_chain(a_request("1", 0.1), Room(0).find, False)
            self.assertIsNone(found)
            self.assertEqual(desk.queue.waiting, {})

        self.play(scenario)

    def test_a_client_that_leaves_waits_no_longer(self):
        async def scenario(desk, group):
            with anyio.move_on_after(0.05):
                await desk.find_chain(a_request("1"), Room(0).find, False)
            self.assertEqual(desk.queue.waiting, {})

        self.play(scenario)

    def test_one_that_cannot_use_all_engines_holds_nobody_up(self):
        """A stream whose engine died may not use it again, and finds no chain.

        The others, who may use all engines, must not wait behind it.
        """

        async def scenario(desk, group):
            group.start_soon(desk.find_chain, a_request("picky"), Room(0).find, True)
            await until_waiting(desk, "picky")
            room = Room(1)
            self.assertEqual(
                await desk.find_chain(a_request("2"), room.find, False), CHAIN
            )

        self.play(scenario)

    def test_many_that_wait_cost_one_try_a_turn(self):
        """Each search takes 0.6 ms; with fifty at once an entry did nothing else."""

        async def scenario(desk, group):
            room = Room(0)
            for n in range(50):
                group.start_soon(desk.find_chain, a_request(str(n)), room.find, False)
            await until_waiting(desk, *(str(n) for n in range(50)))
            first = room.tries
            await anyio.sleep(0.2)
            self.assertLess(room.tries - first, 20)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
