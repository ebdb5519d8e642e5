import math
import unittest
from types import SimpleNamespace
from unittest import mock

import anyio
from builders import PipedSink, a_state, an_announcement

from cherryrudder.layers.chains import Part
from cherryrudder.node import streamrelay, tablesync
from cherryrudder.node.entrystate import FULL_S
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import suspicion

CHAIN = (Part("first:1", "boot-1", 0, 8), Part("second:1", "boot-2", 8, 16))


class StubStream(streamrelay.Stream):
    """A stream with a chain, and nothing else that would need an entry."""

    def __init__(self):
        self.job = SimpleNamespace(state=SimpleNamespace(full_until_s={}))
        self.chain = CHAIN
        self._excluded_until_s = {}


class RefusedTest(unittest.TestCase):
    """An engine has no place left and refuses a stream, which has not run.

    Sent on at once, the stream goes where the load seems least. With nothing noted
    that is the same engine again, until the budget is spent and the client is refused
    though other engines have room.
    """

    def refuse(self, status, fault_address=""):
        stream = StubStream()
        facts = SimpleNamespace(fault_address=fault_address)
        streamrelay._avoid(stream, status, facts)
        return stream

    def test_without_a_name_the_first_engine_itself_is_full(self):
        stream = self.refuse(503)
        now = stream.job.state.full_until_s["first:1"] - FULL_S
        self.assertEqual(stream.excluded(now), {"first:1"})

    def test_a_named_engine_is_full(self):
        stream = self.refuse(503, "second:1")
        self.assertEqual(list(stream.job.state.full_until_s), ["second:1"])

    def test_a_full_engine_may_be_met_again_later(self):
        stream = self.refuse(503)
        now = stream.job.state.full_until_s["first:1"] - FULL_S
        self.assertEqual(stream.excluded(now + streamrelay.REFUSED_S + 0.1), set())

    def test_one_without_the_layers_is_not_met_again(self):
        stream = self.refuse(421, "second:1")
        self.assertEqual(stream.excluded(math.inf), set())
        self.assertEqual(stream.excluded(1e9), {"second:1"})


class RunsTest(unittest.TestCase):
    """Two engines that a stream ran on break off; the route allows it two.

    Both had said that they leave. Counted as gone on the entry's own suspicion, the
    stream went to a third while the first two were still at work for others, and with
    a release of many engines the operators' bound was broken again and again.
    """

    def setUp(self):
        self.piped = PipedSink()
        self.addCleanup(self.piped.close)
        self.state = a_state(self.piped.sink)
        now = now_s()
        for name in ("boot-1", "boot-2"):
            told = an_announcement(name, layers=(0, 8), is_leaving=True)
            tablesync.hear(self.state.endpoints, told, now)
            suspicion.died(self.state.suspicions, name, now + 0.001)

    def count(self, has_begun=True, after=lambda: None, leaves_in_s=30.0):
        stream = StubStream()
        end_s = now_s() + leaves_in_s
        stream.job = SimpleNamespace(state=self.state, leaves_s=lambda: end_s)
        stream.ran_at = ["boot-1", "boot-2"]
        stream.has_begun = has_begun
        polls = []

        async def sleep(_):
            polls.append(1)
            if len(polls) == 3:
                after()

        with mock.patch.object(streamrelay.anyio, "sleep", sleep):
            return anyio.run(streamrelay._runs_that_count, stream, 2)

    def test_a_confirmed_death_does_not_count(self):
        suspicions = self.state.suspicions

        def confirm():
            suspicion.verified(suspicions, "boot-2", now_s())

        self.assertEqual(self.count(after=confirm), 1)

    def test_an_engine_that_lives_counts(self):
        suspicions = self.state.suspicions

        def acquit():
            for name in ("boot-1", "boot-2"):
                suspicion.acquitted(suspicions, name)

        self.assertEqual(self.count(after=acquit), 2)

    def test_without_any_word_both_count(self):
        self.assertEqual(self.count(leaves_in_s=0.0), 2)

    def test_a_stream_without_any_event_does_not_wait(self):
        after = mock.Mock()
        self.assertEqual(self.count(has_begun=False, after=after), 2)
        after.assert_not_called()


if __name__ == "__main__":
    unittest.main()
