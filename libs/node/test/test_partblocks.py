"""Tests of how an entry blames parts of prompts for crashes, and clears them."""

import unittest
from types import SimpleNamespace

import anyio
from builders import PipedSink, a_state, an_announcement

from cherryrudder.node import crashes, crashsync, heldrequests, tablesync
from cherryrudder.node.crashsync import PeerPositions
from cherryrudder.node.gossip import DeathNotice
from cherryrudder.node.uplink import Uplink
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import blame
from cherryrudder.routing.crashbook import CrashBook
from cherryrudder.routing.fingerprint import part_fingerprints
from cherryrudder.routing.partpasses import MIN_PASSED_EVENTS

ENGINES = tuple(f"boot-{n}" for n in range(8))
SHARED, DEADLY, NEW = "5c1e07a2", "dead0001", "0e10aded"


class PartCase(unittest.TestCase):
    def setUp(self):
        piped = PipedSink()
        self.addCleanup(piped.close)
        self.state = a_state(piped.sink)
        self.uplink = Uplink(self.state, None)
        self.announce(ENGINES, "v1", 1)
        self.requests = 0
        self.crashed = 0

    def announce(self, engine_ids, version, number):
        for engine_id in engine_ids:
            announcement = an_announcement(engine_id, number, (0, 8), version=version)
            tablesync.record_heartbeat(
                self.state.endpoints, announcement, now_s() - 0.1
            )

    def a_job(self, *part_ids, account="acme"):
        """Return a request that is like no other but for its parts."""
        self.requests += 1
        return SimpleNamespace(
            state=self.state,
            fingerprint=f"{self.requests:024x}",
            facts=SimpleNamespace(request_id=f"r{self.requests}"),
            admitted=SimpleNamespace(account=account),
            service=SimpleNamespace(name="llm"),
            parts=part_fingerprints(account, "llm", part_ids),
            on_trial=frozenset(),
        )

    def crash(self, job, events=0):
        """Crash the next engine under a request, half a second after the one before."""
        engine_id = ENGINES[self.crashed]
        self.crashed += 1
        at_s = now_s() - 5.0 + 0.5 * self.crashed
        crashes.record_broken_run(job, engine_id, events, at_s, events, at_s)
        self.uplink._on_frames("", [DeathNotice(engine_id)])

    def crash_thrice(self, *part_ids, accounts=("acme", "acme", "acme")):
        for account in accounts:
            self.crash(self.a_job(*part_ids, account=account))

    def is_blocked(self, *part_ids, account="acme"):
        return crashes.is_blocked(self.a_job(*part_ids, account=account), now_s())

    def get_through(self, *part_ids, begun_s=None):
        begun_s = now_s() if begun_s is None else begun_s
        job = self.a_job(*part_ids)
        return crashes.record_pass(job, ENGINES[-1], begun_s, now_s())


class BlameTest(PartCase):
    """Guards against blame that knows whole requests only."""

    def test_unlike_requests_with_the_part_are_refused(self):
        self.get_through(SHARED)
        self.crash_thrice(SHARED, DEADLY)
        self.assertTrue(self.is_blocked(DEADLY))
        self.assertTrue(self.is_blocked(NEW, DEADLY, SHARED))
        self.assertFalse(self.is_blocked(SHARED))

    def test_two_crashes_do_not_suffice(self):
        self.crash(self.a_job(DEADLY))
        self.crash(self.a_job(DEADLY))
        self.assertFalse(self.is_blocked(DEADLY))

    def test_a_request_that_came_three_times_is_blocked_without_its_parts(self):
        job = self.a_job(SHARED, NEW)
        for _ in range(3):
            self.crash(job)
        self.assertTrue(crashes.is_blocked(job, now_s()))
        self.assertFalse(self.is_blocked(SHARED, NEW))

    def test_parts_only_seen_together_are_blocked_only_together(self):
        self.crash_thrice(DEADLY, NEW)
        self.assertTrue(self.is_blocked(DEADLY, NEW))
        self.assertFalse(self.is_blocked(NEW))
        self.crash(self.a_job(DEADLY))
        self.assertTrue(self.is_blocked(DEADLY))
        self.assertFalse(self.is_blocked(NEW))


class AccountTest(PartCase):
    """Guards against an account that gets another's prompts refused."""

    def test_crashes_of_one_account_block_no_other(self):
        self.crash_thrice(DEADLY)
        self.assertTrue(self.is_blocked(DEADLY))
        self.assertFalse(self.is_blocked(DEADLY, account="zoo"))

    def test_crashes_of_several_accounts_block_all(self):
        self.crash_thrice(DEADLY, accounts=("acme", "zoo", "acme"))
        self.assertTrue(self.is_blocked(DEADLY, account="other"))

    def test_a_part_that_others_get_through_is_blocked_for_one_account(self):
        job = self.a_job(DEADLY, account="zoo")
        crashes.record_pass(job, ENGINES[-1], now_s(), now_s())
        self.crash_thrice(DEADLY)
        self.assertTrue(self.is_blocked(DEADLY))
        self.assertFalse(self.is_blocked(DEADLY, account="zoo"))


