import unittest
from types import SimpleNamespace
from unittest import mock

import anyio

from cherryrudder.layers.chains import Part
from cherryrudder.node import reroute
from cherryrudder.replica.clock import now_s

CHAIN = (Part("e1:1", "boot-1", 0, 8), Part("e2:1", "boot-2", 8, 16))
OTHER = (CHAIN[0], Part("e3:1", "boot-3", 8, 16))


def a_stream(has_begun=True):
    """Return a stream whose chain goes over two engines."""
    labels = SimpleNamespace(labels=lambda *_: SimpleNamespace(inc=lambda: None))
    state = SimpleNamespace(metrics=SimpleNamespace(reroutes=labels))
    stream = SimpleNamespace(
        job=SimpleNamespace(state=state, leaves_s=lambda: now_s() + 60.0),
        chain=CHAIN,
        connection=object(),
        exclude=lambda *_: None,
        progressed_s=now_s(),
        has_begun=has_begun,
    )
    stream.broken = []
    stream.break_off = stream.broken.append
    return stream


class NoOtherChainTest(unittest.TestCase):
    """An engine in the middle of a chain dies, and for a moment nobody else has room.

    The first engine holds the request and waits. Broken off at once, the stream lost
    what was read of it and one of its two attempts, and waited all the same; with the
    next death it ended in the middle.
    """

    def go_on(self, stream, parts, others=lambda: False, orders=None):
        """Look after the stream while `parts` says over what chain it may go on."""
        orders = [] if orders is None else orders

        async def order(_, chain):
            orders.append(chain)
            return 200, ""

        async def play():
            with anyio.fail_after(10):
                await reroute.replace_lost(
                    stream, stream.connection, {CHAIN[1].address}
                )

        with (
            mock.patch.object(reroute, "find_replacement", lambda *_: parts()),
            mock.patch.object(reroute, "order", order),
            mock.patch.object(reroute, "take"),
            mock.patch.object(reroute, "PART_POLL_S", 0.001),
            mock.patch.object(
                reroute.streamchains, "has_other_chain", lambda *_: others()
            ),
        ):
            anyio.run(play)
        return orders

    def test_it_goes_on_once_another_engine_has_room(self):
        stream, tries = a_stream(), []

        def parts():
            tries.append(1)
            return OTHER if len(tries) > 5 else None

        self.assertEqual(self.go_on(stream, parts), [OTHER])
        self.assertEqual(stream.broken, [])

    def test_it_goes_elsewhere_as_soon_as_there_is_another_whole_chain(self):
        stream, looks = a_stream(), []

        def others():
            looks.append(1)
            return len(looks) > 3

        self.assertEqual(self.go_on(stream, lambda: None, others), [])
        self.assertEqual(len(stream.broken), 1)

    def test_a_stream_without_any_event_goes_elsewhere_at_once(self):
        stream = a_stream(has_begun=False)
        self.go_on(stream, lambda: None)
        self.assertEqual(len(stream.broken), 1)

    def test_it_is_left_alone_when_its_chain_goes_on_after_all(self):
        stream, tries = a_stream(), []

        def parts():
            tries.append(1)
            if len(tries) > 3:
                stream.progressed_s += 1.0
            return None

        self.go_on(stream, parts)
        self.assertEqual(stream.broken, [])

    def test_nothing_is_done_once_the_attempt_has_ended(self):
        stream = a_stream()

        def parts():
            stream.connection = None
            return None

        self.go_on(stream, parts)
        self.assertEqual(stream.broken, [])


if __name__ == "__main__":
    unittest.main()
