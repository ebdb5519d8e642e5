"""Entries that engines ask to back off."""

import unittest
from types import SimpleNamespace

import anyio
from builders import a_model
from entrycase import ENGINE, OTHER, EntryCase

from cherryrudder.node import backpressure, entrystate, plainrelay, streamchains
from cherryrudder.node.job import FailedAttempt
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import suspicion


class BackoffTest(EntryCase):
    """Guards against sending requests to an engine that asked to back off."""

    def back_off(self, *engine_ids, backoff_s=3):
        for engine_id in engine_ids:
            self.record_answer(engine_id=engine_id, status=503, backoff_s=backoff_s)

    def test_an_engine_in_backoff_gets_no_stream(self):
        self.back_off(ENGINE)
        found = {
            engine.engine_id: engine.tokens
            for engine in entrystate.candidates(self.state, "llm", now_s())
        }
        self.assertEqual(found[ENGINE], float("inf"))
        self.assertLess(found[OTHER], float("inf"))

    def test_the_engine_named_as_at_fault_is_in_backoff_too(self):
        self.record_answer(status=503, backoff_s=3.0, fault_address=f"{OTHER}:80")
        self.assertFalse(self.may_send(ENGINE))
        self.assertFalse(self.may_send(OTHER))

    def test_retry_after_in_a_success_starts_no_backoff(self):
        self.record_answer(backoff_s=3)
        self.assertTrue(self.may_send())

    def test_a_missing_or_zero_retry_after_starts_no_backoff(self):
        for backoff_s in (None, 0.0):
            self.back_off(ENGINE, backoff_s=backoff_s)
        self.assertTrue(self.may_send())

    def test_after_a_backoff_one_probe_request_must_succeed_first(self):
        self.back_off(ENGINE, backoff_s=0.01)
        anyio.run(anyio.sleep, 0.02)
        self.assertTrue(self.may_send())
        backpressure.record_request(self.state, ENGINE, now_s())
        self.assertFalse(self.may_send())
        self.record_answer(status=200)
        self.assertTrue(self.may_send())

    def test_a_request_goes_to_an_endpoint_without_backoff(self):
        self.back_off(ENGINE)
        endpoint = anyio.run(plainrelay._choose, self.a_job(), set())
        self.assertEqual(endpoint.engine_id, OTHER)

    def test_if_all_back_off_a_request_is_refused_at_once_with_retry_after(self):
        self.back_off(ENGINE, OTHER)

        async def scenario():
            with anyio.fail_after(0.1):
                return await plainrelay._choose(self.a_job(), set())

        failed = anyio.run(scenario)
        self.assertTrue(failed.is_not_run)
        self.assertGreater(failed.retry_after_s, 2.5)

    def test_a_request_waits_for_a_backoff_that_ends_in_time(self):
        self.back_off(ENGINE, OTHER, backoff_s=0.1)
        endpoint = anyio.run(plainrelay._choose, self.a_job(), set())
        self.assertIn(endpoint.engine_id, (ENGINE, OTHER))

    def test_a_backoff_answer_is_no_evidence_of_health(self):
        for _ in range(20):
            suspicion.record_answer(self.state.suspicions, ENGINE, False, now_s())
        self.assertTrue(entrystate.is_suspect(self.state, ENGINE, now_s()))
        endpoint = SimpleNamespace(engine_id=ENGINE)
        failed = FailedAttempt("503", is_not_run=True, is_backoff=True)
        plainrelay._record_health(self.job, endpoint, failed)
        self.assertTrue(entrystate.is_suspect(self.state, ENGINE, now_s()))


class StreamTest(EntryCase):
    """Guards against streams that wait although all first engines back off too long."""

    def a_stream(self, has_begun=False):
        job = self.a_job(
            end_s=now_s() + 20.0,
            client_timeout_s=lambda: 2.0,
            client_leaves_s=lambda: now_s() + 2.0,
            admitted=SimpleNamespace(account="a"),
            facts=SimpleNamespace(request_id="r1"),
        )
        job.route.max_attempts = 2
        return SimpleNamespace(
            job=job,
            tokens=900,
            ran_engine_ids=[],
            has_begun=has_begun,
            excluded=lambda _: set(),
        )

    def is_too_long(self, backoff_s, **changes):
        for engine_id in (ENGINE, OTHER):
            self.record_answer(engine_id=engine_id, status=503, backoff_s=backoff_s)
        return streamchains._is_backoff_too_long(self.a_stream(**changes), now_s())

    def test_a_stream_does_not_wait_for_a_long_backoff(self):
        self.assertTrue(self.is_too_long(3))

    def test_a_stream_waits_for_a_short_backoff(self):
        self.assertFalse(self.is_too_long(0.5))

    def refusal(self):
        """Return the reason for refusal of a stream that no engine has room for."""
        stream = self.a_stream()
        stream.job.service.model = a_model(8)
        engines = entrystate.candidates(self.state, "llm", now_s())
        return streamchains._refusal(stream, engines, now_s())

    def test_the_reason_is_a_limit_only_if_no_engine_is_without_limit(self):
        self.record_answer(2.5, engine_id=ENGINE)
        self.assertEqual(self.refusal(), streamchains.NO_ROOM)
        self.record_answer(engine_id=OTHER, status=503, backoff_s=3)
        self.assertEqual(self.refusal(), streamchains.LIMITED)

    def test_the_reason_is_backoff_if_all_engines_back_off(self):
        for engine_id in (ENGINE, OTHER):
            self.record_answer(engine_id=engine_id, status=503, backoff_s=3)
        self.assertEqual(self.refusal(), streamchains.BACKING_OFF)

    def test_an_answer_that_has_begun_waits_in_any_case(self):
        self.assertFalse(self.is_too_long(3, has_begun=True))


if __name__ == "__main__":
    unittest.main()
