"""Tests of the position from which a client resumes a stream."""

import unittest
from types import SimpleNamespace

from cherryrudder.node import gossip
from cherryrudder.node.stream import Stream
from cherryrudder.wire.frames import FrameCodec


class PositionTest(unittest.TestCase):
    """Guards against a client's event id that no report of a crash can hold."""

    def position(self, last_event):
        job = SimpleNamespace(facts=SimpleNamespace(last_event=last_event))
        return Stream.position(SimpleNamespace(last_event=None, job=job))

    def test_any_event_id_can_be_reported(self):
        codec = FrameCodec(gossip.KINDS)
        for last_event in ("", "7", "x", "9" * 20, "9" * 5000):
            with self.subTest(last_event=last_event[:20]):
                position = self.position(last_event)
                crash = gossip.ReportedCrash("e", "a", "v1", position, 0.0)
                record = gossip.ReportedRecord("f", "t", "llm", (crash,), -1, None)
                self.assertTrue(codec.encode([gossip.CrashUpdate((record,))]))

    def test_a_plain_number_is_the_position(self):
        self.assertEqual(self.position("7"), 7)


if __name__ == "__main__":
    unittest.main()
