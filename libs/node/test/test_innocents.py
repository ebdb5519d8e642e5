"""Requests that often end well while others crash the engines that run both."""

import unittest

from builders import PipedSink, a_state, an_announcement
from crashcase import a_job, a_record

from cherryrudder.node import crashes, tablesync
from cherryrudder.node.gossip import DeathNotice
from cherryrudder.node.uplink import Uplink
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


class NewlyCutTest(unittest.TestCase):
    """Guards against forgetting the runs of a request before it was first cut."""

    # Engines that another request ended at once, and where the sound one was.
    POSITIONS = (6, 2, 12, 17)

    def setUp(self):
        piped = PipedSink()
        self.addCleanup(piped.close)
        self.state = a_state(piped.sink)
        self.uplink = Uplink(self.state, None)

    def cut(self, passed_age_s=None, passed_version="v1"):
        """Cut a request's runs on four engines; return whether it is blocked."""
        now = now_s()
        ids = [f"boot-{number}" for number in range(len(self.POSITIONS))]
        for engine_id in (*ids, "boot-9"):
            version = passed_version if engine_id == "boot-9" else "v1"
            announcement = an_announcement(engine_id, layers=(0, 8), version=version)
            tablesync.record_heartbeat(self.state.endpoints, announcement, now - 1.0)
        job = a_job(self.state, "sound")
        if passed_age_s is not None:
            crashes.record_pass(job, "boot-9", now - passed_age_s, now - passed_age_s)
        for number, (engine_id, event) in enumerate(
            zip(ids, self.POSITIONS, strict=True)
        ):
            at_s = now - 0.9 + 0.2 * number
            crashes.record_broken_run(job, engine_id, event, at_s, event, at_s)
            self.uplink._on_frames("", [DeathNotice(engine_id)])
        return "sound" in self.state.crashes.book.blocks

    def test_a_run_just_before_clears_it(self):
        self.assertFalse(self.cut(passed_age_s=1.5))

    def test_an_older_run_halves_the_crashes(self):
        self.assertFalse(self.cut(passed_age_s=60.0))

    def test_a_run_on_other_software_clears_nothing(self):
        self.assertTrue(self.cut(passed_age_s=1.5, passed_version="v0"))

    def test_without_any_it_is_blocked(self):
        self.assertTrue(self.cut())


if __name__ == "__main__":
    unittest.main()
