import math
import unittest
from types import SimpleNamespace

from cherryrudder.layers.chains import Part
from cherryrudder.node import streamrelay
from cherryrudder.node.entrystate import FULL_S

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


if __name__ == "__main__":
    unittest.main()
