"""Tests of how entries and control VMs detect requests that crash engines."""

import unittest
from types import SimpleNamespace
from unittest import mock

import anyio
from builders import PipedSink, a_control, an_announcement
from crashcase import ENGINES, FIRST, OTHER, SECOND, EntryCase, a_job, a_record

from cherryrudder.layers.chains import Part
from cherryrudder.node import (
    brokenruns,
    crashes,
    entrystate,
    reroute,
    roster,
    streamrelay,
    tablesync,
)
from cherryrudder.node.controlgossip import ControlGossip
from cherryrudder.node.crashtracker import CrashTracker
from cherryrudder.node.gossip import (
    CrashUpdate,
    DeathConfirmation,
    DeathNotice,
    EndpointState,
    Refutation,
)
from cherryrudder.node.metrics import Metrics
from cherryrudder.node.stream import Stream
from cherryrudder.relay.errors import AnswerBroken
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import blame
from cherryrudder.routing.crashbook import FINISHED


class BrokenRunTest(EntryCase):
    """Guards against counting a broken answer as the end of its engine."""

    def break_run(self, engine_id=FIRST, fingerprint="bad"):
        return crashes.record_broken_run(
            a_job(self.state, fingerprint), engine_id, 2, now_s()
        )

    def test_a_broken_answer_alone_is_not_counted(self):
        self.assertEqual(self.break_run().records, ())
        self.assertEqual(self.known(), set())

    def test_it_is_counted_once_the_engine_is_found_dead(self):
        self.break_run()
        self.break_run(SECOND)
        self.uplink._on_frames("", [DeathNotice(FIRST)])
        self.assertEqual(self.known(), {FIRST})

    def test_it_is_counted_if_the_engine_was_found_dead_before(self):
        self.uplink._on_frames("", [DeathNotice(FIRST)])
        self.assertEqual(len(self.break_run().records), 1)

    def test_it_is_counted_when_another_incarnation_is_at_the_address(self):
        address = f"{FIRST}:80"
        self.uplink._record_incarnation(an_announcement(FIRST))
        self.break_run()
        self.uplink._record_incarnation(an_announcement("boot-9", address=address))
        self.assertEqual(self.known(), {FIRST})

    def test_it_is_counted_when_only_the_end_notice_arrives(self):
        self.break_run()
        self.uplink._on_frames("", [DeathConfirmation(FIRST)])
        self.assertEqual(self.known(), {FIRST})

    def test_an_old_incarnations_end_does_not_count_for_the_new_one(self):
        gone = EndpointState(
            an_announcement("boot-0", address=f"{FIRST}:80"), 0.0, True
        )
        here = EndpointState(
            an_announcement(FIRST, number=4, layers=(0, 8)), 0.0, False
        )
        self.uplink._merge_endpoints((here, gone))
        self.break_run()
        self.assertEqual(self.known(), set())

    def test_it_is_not_counted_after_answers_to_other_requests(self):
        self.break_run()
        brokenruns.record_answer(self.state.broken, FIRST, now_s() + 0.1)
        brokenruns.record_answer(self.state.broken, FIRST, now_s() + 0.5)
        self.uplink._on_frames("", [DeathNotice(FIRST)])
        self.assertEqual(self.known(), set())

    def test_it_is_counted_although_an_answer_was_still_in_flight(self):
        self.break_run()
        brokenruns.record_answer(self.state.broken, FIRST, now_s() + 0.1)
        self.uplink._on_frames("", [DeathNotice(FIRST)])
        self.assertEqual(self.known(), {FIRST})

    def test_old_broken_runs_are_dropped(self):
        self.break_run()
        brokenruns.sweep(self.state.broken, now_s() + brokenruns.RETENTION_S + 0.1)
        self.uplink._on_frames("", [DeathNotice(FIRST)])
        self.assertEqual((self.known(), self.state.broken.runs), (set(), {}))

    def test_it_is_not_counted_if_the_engine_is_alive(self):
        self.break_run()
        self.uplink._on_frames("", [Refutation(FIRST), DeathNotice(FIRST)])
        self.assertEqual(self.known(), set())

    def test_it_is_not_counted_if_a_heartbeat_arrived_since(self):
        self.uplink._on_frames("", [DeathNotice(FIRST)])
        announcement = an_announcement(FIRST, number=4, layers=(0, 8))
        tablesync.record_heartbeat(self.state.endpoints, announcement, now_s() + 1.0)
        self.break_run()
        self.assertEqual(self.known(), set())

    def test_it_is_not_counted_if_the_engine_was_leaving(self):
        self.state.leaving_since_s[FIRST] = now_s() - 2.0
        self.break_run()
        self.uplink._on_frames("", [DeathNotice(FIRST)])
        self.assertEqual(self.known(), set())

    def test_all_requests_on_the_engine_are_recorded(self):
        for fingerprint in ("bad", "good"):
            self.break_run(fingerprint=fingerprint)
        self.uplink._on_frames("", [DeathNotice(FIRST)])
        self.assertEqual((self.known("bad"), self.known("good")), ({FIRST}, {FIRST}))

    def test_the_log_names_the_engine_and_the_request(self):
        self.break_run()
        self.uplink._on_frames("", [DeathNotice(FIRST)])
        text = self.piped.text()
        self.assertIn('"event":"engine-ended"', text)
        self.assertIn('"fingerprint":"bad"', text)


