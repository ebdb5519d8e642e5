import tempfile
import unittest

import anyio

from cherryrudder.soak.testbed import Testbed


class OverlappingFaultsTest(unittest.TestCase):
    def test_an_engine_is_removed_once(self):
        """Guards against a run that ends as two faults remove the same engine."""

        async def run():
            with tempfile.TemporaryDirectory() as folder:
                async with anyio.create_task_group() as group:
                    testbed = Testbed(folder, 1, group)
                    engine = await testbed.add_engine("llm", "l4")
                    await testbed.remove_engine(engine)
                    await testbed.remove_engine(engine)
                    group.cancel_scope.cancel()
            return testbed.engines, engine.is_removed

        self.assertEqual(anyio.run(run), ([], True))
