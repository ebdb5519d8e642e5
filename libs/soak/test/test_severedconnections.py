"""Connections to engines that go silent for good, while the engines live on."""

import random
import tempfile
import unittest

import anyio

from cherryrudder.soak import run
from cherryrudder.soak.operator import Operator
from cherryrudder.soak.testbed import Testbed

SEVERED = 4
INTERVAL_S = 1.5
# Lines that a request gets for engines that have ended under it.
BLAMED = frozenset({"engine-ended", "held", "blocked"})
MIN_ANSWERED = 0.5


class SeveredConnectionsTest(unittest.TestCase):
    """Guards against requests blamed for engines whose connections went silent."""

    async def play(self, testbed):
        """Sever all connections to engines several times; return the callers."""
        operator = Operator(testbed, random.Random(1))
        is_over = anyio.Event()
        await run._start(testbed, operator)
        async with anyio.create_task_group() as group:
            for caller in testbed.callers:
                group.start_soon(caller.run, operator.used_keys, is_over)
            for _ in range(SEVERED):
                await anyio.sleep(INTERVAL_S)
                for proxy in testbed.engine_proxies.values():
                    proxy.sever()
            await anyio.sleep(INTERVAL_S)
            is_over.set()
        return [answer for caller in testbed.callers for answer in caller.answers]

    def test_no_request_is_blamed_and_callers_are_served(self):
        async def in_testbed():
            with tempfile.TemporaryDirectory() as folder:
                async with anyio.create_task_group() as group:
                    testbed = Testbed(folder, 1, group)
                    try:
                        answers = await self.play(testbed)
                    finally:
                        testbed.stop()
                        group.cancel_scope.cancel()
                return answers, testbed.deployment.log_lines()

        answers, lines = anyio.run(in_testbed)
        blamed = [line for line in lines if line.get("part") == "crashes"]
        self.assertEqual([one for one in blamed if one["event"] in BLAMED], [])
        statuses = [answer.status for answer in answers]
        self.assertEqual([one for one in statuses if one == 400], [])
        self.assertGreater(statuses.count(200), MIN_ANSWERED * len(statuses))


if __name__ == "__main__":
    unittest.main()
