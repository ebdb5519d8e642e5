import unittest
from types import SimpleNamespace
from unittest import mock

import anyio
from builders import PipedSink, a_model, a_state, an_announcement

from cherryrudder.layers.chains import Part
from cherryrudder.node import streamchains, tablesync
from cherryrudder.node.chainscheduler import ChainSchedulers
from cherryrudder.node.ratelimiter import RateLimiter
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import suspicion
from cherryrudder.routing.backoffs import BackoffBook
from cherryrudder.routing.crashbook import CrashBook

CHAIN = (Part("e1:1", "boot-1", 0, 8), Part("e2:1", "boot-2", 8, 16))


def a_small_state():
    """Return the parts of an entry's state that count a chain's load."""
    return SimpleNamespace(
        running={},
        crashes=SimpleNamespace(book=CrashBook("boot-1")),
        tokens={},
        firsts={},
        rates=RateLimiter(),
        backoffs=BackoffBook(),
    )


def a_stream(state, group):
    """Return a stub of a stream with the fields that the choice of a chain reads."""
    route = SimpleNamespace(objective_s=0.5, gap_s=0.2, max_attempts=2)
    job = SimpleNamespace(
        state=state,
        route=route,
        service=SimpleNamespace(name="llm"),
        admitted=SimpleNamespace(account="a"),
        facts=SimpleNamespace(request_id="r1"),
        arrived_s=0.0,
        end_s=1e9,
        record_wait=lambda *_: None,
        client_timeout_s=lambda: 0.1,
        client_leaves_s=lambda: 1e9,
    )
    return SimpleNamespace(
        job=job,
        supervisor=SimpleNamespace(schedulers=ChainSchedulers(group)),
        tokens=900,
        excluded=lambda _: set(),
        has_begun=True,
        is_counted=False,
        chain=(),
        ran_engine_ids=[],
        refusal="",
        kept_chain=None,
    )


class LeavingTest(unittest.TestCase):
    """Guards against room that stays counted after its client has left.

    All engines are full, and a client disconnects just as its stream gets a chain. The
    room would be lost for all later streams of the entry.
    """

    def test_the_room_is_free_again(self):
        state = a_small_state()
        tries = []

        async def scenario():
            scope = anyio.CancelScope()

            def choose(stream):
                tries.append(stream)
                if len(tries) == 1:
                    return None
                scope.cancel()
                return CHAIN

            streamchains._choose = choose
            async with anyio.create_task_group() as group:
                stream = a_stream(state, group)
                with scope:
                    await streamchains.wait_for_chain(stream)
                group.cancel_scope.cancel()

        kept = streamchains._choose
        try:
            anyio.run(scenario)
        finally:
            streamchains._choose = kept
        self.assertEqual(len(tries), 2)
        self.assertEqual((state.running, state.tokens), ({}, {}))


class InterruptedTest(unittest.TestCase):
    """Guards against giving up an answer that has begun before its client does.

    Engines with the same range leave together, and for some time there is no whole
    chain. An answer that has begun used to end in the middle although the next chain
    came in time. A stream without any event is refused with Retry-After instead.
    """

    def chain_after(self, tries, has_begun):
        """Return what a stream gets if only a later try finds a chain."""
        tries_made = []

        def choose(stream):
            tries_made.append(stream)
            return CHAIN if len(tries_made) >= tries else None

        async def scenario():
            async with anyio.create_task_group() as group:
                state = a_small_state()
                stream = a_stream(state, group)
                stream.has_begun = has_begun
                stream.job.arrived_s = now_s()
                stream.job.end_s = now_s() + 60.0
                stream.refusal, stream.retry_after_s = "", 0.0
                chain = await streamchains.wait_for_chain(stream)
                group.cancel_scope.cancel()
                return chain

        with (
            mock.patch.object(streamchains, "_choose", choose),
            mock.patch.object(streamchains, "_log_no_chain"),
        ):
            return anyio.run(scenario)

    def test_an_answer_that_has_begun_waits_for_the_next_chain(self):
        self.assertEqual(self.chain_after(20, has_begun=True), CHAIN)

    def test_a_new_stream_is_given_up_in_time(self):
        self.assertIsNone(self.chain_after(20, has_begun=False))


