import unittest
from types import SimpleNamespace

import anyio

from cherryrudder.layers.chains import Part
from cherryrudder.node import streamchains
from cherryrudder.node.roomdesk import RoomDesks

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
    )
    return SimpleNamespace(
        job=job,
        watch=SimpleNamespace(desks=RoomDesks(group)),
        tokens=900,
        excluded=set(),
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


if __name__ == "__main__":
    unittest.main()