class EntryDetectsDeathTest(EntryCase):
    """Guards against uncounted ends when the entry is the first to detect them."""

    def cut(self, lost):
        """Cut a run off because the entry considers one of its engines dead."""
        chain = (Part(f"{FIRST}:80", FIRST, 0, 8), Part(f"{SECOND}:80", SECOND, 8, 16))
        job = a_job(self.state)
        job.service.model = SimpleNamespace(usual_answer_tokens=100)
        job.facts.prompt_tokens = 800
        job.facts.guessed_answer_tokens = job.facts.max_answer_tokens = 0
        job.facts.last_event = ""
        job.route = SimpleNamespace(objective_s=0.5)
        job.attempts = 0
        job.left_s = lambda: 10.0
        job.sending = lambda *_, **fields: SimpleNamespace(**fields)
        job.log_event = lambda *_, **__: None
        stalls = SimpleNamespace(uplink=self.uplink)
        stream = Stream(job, SimpleNamespace(stalls=stalls, streams=set()))
        stream.chain = chain

        async def relay(stream, connection):
            streamrelay._record_head(stream)
            await reroute.replace_lost(stream, connection, {lost})
            raise AnswerBroken("the connection was closed")

        opened = mock.AsyncMock(return_value=SimpleNamespace(close=lambda: None))
        with (
            mock.patch.object(streamrelay.attempts, "open_connection", opened),
            mock.patch.object(streamrelay.attempts, "send", mock.AsyncMock()),
            mock.patch.object(streamrelay, "_relay", relay),
            mock.patch.object(reroute, "find_replacement", lambda *_: None),
        ):
            return anyio.run(streamrelay._exchange, stream)

    def test_a_run_that_was_cut_off_for_its_dead_engine_is_counted(self):
        self.assertTrue(self.cut(f"{FIRST}:80").is_broken)
        self.uplink._on_frames("", [DeathNotice(FIRST)])
        self.assertEqual(self.known(), {FIRST})

    def test_it_is_not_counted_if_another_engine_of_the_chain_was_lost(self):
        self.assertFalse(self.cut(f"{SECOND}:80").is_broken)
        self.uplink._on_frames("", [DeathNotice(FIRST), DeathNotice(SECOND)])
        self.assertEqual(self.known(), set())


class BlockTest(EntryCase):
    def block(self, **changes):
        record = a_record(*ENGINES, **changes)
        return self.state.crashes.record({"bad": record}, now_s())

    def is_blocked(self, fingerprint="bad"):
        return crashes.is_blocked(a_job(self.state, fingerprint), now_s())

    def test_only_the_blocked_request_is_refused(self):
        self.block()
        self.assertEqual((self.is_blocked(), self.is_blocked("good")), (True, False))
        self.assertIn('"event":"blocked"', self.piped.text())

    def test_engines_of_another_version_may_run_it(self):
        """Guards against a block that outlives the fault in the engines."""
        self.state.entries = 1
        self.block()
        for engine_id in ENGINES:
            announcement = an_announcement(engine_id, 4, (0, 8), version="v2")
            tablesync.record_heartbeat(self.state.endpoints, announcement, now_s())
        self.assertFalse(self.is_blocked())

    def test_progress_past_the_crash_unblocks_it(self):
        self.block()
        update = crashes.record_progress(a_job(self.state), FINISHED, now_s())
        self.assertEqual(len(update.records), 1)
        self.assertFalse(self.is_blocked())
        self.assertIn('"event":"unblocked"', self.piped.text())

    def test_progress_of_other_requests_is_not_published(self):
        self.block()
        self.assertIsNone(
            crashes.record_progress(a_job(self.state, "good"), 80, now_s())
        )

    def test_the_block_expires(self):
        self.block(at_s=now_s() - 599.0)
        self.assertTrue(self.is_blocked())
        self.state.crashes.sweep(set(), now_s() + 2.0)
        self.assertFalse(self.is_blocked())


