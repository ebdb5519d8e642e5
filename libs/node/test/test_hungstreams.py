"""Streams whose first engine seems to hang."""

import collections
import unittest
from types import SimpleNamespace

import anyio
from builders import (
    PipedSink,
    a_model,
    a_state,
    an_announcement,
    answering_engine,
    silent_engine,
)

from cherryrudder.layers.chains import Part
from cherryrudder.node import streamchains, supervision, tablesync
from cherryrudder.node.supervision import StreamSupervisor
from cherryrudder.policy import sharedbudget
from cherryrudder.policy.retries import Attempt, Verdict
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import hangs, suspicion

OBJECTIVE_S = 0.5
OVERDUE_S = 1.0


class HungStreamTest(unittest.TestCase):
    """Guards against taking streams away from an engine that is their best chance."""

    def setUp(self):
        piped = PipedSink()
        self.addCleanup(piped.close)
        self.piped = piped
        self.state = a_state(piped.sink)
        self.supervisor = StreamSupervisor(self.state, None, None)
        for name in ("first", "second"):
            announcement = an_announcement(name, layers=(0, 16))
            tablesync.record_heartbeat(self.state.endpoints, announcement, now_s())

    def a_stream(self, first="first", **changes):
        """Return a stub of a stream that waits at an engine."""
        job = SimpleNamespace(
            state=self.state,
            route=SimpleNamespace(max_attempts=2),
            service=SimpleNamespace(name="llm", model=a_model(layers=16)),
            facts=SimpleNamespace(prompt_tokens=800),
            left_s=lambda: 5.0,
            is_idempotent=True,
        )
        fields = {
            "job": job,
            "chain": (Part(f"{first}:80", first, 0, 16),),
            "tokens": 900,
            "has_begun": False,
            "has_head": False,
            "ran_engine_ids": [],
            "kept_chain": None,
            "next_leave_check_s": 0.0,
            "excluded": lambda _: set(),
        }
        return SimpleNamespace(**fields | changes)

    def eject(self, *engine_ids):
        for engine_id in engine_ids:
            sent_s = now_s() - OVERDUE_S
            hangs.record_sent(self.state.hangs, engine_id, "r", OBJECTIVE_S, sent_s)
            hangs.find_hanging(self.state.hangs, now_s())
            self.assertTrue(hangs.is_ejected(self.state.hangs, engine_id, now_s()))

    def must_leave(self, stream, leaving=0):
        counts = collections.Counter(llm=leaving)
        now = now_s()
        hung = self.supervisor._find_hung(now)
        is_hung = supervision._is_hung(stream, hung)
        return is_hung and supervision._can_leave(stream, counts, now)

    def retry(self):
        """Spend a retry of the entry."""
        attempt = Attempt(0, True, False, 0.1, now_s() + 9.0)
        budget = self.state.retry_budget
        verdict = sharedbudget.may_retry(budget, "llm", attempt, now_s(), False)
        self.assertEqual(verdict, Verdict.RETRY)

    def first_engines(self, stream):
        """Return the engines where the stream may begin."""
        return {chain[0].engine_id for chain in self.choose(stream)}

    def choose(self, stream):
        return [streamchains._choose(stream) for _ in range(20)]

    def test_it_leaves_for_another_engine(self):
        self.eject("first")
        self.assertTrue(self.must_leave(self.a_stream()))
        self.assertEqual(self.first_engines(self.a_stream()), {"second"})

    def test_it_stays_if_the_other_engine_is_suspect(self):
        """Guards against giving up an answer that may still come."""
        self.eject("first")
        suspicion.record_failure(self.state.suspicions, "second", now_s())
        self.assertFalse(self.must_leave(self.a_stream()))

    def test_it_stays_if_the_other_engine_hangs_as_well(self):
        self.eject("first", "second")
        self.assertFalse(self.must_leave(self.a_stream()))
        self.assertFalse(self.must_leave(self.a_stream("second")))

    def test_it_stays_if_its_route_allows_no_other_engine(self):
        self.eject("first")
        stream = self.a_stream()
        stream.job.route.max_attempts = 1
        self.assertFalse(self.must_leave(stream))

    def test_it_stays_if_no_time_is_left(self):
        self.eject("first")
        stream = self.a_stream()
        stream.job.left_s = lambda: 0.1
        self.assertFalse(self.must_leave(stream))

    def test_it_stays_while_the_entry_has_no_retries_left(self):
        """Guards against giving up an answer that may still come."""
        self.eject("first")
        budget = self.state.retry_budget
        count = 0
        while sharedbudget.has_retries(budget, "llm", count + 1, False):
            count += 1
        self.assertTrue(self.must_leave(self.a_stream(), leaving=count - 1))
        self.assertFalse(self.must_leave(self.a_stream(), leaving=count))
        for _ in range(count):
            self.retry()
        self.assertFalse(self.must_leave(self.a_stream()))

    def test_one_that_may_run_once_stays(self):
        self.eject("first")
        stream = self.a_stream()
        stream.job.is_idempotent = False
        self.assertFalse(self.must_leave(stream))

    def test_it_stays_once_its_engine_has_started_another(self):
        """Guards against a second run after the ejection has ended."""
        self.eject("first")
        hangs.record_start(self.state.hangs, "first", "r", now_s())
        self.assertFalse(self.must_leave(self.a_stream()))

    def test_engines_that_all_hang_are_used(self):
        """Guards against refusing streams for a belief about all engines."""
        self.eject("first", "second")
        self.assertEqual(self.first_engines(self.a_stream()), {"first", "second"})

    def test_the_only_engine_that_is_left_is_used_though_it_hangs(self):
        self.eject("first")
        suspicion.record_failure(self.state.suspicions, "second", now_s())
        self.assertEqual(self.first_engines(self.a_stream()), {"first"})

    def test_engines_that_are_silent_together_are_not_ejected(self):
        for engine_id in ("first", "second"):
            sent_s = now_s() - OVERDUE_S
            hangs.record_sent(self.state.hangs, engine_id, "r", OBJECTIVE_S, sent_s)
        self.assertEqual(self.supervisor._find_hung(now_s()), set())
        self.assertEqual(self.piped.text(), "")

    def find_first_hung(self, address):
        """Return what is found within a second of a request that is overdue."""
        announcement = an_announcement("first", 3, (0, 16), address=address)
        tablesync.record_heartbeat(self.state.endpoints, announcement, now_s())
        sent_s = now_s() - OVERDUE_S
        hangs.record_sent(self.state.hangs, "first", "r", OBJECTIVE_S, sent_s)

        async def scenario():
            async with anyio.create_task_group() as group:
                self.supervisor.hung.group = group
                with anyio.move_on_after(1.0):
                    while not (found := self.supervisor._find_hung(now_s())):
                        await anyio.sleep(0.01)
                group.cancel_scope.cancel()
            return found

        return anyio.run(scenario)

    def test_an_engine_that_hangs_is_asked_for_a_report_and_left(self):
        with answering_engine() as address:
            self.assertEqual(self.find_first_hung(address), {"first"})

    def test_an_engine_that_leaves_reports_unanswered_is_kept(self):
        with silent_engine() as address:
            self.assertEqual(self.find_first_hung(address), set())

    def test_an_engine_that_answers_no_report_is_kept(self):
        """Guards against a second run while the host of the engines stalls."""
        sent_s = now_s() - OVERDUE_S
        hangs.record_sent(self.state.hangs, "first", "r", OBJECTIVE_S, sent_s)
        self.supervisor.hung.record_answer("first", sent_s - 0.1)
        self.assertEqual(self.supervisor._find_hung(now_s() + 9.0), set())

    def test_the_log_names_the_evidence(self):
        sent_s = now_s() - OVERDUE_S
        hangs.record_sent(self.state.hangs, "first", "r", OBJECTIVE_S, sent_s)
        self.supervisor.hung.record_answer("first", sent_s + 0.6)
        answered_s = now_s()
        self.assertEqual(self.supervisor._find_hung(answered_s + 0.3), set())
        self.assertEqual(self.supervisor._find_hung(answered_s + 0.5), {"first"})
        line = self.piped.text()
        self.assertIn('"is_witnessed":false', line)
        self.assertIn('"silent":["first"]', line)


if __name__ == "__main__":
    unittest.main()
