import unittest
from types import SimpleNamespace

from cherryrudder.node import job as jobs
from cherryrudder.node.job import Job


class StubJob(Job):
    """A request with a route and times, without an entry."""

    def __init__(self, arrived_s, end_s, objective_s=0.5, gap_s=0.2):
        self.route = SimpleNamespace(objective_s=objective_s, gap_s=gap_s)
        self.arrived_s = arrived_s
        self.end_s = end_s
        self.first_byte_s = None
        self.last_chunk_s = 0.0
        self.longest_pause_s = 0.0
        self.longest_pause_end_s = 0.0
        self.waited_s = 0.0
        self.waited_for = ""


class LeavingTest(unittest.TestCase):
    """Guards against a wrong estimate of when a stalled stream's client disconnects.

    Given up earlier, the answer ends in the middle. Held much longer, the stream takes
    room without a client.
    """

    def test_a_client_leaves_some_time_after_the_last_chunk(self):
        job = StubJob(100.0, 120.0)
        job.record_chunk(101.0)
        self.assertAlmostEqual(job.client_leaves_s(), 103.0 + jobs.LEAVE_MARGIN_S)

    def test_without_any_chunk_the_timeout_counts_from_arrival(self):
        """The answer's head arrived, and its engine died before the first event."""
        job = StubJob(100.0, 120.0)
        self.assertAlmostEqual(job.client_leaves_s(), 102.0 + jobs.LEAVE_MARGIN_S)

    def test_long_objectives_and_pauses_extend_the_timeout(self):
        self.assertEqual(StubJob(0.0, 60.0, objective_s=3.0).client_timeout_s(), 12.0)
        self.assertEqual(StubJob(0.0, 60.0, gap_s=1.0).client_timeout_s(), 8.0)

    def test_a_client_never_stays_beyond_the_request_time_limit(self):
        job = StubJob(100.0, 101.5)
        self.assertEqual(job.client_leaves_s(), 101.5)


class PauseTest(unittest.TestCase):
    def test_the_longest_pause_is_recorded_with_its_end(self):
        job = StubJob(0.0, 20.0)
        for chunk_s in (1.0, 1.1, 1.6, 1.8):
            job.record_chunk(chunk_s)
        self.assertAlmostEqual(job.longest_pause_s, 0.5)
        self.assertEqual(job.longest_pause_end_s, 1.6)

    def test_only_waits_before_the_first_event_are_recorded(self):
        job = StubJob(0.0, 20.0)
        job.record_wait(0.3, "no room")
        job.record_chunk(1.0)
        job.record_wait(0.7, "no chain")
        self.assertEqual((job.waited_s, job.waited_for), (0.3, "no room"))


if __name__ == "__main__":
    unittest.main()
