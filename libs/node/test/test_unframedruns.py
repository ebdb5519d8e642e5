"""Tests of answers without a length as evidence that a request is sound."""

import unittest

from builders import an_announcement
from crashcase import ENGINES, EntryCase, a_job, a_record

from cherryrudder.node import tablesync, unframedruns
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import blame

LATER_S = 1.0


class UnframedRunTest(EntryCase):
    """Guards against holding a sound request whose answers have no length for good."""

    ENGINE = "boot-9"

    def setUp(self):
        super().setUp()
        record = a_record(*ENGINES)
        self.state.crashes.record({"bad": record, "beside": record}, now_s())
        self.hear(now_s())
        self.ended_s = now_s()
        unframedruns.add(a_job(self.state), self.ENGINE, self.ended_s)

    def hear(self, at_s, number=1):
        """Record a heartbeat of the engine that ran the request."""
        announcement = an_announcement(self.ENGINE, number, (0, 8))
        tablesync.record_heartbeat(self.state.endpoints, announcement, at_s)

    def is_held(self, at_s):
        """Return whether the request is held after the sweep at a time."""
        unframedruns.record_confirmed(self.state, at_s)
        return blame.is_held(self.state.crashes.book, "bad", at_s)

    def test_its_end_alone_shows_nothing(self):
        self.assertTrue(self.is_held(self.ended_s + LATER_S))
        self.assertEqual(len(self.state.unframed_runs), 1)

    def test_a_heartbeat_that_was_in_flight_shows_nothing(self):
        self.hear(self.ended_s + unframedruns.IN_FLIGHT_S / 2, 2)
        self.assertTrue(self.is_held(self.ended_s + LATER_S))

    def test_a_later_heartbeat_releases_the_request(self):
        self.hear(self.ended_s + LATER_S, 2)
        self.assertFalse(self.is_held(self.ended_s + LATER_S))
        self.assertEqual(self.state.unframed_runs, [])

    def test_a_run_on_an_engine_that_is_heard_no_more_is_dropped(self):
        late_s = self.ended_s + unframedruns.RETENTION_S + 1.0
        self.assertTrue(self.is_held(late_s))
        self.assertEqual(self.state.unframed_runs, [])

    def test_few_runs_are_kept(self):
        for _ in range(unframedruns.MAX_RUNS + 10):
            unframedruns.add(a_job(self.state), self.ENGINE, self.ended_s)
        self.assertEqual(len(self.state.unframed_runs), unframedruns.MAX_RUNS)


if __name__ == "__main__":
    unittest.main()
