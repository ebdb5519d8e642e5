"""Tests of the faults that need no process."""

import unittest

from builders import a_job

from cherryrudder.fakes.batching import Limits, batch_s, choose_batch
from cherryrudder.fakes.faults import EngineFaults, may_run
from cherryrudder.fakes.fields import merge


class FaultTest(unittest.TestCase):
    def test_only_long_requests_are_slowed(self):
        """An engine is four times slower past 100 tokens, for long requests only.

        Monitoring by short requests does not detect it, while callers of long ones get
        a quarter of their tokens.
        """
        short, long = a_job(1), a_job(2)
        long.position = 100
        faults = EngineFaults(slow_long_factor=4, long_tokens=100)
        ran = [
            [job.number for job in (short, long) if may_run(faults, step)(job)]
            for step in range(1, 5)
        ]
        self.assertEqual(ran, [[1], [1], [1], [1, 2]])
        self.assertTrue(may_run(EngineFaults(), 1)(long))

    def test_empty_batch_step_takes_time(self):
        limits = Limits(100.0, 4, 8)
        self.assertGreater(batch_s(choose_batch([], limits), limits), 0)

    def test_changes_of_wrong_type_or_name_are_refused(self):
        self.assertEqual(merge(EngineFaults(), {"mute": True}).mute, True)
        for changes in ({"mute": "yes"}, {"slow": 1}):
            with self.assertRaises(ValueError):
                merge(EngineFaults(), changes)