class UsedUpTest(unittest.TestCase):
    """Guards against a wrong choice after parts of two chains died in one answer.

    The route allows two engines, and both first engines are alive. The answer broke off
    although either could continue it over other parts. A third engine is one more than
    operators allow; it was used when an engine that was only suspected, or about to
    leave, did not count any more.

    The log showed `retry` with `too-many`, and `ended` with `broken off` 0.1 ms later,
    while the client stayed for two seconds more.
    """

    def setUp(self):
        piped = PipedSink()
        self.addCleanup(piped.close)
        self.state = a_state(piped.sink)
        for name, layers in (
            ("first", (0, 8)),
            ("second", (0, 8)),
            ("third", (0, 8)),
            ("dead", (8, 16)),
            ("part", (8, 16)),
        ):
            announcement = an_announcement(name, layers=layers)
            tablesync.record_heartbeat(self.state.endpoints, announcement, now_s())
        self.suspect("dead")
        self.stream = a_stream(self.state, None)
        self.stream.job.service = SimpleNamespace(name="llm", model=a_model(layers=16))
        self.stream.job.facts.prompt_tokens = 800
        self.stream.ran_engine_ids = ["first", "second"]
        self.stream.refusal = ""

    def suspect(self, name):
        suspicion.record_failure(self.state.suspicions, name, now_s())

    def chosen(self):
        """Return the first engines and the other engines of many choices."""
        chains = [streamchains._choose(self.stream) for _ in range(40)]
        firsts = {chain[0].engine_id for chain in chains if chain}
        return firsts, {chain[1].engine_id for chain in chains if chain}

    def test_a_stream_continues_at_the_engines_where_it_ran(self):
        for has_begun in (True, False):
            with self.subTest(has_begun=has_begun):
                self.stream.has_begun = has_begun
                self.assertEqual(self.chosen(), ({"first", "second"}, {"part"}))

    def test_a_suspect_engine_still_counts(self):
        self.suspect("first")
        self.assertEqual(self.chosen()[0], {"second"})
        self.suspect("second")
        self.assertEqual(self.chosen()[0], set())

    def test_an_engine_that_leaves_still_counts(self):
        for name in ("first", "second"):
            announcement = an_announcement(name, 4, (0, 8), is_leaving=True)
            tablesync.record_heartbeat(self.state.endpoints, announcement, now_s())
            self.suspect(name)
        self.assertEqual(self.chosen()[0], set())

    def test_an_engine_found_alive_may_be_used_again(self):
        for name in ("first", "second"):
            self.suspect(name)
            suspicion.reinstate(self.state.suspicions, name)
        self.assertEqual(self.chosen()[0], {"first", "second"})

    def test_a_confirmed_death_allows_another_engine(self):
        suspicion.record_confirmed_death(
            self.state.suspicions, "first", now_s() + 0.001
        )
        self.assertEqual(self.chosen()[0], {"second", "third"})

    def test_a_departure_allows_another_engine(self):
        tablesync.record_departure(self.state.endpoints, "second", now_s())
        self.assertEqual(self.chosen()[0], {"first", "third"})

    def test_two_runs_at_one_engine_count_once(self):
        self.stream.ran_engine_ids = ["first", "first"]
        self.assertEqual(self.chosen()[0], {"first", "second", "third"})

    def test_the_present_run_counts_when_another_chain_is_searched(self):
        """Otherwise the stream leaves for a third engine it may not use, and waits."""
        self.stream.ran_engine_ids = ["first"]
        self.stream.chain = (Part("second:80", "second", 0, 8),)
        self.assertTrue(streamchains.has_other_chain(self.stream, {"second:80"}))
        self.assertFalse(
            streamchains.has_other_chain(self.stream, {"second:80", "first:80"})
        )


class JustStartedTest(unittest.TestCase):
    """Guards against filling the links while engines still announce themselves."""

    def chain(self, age_s, zones):
        """Return the chain of an entry of that age and the reason if there is none."""
        piped = PipedSink()
        self.addCleanup(piped.close)
        state = a_state(piped.sink)
        state.started_s = now_s() - age_s
        for number, zone in enumerate(zones):
            layers = (8 * number, 8 * number + 8)
            engine = an_announcement(f"boot-{number}", layers=layers, vm_zone=zone)
            tablesync.record_heartbeat(state.endpoints, engine, now_s())
        stream = a_stream(state, None)
        stream.job.service.model = a_model(16)
        stream.job.facts.prompt_tokens = 800
        stream.job.log_event = lambda *_, **__: None
        return streamchains._choose(stream), stream.refusal

    def test_no_chain_crosses_before_all_engines_could_announce_themselves(self):
        chain, refusal = self.chain(age_s=0.3, zones="ab")
        self.assertIsNone(chain)
        self.assertEqual(refusal, streamchains.NO_CHAIN)

    def test_a_whole_data_centre_is_used_at_once(self):
        self.assertIsNotNone(self.chain(age_s=0.3, zones="aa")[0])

    def test_layers_that_are_still_missing_are_used_from_elsewhere(self):
        self.assertIsNotNone(self.chain(age_s=2.0, zones="ab")[0])


class KeptChainTest(unittest.TestCase):
    """Guards against a second search for each stream of a dead engine."""

    def stream_with_kept_chain(self):
        """Return a stream with a kept chain, and its entry's state."""
        piped = PipedSink()
        self.addCleanup(piped.close)
        state = a_state(piped.sink)
        for name in ("boot-1", "boot-2"):
            engine = an_announcement(name, layers=(0, 16))
            tablesync.record_heartbeat(state.endpoints, engine, now_s())
        stream = a_stream(state, None)
        stream.job.service.model = a_model(16)
        stream.chain = (Part("boot-1:80", "boot-1", 0, 16),)
        self.assertTrue(streamchains.has_other_chain(stream, {"boot-1:80"}))
        return stream, state

    @mock.patch.object(streamchains, "KEPT_CHAIN_S", 60.0)
    def test_the_kept_chain_is_used(self):
        stream, _ = self.stream_with_kept_chain()
        with mock.patch.object(streamchains, "_choose", side_effect=AssertionError):
            chain = streamchains._take_chain(stream)
        self.assertEqual([part.engine_id for part in chain], ["boot-2"])
        self.assertIsNone(stream.kept_chain)

    def test_a_kept_chain_with_a_suspect_engine_is_not_used(self):
        stream, state = self.stream_with_kept_chain()
        suspicion.record_failure(state.suspicions, "boot-2", now_s())
        chain = streamchains._take_chain(stream)
        self.assertEqual([part.engine_id for part in chain], ["boot-1"])

    def test_an_expired_kept_chain_is_not_used(self):
        stream, _ = self.stream_with_kept_chain()
        stream.kept_chain = stream.kept_chain._replace(until_s=now_s() - 0.01)
        self.assertIsNone(streamchains._take_kept_chain(stream, now_s()))


if __name__ == "__main__":
    unittest.main()
