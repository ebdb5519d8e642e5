"""Tests of the order of a stage's calls to its engine."""

import unittest
from types import SimpleNamespace

import anyio
import anyio.lowlevel

from cherryrudder.daemon.enginehost import EngineHost, StepAnswer
from cherryrudder.pipeline.effects import Compute, FreeKv

TURNS = 20
REQUEST = "request"


class HeldEngine:
    """Takes calls and answers each when the test says so."""

    def __init__(self):
        self.frees = []
        self.steps = 0

    async def call(self, method, url, value, kind=object, timeout_s=0.0):
        """Hold a free until it is released; answer steps without outputs."""
        if url.endswith("/v1/free"):
            release = anyio.Event()
            self.frees.append(release)
            await release.wait()
            return {}
        self.steps += 1
        return StepAnswer(())


def a_process(group):
    """Return the parts of a sidecar's process that its stage needs."""
    sidecar = SimpleNamespace(back_end="http://engine", endpoint="a", slots=4)
    listen = SimpleNamespace(frames="127.0.0.1:1")
    settings = SimpleNamespace(sidecar=sidecar, listen=listen)
    return SimpleNamespace(
        settings=settings,
        group=group,
        stopping=anyio.Event(),
        leaving=anyio.Event(),
        internal_key="key",
        incarnation="1",
    )


async def turns():
    """Let all tasks that are ready run."""
    for _ in range(TURNS):
        await anyio.lowlevel.checkpoint()


class FreeTest(unittest.TestCase):
    def test_a_compute_waits_for_every_free_of_its_request(self):
        """Guards against a free that drops the KV which a later compute has built."""

        async def main():
            async with anyio.create_task_group() as group:
                host = EngineHost(a_process(group))
                host.client = engine = HeldEngine()
                group.start_soon(host._feed_engine)
                free = FreeKv(REQUEST)
                host._carry_out([free, free, Compute(REQUEST, "m", 0, ("x",), 0)])
                calls = []
                for number in range(2):
                    await turns()
                    calls.append((len(engine.frees), engine.steps))
                    engine.frees[number].set()
                await turns()
                calls.append((len(engine.frees), engine.steps))
                group.cancel_scope.cancel()
            return calls

        self.assertEqual(anyio.run(main), [(1, 0), (2, 0), (2, 1)])

    def test_a_compute_waits_for_a_free_that_ends_last(self):
        """Guards against a slow free that is overtaken by the next one."""

        async def main():
            async with anyio.create_task_group() as group:
                host = EngineHost(a_process(group))
                host.client = engine = HeldEngine()
                group.start_soon(host._feed_engine)
                free = FreeKv(REQUEST)
                host._carry_out([free])
                await turns()
                host._carry_out([free, Compute(REQUEST, "m", 0, ("x",), 0)])
                unanswered = None
                while not engine.steps:
                    await turns()
                    unanswered = [f for f in engine.frees if not f.is_set()]
                    if unanswered:
                        unanswered[-1].set()
                        await turns()
                        unanswered = [f for f in engine.frees if not f.is_set()]
                group.cancel_scope.cancel()
            return len(unanswered)

        self.assertEqual(anyio.run(main), 0)


if __name__ == "__main__":
    unittest.main()