class InnocenceTest(PartCase):
    """Guards against refusing sound requests that share parts with culprits."""

    def test_a_cut_run_that_was_past_the_start_clears_its_parts(self):
        for _ in range(4):
            sound = self.a_job(SHARED)
            self.crash(sound, events=MIN_PASSED_EVENTS)
        self.assertFalse(self.is_blocked(SHARED))

    def test_a_later_run_clears_a_part(self):
        self.crash_thrice(SHARED)
        self.assertTrue(self.is_blocked(SHARED))
        update = self.get_through(SHARED, begun_s=now_s() + 0.1)
        self.assertTrue(update.records)
        self.assertFalse(self.is_blocked(SHARED))

    def test_an_old_run_halves_the_crashes(self):
        self.get_through(SHARED, begun_s=now_s() - 60.0)
        self.crash_thrice(SHARED)
        self.assertFalse(self.is_blocked(SHARED))
        self.crash_thrice(SHARED)
        self.assertTrue(self.is_blocked(SHARED))

    def test_runs_of_other_software_clear_nothing(self):
        self.get_through(SHARED)
        self.announce(ENGINES[:3], "v2", 2)
        self.crash_thrice(SHARED)
        self.assertTrue(self.is_blocked(SHARED))


class AnswerTest(PartCase):
    """Guards against telling a client that its request is wrong, for a part of it."""

    def setUp(self):
        super().setUp()
        self.state.entries = 1

    def a_client_job(self, *part_ids):
        job = self.a_job(*part_ids)
        job.end_s = now_s() + 10.0
        job.left_s = lambda: 10.0
        job.log_event = lambda *_, **__: None
        return job

    def crash_midway(self, *part_ids):
        for event in (6, 9, 12):
            self.crash(self.a_job(*part_ids), events=event)

    def test_a_blocked_part_is_no_final_refusal(self):
        self.crash_thrice(DEADLY)
        job = self.a_client_job(DEADLY)
        self.assertTrue(crashes.is_blocked(job, now_s()))
        self.assertFalse(anyio.run(crashes.confirm_block, job))
        self.assertFalse(anyio.run(heldrequests.wait_for_turn, job))
        refusal = heldrequests.refusal(job, False, now_s())
        self.assertTrue(refusal.is_not_run)
        self.assertEqual(refusal.retry_after_s, heldrequests.MAX_RETRY_AFTER_S)

    def test_requests_with_a_held_part_run_one_at_a_time(self):
        self.crash_midway(SHARED)
        one, other = self.a_client_job(SHARED), self.a_client_job(SHARED)
        self.assertTrue(heldrequests.may_send(one, now_s()))
        update = heldrequests.begin(one, ENGINES[-1], now_s())
        self.assertTrue(update.records)
        self.assertFalse(heldrequests.may_send(other, now_s()))
        self.assertTrue(heldrequests.may_send(self.a_client_job(NEW), now_s()))
        self.get_through(SHARED)
        self.assertTrue(heldrequests.may_send(other, now_s()))

    def test_the_rest_of_an_answer_takes_no_turn_of_a_part(self):
        self.crash_midway(SHARED)
        job = self.a_client_job(SHARED)
        self.assertFalse(heldrequests.may_send(job, now_s(), is_resumed=True))
        self.assertTrue(heldrequests.may_send(job, now_s()))

    def test_a_trial_that_its_engine_refused_is_over_for_all(self):
        self.crash_midway(SHARED)
        one, other = self.a_client_job(SHARED), self.a_client_job(SHARED)
        heldrequests.begin(one, ENGINES[-1], now_s())
        update = heldrequests.end(one, now_s())
        self.assertTrue(all(record.trial.is_over for record in update.records))
        self.assertTrue(heldrequests.may_send(other, now_s()))


class OperatorTest(PartCase):
    """Guards against blocks that an operator's lift only moves to a like part."""

    def test_a_part_is_listed_and_lifted_by_its_id(self):
        self.crash_thrice(DEADLY, NEW, accounts=("acme", "zoo", "acme"))
        tracker = self.state.crashes
        (block,) = tracker.dump(now_s())["blocks"]
        self.assertIn(block["part"], (DEADLY, NEW))
        self.assertTrue(tracker.lift(block["part"], now_s()).records)
        self.assertFalse(self.is_blocked(DEADLY, NEW))
        self.assertEqual(tracker.dump(now_s())["blocks"], [])

    def test_an_empty_name_lifts_nothing(self):
        job = self.a_job()
        for _ in range(3):
            self.crash(job)
        self.assertEqual(self.state.crashes.lift("", now_s()).records, ())
        self.assertTrue(crashes.is_blocked(job, now_s()))


class SyncTest(PartCase):
    """Guards against entries that disagree on which parts are blocked."""

    def test_another_process_gets_the_same_block(self):
        self.get_through(SHARED)
        self.crash_thrice(SHARED, DEADLY, NEW)
        book, other = self.state.crashes.book, CrashBook("other")
        sync = crashsync.make_sync(book, PeerPositions(), "peer", now_s())
        crashsync.merge_sync(other, PeerPositions(), "peer", sync, now_s())
        blame.update_blocks(other, now_s())
        self.assertEqual(set(other.blocks), set(book.blocks))
        for fingerprint, block in book.blocks.items():
            self.assertEqual(other.blocks[fingerprint].companions, block.companions)


if __name__ == "__main__":
    unittest.main()
