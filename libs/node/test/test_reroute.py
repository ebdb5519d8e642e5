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
    """Return a stub of a stream with a chain of two engines."""
    labels = SimpleNamespace(labels=lambda *_: SimpleNamespace(inc=lambda: None))
    state = SimpleNamespace(metrics=SimpleNamespace(reroutes=labels))
    stream = SimpleNamespace(
        job=SimpleNamespace(state=state, client_leaves_s=lambda: now_s() + 60.0),
        chain=CHAIN,
        connection=object(),
        exclude=lambda *_: None,
        last_progress_s=now_s(),
        has_begun=has_begun,
    )
    stream.break_reason = []
    stream.abort_attempt = stream.break_reason.append
    return stream


class NoOtherChainTest(unittest.TestCase):
    """Guards against aborting an attempt while no engine can replace the lost part.

    An engine in the middle of a chain dies, and for a moment no other one has room. The
    first engine still holds the request. An abort lost its cache and one of the
    stream's two attempts, and after the next death the answer ended in the middle.
    """

    def replace(self, stream, parts, others=lambda: False, orders=None):
        """Return the chains ordered; `parts` and `others` give the available chains."""
        orders = [] if orders is None else orders

        async def request_reroute(_, chain):
            orders.append(chain)
            return 200, ""

        async def scenario():
            with anyio.fail_after(10):
                await reroute.replace_lost(
                    stream, stream.connection, {CHAIN[1].address}
                )

        with (
            mock.patch.object(reroute, "find_replacement", lambda *_: parts()),
            mock.patch.object(reroute, "request_reroute", request_reroute),
            mock.patch.object(reroute, "switch_chain"),
            mock.patch.object(reroute, "REPLACEMENT_POLL_S", 0.001),
            mock.patch.object(
                reroute.streamchains, "has_other_chain", lambda *_: others()
            ),
        ):
            anyio.run(scenario)
        return orders

    def test_the_stream_is_rerouted_once_another_engine_has_room(self):
        stream, tries = a_stream(), []

        def parts():
            tries.append(1)
            return OTHER if len(tries) > 5 else None

        self.assertEqual(self.replace(stream, parts), [OTHER])
        self.assertEqual(stream.break_reason, [])

    def test_the_attempt_is_aborted_once_there_is_another_whole_chain(self):
        stream, checks = a_stream(), []

        def others():
            checks.append(1)
            return len(checks) > 3

        self.assertEqual(self.replace(stream, lambda: None, others), [])
        self.assertEqual(len(stream.break_reason), 1)

    def test_the_attempt_of_a_stream_without_any_event_is_aborted_at_once(self):
        stream = a_stream(has_begun=False)
        self.replace(stream, lambda: None)
        self.assertEqual(len(stream.break_reason), 1)

    def test_nothing_is_done_if_the_chain_continues_after_all(self):
        stream, tries = a_stream(), []

        def parts():
            tries.append(1)
            if len(tries) > 3:
                stream.last_progress_s += 1.0
            return None

        self.replace(stream, parts)
        self.assertEqual(stream.break_reason, [])

    def test_nothing_is_done_once_the_attempt_has_ended(self):
        stream = a_stream()

        def parts():
            stream.connection = None
            return None

        self.replace(stream, parts)
        self.assertEqual(stream.break_reason, [])


if __name__ == "__main__":
    unittest.main()
