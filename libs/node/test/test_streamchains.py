import unittest
from types import SimpleNamespace
from unittest import mock

import anyio

from cherryrudder.layers.chains import Part
from cherryrudder.node import streamchains
from cherryrudder.node.roomdesk import RoomDesks
from cherryrudder.replica.clock import now_s

CHAIN = (Part("e1:1", "boot-1", 0, 8), Part("e2:1", "boot-2", 8, 16))


def a_stream(state, group):
    """Return what the choice of a chain looks at in a stream."""
    route = SimpleNamespace(objective_s=0.5, gap_s=0.2)
    job = SimpleNamespace(
        state=state,
        route=route,
        service=SimpleNamespace(name="llm"),
        admitted=SimpleNamespace(account="a"),
        facts=SimpleNamespace(request_id="r1"),
        arrived_s=0.0,
        end_s=1e9,
        note_wait=lambda *_: None,
        patience_s=lambda: 0.1,
        leaves_s=lambda: 1e9,
    )
    return SimpleNamespace(
        job=job,
        watch=SimpleNamespace(desks=RoomDesks(group)),
        tokens=900,
        excluded=lambda _: set(),
        has_begun=True,
        is_counted=False,
        chain=(),
    )


class LeavingTest(unittest.TestCase):
    """All engines are full; a client leaves at the moment at which its turn has come.

    Its stream is given room and ends without an attempt. The room has to be free again:
    counted as taken, it would be lost for all later streams of the entry.
    """

    def test_the_room_is_free_again(self):
        state = SimpleNamespace(running={}, tokens={}, firsts={})
        tries = []

        async def play():
            scope = anyio.CancelScope()

            def choose(stream):
                tries.append(stream)
                if len(tries) == 1:
                    return None
                scope.cancel()
                return CHAIN

            streamchains._choose = choose
            async with anyio.create_task_group() as group:
                stream = a_stream(state, group)
                with scope:
                    await streamchains.wait_for_chain(stream)
                group.cancel_scope.cancel()

        kept = streamchains._choose
        try:
            anyio.run(play)
        finally:
            streamchains._choose = kept
        self.assertEqual(len(tries), 2)
        self.assertEqual((state.running, state.tokens), ({}, {}))


class InterruptedTest(unittest.TestCase):
    """Engines that hold a range leave together; for some time no chain is whole.

    A caller has a part of its answer already and waits for the rest. Given up after a
    part of its patience, the answer ended in the middle though the next chain came in
    time; a stream without any event is told to come back instead.
    """

    def chain_after(self, tries, has_begun):
        """Return what a stream gets when there is a chain at a later try only."""
        made = []

        def choose(stream):
            made.append(stream)
            return CHAIN if len(made) >= tries else None

        async def play():
            async with anyio.create_task_group() as group:
                state = SimpleNamespace(running={}, tokens={}, firsts={})
                stream = a_stream(state, group)
                stream.has_begun = has_begun
                stream.job.arrived_s = now_s()
                stream.job.end_s = now_s() + 60.0
                stream.refusal, stream.retry_after_s = "", 0.0
                chain = await streamchains.wait_for_chain(stream)
                group.cancel_scope.cancel()
                return chain

        with (
            mock.patch.object(streamchains, "_choose", choose),
            mock.patch.object(streamchains, "_note_no_chain"),
        ):
            return anyio.run(play)

    def test_an_answer_that_has_begun_waits_for_the_next_chain(self):
        self.assertEqual(self.chain_after(20, has_begun=True), CHAIN)

    def test_a_new_stream_is_given_up_in_time(self):
        self.assertIsNone(self.chain_after(20, has_begun=False))


if __name__ == "__main__":
    unittest.main()
