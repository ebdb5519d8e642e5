"""Entries that engines turn away and ask to back off."""

import unittest
from types import SimpleNamespace

import anyio
from builders import a_model
from entrycase import ENGINE, OTHER, EntryCase

from cherryrudder.node import backpressure, entrystate, plainrelay, streamchains
from cherryrudder.node.job import Failed
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import suspicion


class BackoffTest(EntryCase):
    """Guards against requests to an engine that asked this machine to back off."""

    def shed(self, *engine_ids, backoff_s=3):
        for engine_id in engine_ids:
            self.hear(engine_id=engine_id, status=503, backoff_s=backoff_s)

    def test_no_stream_goes_through_it(self):
        self.shed(ENGINE)
        found = {
            engine.engine_id: engine.tokens
            for engine in entrystate.candidates(self.state, "llm", now_s())
        }
        self.assertEqual(found[ENGINE], float("inf"))
        self.assertLess(found[OTHER], float("inf"))

    def test_the_engine_that_is_named_is_left_alone_too(self):
        self.hear(status=503, backoff_s=3.0, fault_address=f"{OTHER}:80")
        self.assertFalse(self.may_begin(ENGINE))
        self.assertFalse(self.may_begin(OTHER))

    def test_a_time_to_come_back_in_a_success_is_none(self):
        self.hear(backoff_s=3)
        self.assertTrue(self.may_begin())

    def test_what_is_no_time_is_none(self):
        for backoff_s in (None, 0.0):
            self.shed(ENGINE, backoff_s=backoff_s)
        self.assertTrue(self.may_begin())

    def test_after_it_one_request_goes_alone_until_it_is_served(self):
        self.shed(ENGINE, backoff_s=0.01)
        anyio.run(anyio.sleep, 0.02)
        self.assertTrue(self.may_begin())
        backpressure.record_request(self.state, ENGINE, now_s())
        self.assertFalse(self.may_begin())
        self.hear(status=200)
        self.assertTrue(self.may_begin())

    def test_a_request_goes_to_the_endpoint_that_serves(self):
        self.shed(ENGINE)
        place = anyio.run(plainrelay._choose, self.a_job(), set())
        self.assertEqual(place.engine_id, OTHER)

    def test_when_all_back_off_a_request_is_refused_at_once_with_the_time(self):
        self.shed(ENGINE, OTHER)

        async def play():
            with anyio.fail_after(0.1):
                return await plainrelay._choose(self.a_job(), set())

        failed = anyio.run(play)
        self.assertTrue(failed.is_not_run)
        self.assertGreater(failed.retry_after_s, 2.5)

    def test_a_backoff_that_ends_in_time_is_waited_for(self):
        self.shed(ENGINE, OTHER, backoff_s=0.1)
        place = anyio.run(plainrelay._choose, self.a_job(), set())
        self.assertIn(place.engine_id, (ENGINE, OTHER))

    def test_being_turned_away_is_no_proof_of_health(self):
        for _ in range(20):
            suspicion.record_answer(self.state.suspicions, ENGINE, False, now_s())
        self.assertTrue(entrystate.is_suspect(self.state, ENGINE, now_s()))
        place = SimpleNamespace(engine_id=ENGINE)
        failed = Failed("503", is_not_run=True, is_turned_away=True)
        plainrelay._judge(self.job, place, failed)
        self.assertTrue(entrystate.is_suspect(self.state, ENGINE, now_s()))


class StreamTest(EntryCase):
    """Guards against streams that wait in vain while all first engines back off."""

    def a_stream(self, has_begun=False):
        job = self.a_job(
            end_s=now_s() + 20.0,
            patience_s=lambda: 2.0,
            leaves_s=lambda: now_s() + 2.0,
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

    def is_in_vain(self, backoff_s, **changes):
        for engine_id in (ENGINE, OTHER):
            self.hear(engine_id=engine_id, status=503, backoff_s=backoff_s)
        return streamchains._backs_off_too_long(self.a_stream(**changes), now_s())

    def test_a_long_backoff_is_not_waited_for(self):
        self.assertTrue(self.is_in_vain(3))

    def test_a_short_one_is(self):
        self.assertFalse(self.is_in_vain(0.5))

    def refusal(self):
        """Return what a stream lacks when no engine has room for it."""
        stream = self.a_stream()
        stream.job.service.model = a_model(8)
        engines = entrystate.candidates(self.state, "llm", now_s())
        return streamchains._refusal(stream, engines, now_s())

    def test_it_lacks_a_permit_only_when_no_engine_takes_it_without(self):
        self.hear(2.5, engine_id=ENGINE)
        self.assertEqual(self.refusal(), streamchains.NO_ROOM)
        self.hear(engine_id=OTHER, status=503, backoff_s=3)
        self.assertEqual(self.refusal(), streamchains.LIMITED)

    def test_it_lacks_an_engine_that_takes_anything(self):
        for engine_id in (ENGINE, OTHER):
            self.hear(engine_id=engine_id, status=503, backoff_s=3)
        self.assertEqual(self.refusal(), streamchains.BACKING_OFF)

    def test_an_answer_that_has_begun_waits(self):
        self.assertFalse(self.is_in_vain(3, has_begun=True))


if __name__ == "__main__":
    unittest.main()