class ConfirmationTest(EntryCase):
    """Guards against final refusals by blocks that are lifted a moment later."""

    def confirm(self, left_s=10.0, progress_s=None):
        """Return whether a newly blocked request is refused, and after which time."""
        began_s = now_s()
        self.state.crashes.record({"bad": a_record(*ENGINES)}, now_s())
        job = a_job(self.state)
        job.left_s = lambda: left_s

        async def confirm():
            async with anyio.create_task_group() as group:
                if progress_s is not None:
                    group.start_soon(lift)
                refused = await crashes.confirm_block(job)
            return refused, now_s() - began_s

        async def lift():
            await anyio.sleep(progress_s)
            passed = {"bad": a_record(passed=FINISHED)}
            self.state.crashes.record(passed, now_s())

        return anyio.run(confirm)

    def test_a_new_block_refuses_after_its_confirmation(self):
        refused, took_s = self.confirm()
        self.assertTrue(refused)
        self.assertGreaterEqual(took_s, blame.CONFIRMATION_S)

    def test_a_request_goes_on_when_its_block_is_lifted(self):
        refused, took_s = self.confirm(progress_s=0.1)
        self.assertFalse(refused)
        self.assertLess(took_s, blame.CONFIRMATION_S)

    def test_a_request_at_its_time_limit_is_refused_at_once(self):
        refused, took_s = self.confirm(left_s=0.0)
        self.assertTrue(refused)
        self.assertLess(took_s, blame.CONFIRMATION_S)


class FaultyMessageTest(EntryCase):
    """Guards against a faulty message that crashes every process that receives it."""

    def deliver(self, reader, tracker):
        with mock.patch.object(
            tracker, "merge_records", side_effect=TypeError("fault")
        ):
            reader._on_frames("peer:1", [CrashUpdate(()), DeathNotice(FIRST)])

    def test_an_entry_handles_the_next_message(self):
        self.deliver(self.uplink, self.state.crashes)
        self.assertTrue(entrystate.is_suspect(self.state, FIRST, now_s()))

    def test_a_control_vm_handles_the_next_message(self):
        control = a_control(self.piped.sink, "10.0.0.1")
        self.deliver(ControlGossip(control, None), control.crashes)
        self.assertIn(FIRST, control.suspected_s)


class SyncTest(unittest.TestCase):
    """Guards against entries that still send requests known to crash engines."""

    def a_tracker(self, boot):
        piped = PipedSink()
        self.addCleanup(piped.close)
        return CrashTracker(boot, piped.sink, Metrics())

    def send_heartbeat(self, sender, reader):
        """Deliver a heartbeat of one process to another."""
        sync = sender.make_sync(reader.book.boot, now_s())
        return reader.merge_sync(sender.book.boot, sync, now_s()), sync

    def test_two_processes_get_the_same_blocks(self):
        one, other = self.a_tracker("one"), self.a_tracker("other")
        one.record({"bad": a_record(FIRST, SECOND)}, now_s())
        other.record({"bad": a_record(OTHER)}, now_s())
        self.send_heartbeat(one, other)
        self.send_heartbeat(other, one)
        self.assertEqual((set(one.book.blocks), set(other.book.blocks)), ({"bad"},) * 2)

    def test_acknowledged_records_are_not_sent_again(self):
        one, other = self.a_tracker("one"), self.a_tracker("other")
        one.record({"bad": a_record(FIRST)}, now_s())
        self.send_heartbeat(one, other)
        self.send_heartbeat(other, one)
        update, sync = self.send_heartbeat(one, other)
        self.assertEqual((update, sync.records), ([], ()))

    def test_a_restarted_process_is_sent_all_records(self):
        one, other = self.a_tracker("one"), self.a_tracker("other")
        one.record({"bad": a_record(*ENGINES)}, now_s())
        self.send_heartbeat(one, other)
        self.send_heartbeat(other, one)
        again = self.a_tracker("again")
        for _ in range(2):
            # It sends heartbeats from its old address.
            again.merge_sync("one", one.make_sync("other", now_s()), now_s())
            one.merge_sync("other", again.make_sync("one", now_s()), now_s())
        self.assertEqual(set(again.book.blocks), {"bad"})

    def test_a_control_vm_forwards_records_to_local_entries_at_once(self):
        piped = PipedSink()
        self.addCleanup(piped.close)
        control, sent = a_control(piped.sink, "10.0.0.1"), []

        async def scenario():
            async with anyio.create_task_group() as group:
                gossip = ControlGossip(control, group)
                gossip.links.send = lambda address, message: sent.append(address)
                for address, vm_zone in (("near:1", "a"), ("far:1", "b")):
                    heartbeat = SimpleNamespace(address=address, vm_zone=vm_zone)
                    roster.record(control.entries, address, heartbeat, now_s())
                source = self.a_tracker("one")
                for engine_ids in ((FIRST,), (FIRST, SECOND)):
                    update = source.record({"bad": a_record(*engine_ids)}, now_s())
                    gossip._on_frames("", [update])

        anyio.run(scenario)
        self.assertEqual(sent, ["near:1"])


if __name__ == "__main__":
    unittest.main()
