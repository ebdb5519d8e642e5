"""Requests that often end well while others crash the engines that run both."""

import unittest

from builders import PipedSink, a_state
from test_crashes import a_job, a_record

from cherryrudder.node import crashes
from cherryrudder.replica.clock import now_s
from cherryrudder.routing.crashbook import FINISHED


class PassedBeforeTest(unittest.TestCase):
    """Guards against a final refusal of a sound request that clients often repeat."""

    def setUp(self):
        self.piped = PipedSink()
        self.addCleanup(self.piped.close)
        self.state = a_state(self.piped.sink)

    def record(self, **engine_ids):
        """Record crashes of engines, which the sound request outlived the longest."""
        records = {}
        for name, ids in engine_ids.items():
            known = a_record(*ids, part="p" if name == "part" else "")
            last_event = 2 if name == "sound" else 0
            ended = tuple(
                # One after the other, as engines that end together may share a cause.
                one._replace(last_event=last_event, at_s=one.at_s - 9 + number)
                for number, one in enumerate(known.crashes)
            )
            records[name] = known._replace(crashes=ended)
        self.state.crashes.record(records, now_s())

    def test_runs_that_ended_well_before_it_was_a_suspect_count(self):
        explained = ("boot-1", "boot-2", "boot-3")
        self.record(part=explained, sound=explained)
        self.assertIn("part", self.state.crashes.book.blocks)
        crashes.record_progress(a_job(self.state, "sound"), FINISHED, now_s())
        self.record(culprit=("boot-4", "boot-5"), sound=("boot-4", "boot-5"))
        self.assertNotIn("sound", self.state.crashes.book.blocks)

    def test_without_them_it_is_blocked(self):
        explained = ("boot-1", "boot-2", "boot-3")
        self.record(part=explained, sound=explained)
        self.record(culprit=("boot-4", "boot-5"), sound=("boot-4", "boot-5"))
        self.assertIn("sound", self.state.crashes.book.blocks)


if __name__ == "__main__":
    unittest.main()
