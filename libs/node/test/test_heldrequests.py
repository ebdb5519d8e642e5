"""Tests of an entry's part in trials of requests that engines have ended under."""

import unittest

import anyio
from crashcase import ENGINES, FIRST, SECOND, EntryCase, a_job, a_record

from cherryrudder.node import crashes, heldrequests
from cherryrudder.node.crashtracker import CrashTracker
from cherryrudder.node.metrics import Metrics
from cherryrudder.replica.clock import now_s
from cherryrudder.routing.crashbook import FINISHED, Trial

LONG_AGO_S = 5.0


class HeldCase(EntryCase):
    """A test with an entry that holds two requests for the same crashes."""

    def setUp(self):
        super().setUp()
        self.state.entries = 1
        self.hold()

    def hold(self, **changes):
        record = a_record(*ENGINES, at_s=now_s() - LONG_AGO_S, **changes)
        self.state.crashes.record({"bad": record, "beside": record}, now_s())

    def a_job(self, fingerprint="bad", left_s=10.0):
        job = a_job(self.state, fingerprint)
        job.end_s = now_s() + left_s
        job.log_event = lambda *_, **__: None
        job.client_leaves_s = lambda: now_s() + left_s
        return job

    def wait(self, has_begun=False, **fields):
        """Return whether a held request may be sent, and after which time."""
        began_s, job = now_s(), self.a_job(**fields)
        may_send = anyio.run(heldrequests.wait_for_turn, job, has_begun)
        return may_send, now_s() - began_s


class HeldRequestTest(HeldCase):
    """Guards against sends of one suspect by all entries, and final refusals of it."""

    def test_neither_is_refused_for_good(self):
        for fingerprint in ("bad", "beside"):
            self.assertFalse(crashes.is_blocked(self.a_job(fingerprint), now_s()))

    def test_its_first_turn_comes_at_once_if_the_crashes_are_old(self):
        may_send, took_s = self.wait()
        self.assertTrue(may_send)
        self.assertLess(took_s, heldrequests.PATIENCE_S)

    def test_a_second_send_waits_for_the_first_ones_result(self):
        job = self.a_job()
        update = heldrequests.begin(job, FIRST, now_s())
        self.assertEqual(job.on_trial, {"bad"})
        self.assertEqual(update.records[0].trial.engine_id, FIRST)
        self.assertFalse(heldrequests.may_send(self.a_job(), now_s()))
        may_send, took_s = self.wait()
        self.assertFalse(may_send)
        self.assertGreaterEqual(took_s, heldrequests.PATIENCE_S)

    def test_a_request_whose_next_trial_is_far_off_is_refused_at_once(self):
        crashed_s = now_s() - LONG_AGO_S
        self.hold(trial=Trial(FIRST, crashed_s - 1.0, 3))
        may_send, took_s = self.wait()
        self.assertFalse(may_send)
        self.assertLess(took_s, heldrequests.PATIENCE_S / 2)

    def test_a_refusal_promises_not_run_only_if_nothing_has_run(self):
        for has_run in (False, True):
            refusal = heldrequests.refusal(self.a_job(), has_run, now_s())
            self.assertEqual(refusal.is_not_run, not has_run)
            self.assertGreater(refusal.retry_after_s, 0.0)

    def test_a_whole_run_lets_a_waiting_request_go_on(self):
        heldrequests.begin(self.a_job(), FIRST, now_s())

        async def scenario():
            async with anyio.create_task_group() as group:
                group.start_soon(finish)
                return await heldrequests.wait_for_turn(self.a_job())

        async def finish():
            await anyio.sleep(0.1)
            crashes.record_progress(self.a_job(), FINISHED, now_s())

        self.assertTrue(anyio.run(scenario))

    def test_other_suspects_avoid_the_engine_of_a_trial(self):
        heldrequests.begin(self.a_job(), FIRST, now_s())
        busy = heldrequests.busy_engines(self.a_job("beside"), now_s())
        self.assertEqual(busy, {FIRST})
        self.assertEqual(heldrequests.busy_engines(self.a_job(), now_s()), set())

    def test_a_request_that_is_not_held_is_no_trial(self):
        job = self.a_job("good")
        self.assertIsNone(heldrequests.begin(job, SECOND, now_s()))
        self.assertEqual(job.on_trial, frozenset())

    def test_an_operator_can_release_it(self):
        self.state.crashes.lift("bad", now_s())
        self.assertTrue(heldrequests.may_send(self.a_job(), now_s()))
        self.assertNotIn("bad", self.state.crashes.book.held_until_s)

    def test_the_log_says_what_it_shares(self):
        text = self.piped.text()
        self.assertIn('"event":"held"', text)
        self.assertIn('"shared":3', text)


class TrialOnTheWireTest(HeldCase):
    """Guards against processes that don't learn of a trial, or of how it ended."""

    def test_another_process_gets_the_trial_and_its_crash(self):
        began_s = now_s()
        heldrequests.begin(self.a_job(), FIRST, began_s)
        crash = a_record(SECOND).crashes[0]._replace(engine_id="boot-9", is_trial=True)
        self.state.crashes.record({"bad": a_record()._replace(crashes=(crash,))}, 1.0)
        update = self.state.crashes.make_update(["bad"], now_s())
        other = CrashTracker("other", self.piped.sink, Metrics())
        other.merge_records(update.records, now_s())
        record = other.book.records["bad"]
        self.assertEqual(record.trial.engine_id, FIRST)
        self.assertAlmostEqual(record.trial.begun_s, began_s, delta=0.2)
        on_trial = {one.engine_id for one in record.crashes if one.is_trial}
        self.assertEqual(on_trial, {"boot-9"})


if __name__ == "__main__":
    unittest.main()
