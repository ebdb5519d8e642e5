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

CHAIN = (Part("e1:1", "boot-1", 0, 8), Part("e2:1", "boot-2", 8, 16))


def a_small_state():
    """Return what the counts of a chain need of an entry."""
    return SimpleNamespace(
        running={}, tokens={}, firsts={}, rates=RateLimiter(), backoffs=BackoffBook()
    )


def a_stream(state, group):
    """Return what the choice of a chain looks at in a stream."""
    route = SimpleNamespace(objective_s=0.5, gap_s=0.2, max_attempts=2)
    job = SimpleNamespace(
        state=state,
        route=route,
        service=SimpleNamespace(name="llm"),
        admitted=SimpleNamespace(account="a"),
        facts=SimpleNamespace(request_id="r1"),
        arrived_s=0.0,
        end_s=1e9,
        note_wait=lambda *_: None,
        patience_s=lambda: 0.1,
        leaves_s=lambda: 1e9,
    )
    return SimpleNamespace(
        job=job,
        watch=SimpleNamespace(desks=ChainSchedulers(group)),
        tokens=900,
        excluded=lambda _: set(),
        has_begun=True,
        is_counted=False,
        chain=(),
        ran_engine_ids=[],
        refusal="",
        offer=None,
    )


class LeavingTest(unittest.TestCase):
    """All engines are full; a client leaves at the moment at which its turn has come.

    Its stream is given room and ends without an attempt. The room has to be free again:
    counted as taken, it would be lost for all later streams of the entry.
    """

    def test_the_room_is_free_again(self):
        state = a_small_state()
        tries = []

        async def play():
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
            anyio.run(play)
        finally:
            streamchains._choose = kept
        self.assertEqual(len(tries), 2)
        self.assertEqual((state.running, state.tokens), ({}, {}))


class InterruptedTest(unittest.TestCase):
    """Engines that hold a range leave together; for some time no chain is whole.

    A caller has a part of its answer already and waits for the rest. Given up after a
    part of its patience, the answer ended in the middle though the next chain came in
    time; a stream without any event is told to come back instead.
    """

    def chain_after(self, tries, has_begun):
        """Return what a stream gets when there is a chain at a later try only."""
        made = []

        def choose(stream):
            made.append(stream)
            return CHAIN if len(made) >= tries else None

        async def play():
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
            mock.patch.object(streamchains, "_note_no_chain"),
        ):
            return anyio.run(play)

    def test_an_answer_that_has_begun_waits_for_the_next_chain(self):
        self.assertEqual(self.chain_after(20, has_begun=True), CHAIN)

    def test_a_new_stream_is_given_up_in_time(self):
        self.assertIsNone(self.chain_after(20, has_begun=False))


class UsedUpTest(unittest.TestCase):
    """Parts of two chains die one after the other; the route allows two engines.

    The caller's answer has begun, and both first engines live. Ended at once, it broke
    off in the middle although either of them could go on with it over other parts. On a
    third engine it would run on one more than the operators allow, which happened when
    an engine that was only suspected, or about to leave, did not count any more.

    The lines that showed it: `retry` with `too-many`, and `ended` with `broken off` 0.1
    ms later, with a client that stayed for two seconds more.
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
            told = an_announcement(name, layers=layers)
            tablesync.record_heartbeat(self.state.endpoints, told, now_s())
        self.suspect("dead")
        self.stream = a_stream(self.state, None)
        self.stream.job.service = SimpleNamespace(name="llm", model=a_model(layers=16))
        self.stream.job.facts.prompt_tokens = 800
        self.stream.ran_engine_ids = ["first", "second"]
        self.stream.refusal = ""

    def suspect(self, name):
        suspicion.record_failure(self.state.suspicions, name, now_s())

    def chosen(self):
        """Return the first engines of many choices, and the other parts."""
        chains = [streamchains._choose(self.stream) for _ in range(40)]
        firsts = {chain[0].engine_id for chain in chains if chain}
        return firsts, {chain[1].engine_id for chain in chains if chain}

    def test_it_goes_on_at_the_engines_where_it_ran(self):
        for has_begun in (True, False):
            with self.subTest(has_begun=has_begun):
                self.stream.has_begun = has_begun
                self.assertEqual(self.chosen(), ({"first", "second"}, {"part"}))

    def test_suspicion_of_an_engine_is_not_its_end(self):
        self.suspect("first")
        self.assertEqual(self.chosen()[0], {"second"})
        self.suspect("second")
        self.assertEqual(self.chosen()[0], set())

    def test_an_engine_that_leaves_has_not_ended(self):
        for name in ("first", "second"):
            told = an_announcement(name, 4, (0, 8), is_leaving=True)
            tablesync.record_heartbeat(self.state.endpoints, told, now_s())
            self.suspect(name)
        self.assertEqual(self.chosen()[0], set())

    def test_an_engine_that_lives_counts_again(self):
        for name in ("first", "second"):
            self.suspect(name)
            suspicion.reinstate(self.state.suspicions, name)
        self.assertEqual(self.chosen()[0], {"first", "second"})

    def test_a_confirmed_death_makes_room_for_another_engine(self):
        suspicion.record_confirmed_death(
            self.state.suspicions, "first", now_s() + 0.001
        )
        self.assertEqual(self.chosen()[0], {"second", "third"})

    def test_a_departure_makes_room_for_another_engine(self):
        tablesync.record_departure(self.state.endpoints, "second", now_s())
        self.assertEqual(self.chosen()[0], {"first", "third"})

    def test_two_runs_at_one_engine_count_once(self):
        self.stream.ran_engine_ids = ["first", "first"]
        self.assertEqual(self.chosen()[0], {"first", "second", "third"})

    def test_a_run_under_way_counts_when_it_is_to_be_left(self):
        """Left for a third engine that it may not use, the stream would only wait."""
        self.stream.ran_engine_ids = ["first"]
        self.stream.chain = (Part("second:80", "second", 0, 8),)
        self.assertTrue(streamchains.has_other_chain(self.stream, {"second:80"}))
        self.assertFalse(
            streamchains.has_other_chain(self.stream, {"second:80", "first:80"})
        )


class JustStartedTest(unittest.TestCase):
    """Guards against pipes that are filled while engines still announce themselves."""

    def chain(self, age_s, zones):
        """Return the chain of an entry so long after its start, if it has one."""
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
        stream.job.note = lambda *_, **__: None
        return streamchains._choose(stream), stream.refusal

    def test_no_chain_crosses_before_all_had_the_time_to_announce_themselves(self):
        chain, refusal = self.chain(age_s=0.3, zones="ab")
        self.assertIsNone(chain)
        self.assertEqual(refusal, streamchains.NO_CHAIN)

    def test_a_whole_data_centre_is_used_at_once(self):
        self.assertIsNotNone(self.chain(age_s=0.3, zones="aa")[0])

    def test_a_hole_that_is_still_there_is_bridged(self):
        self.assertIsNotNone(self.chain(age_s=2.0, zones="ab")[0])


class OfferTest(unittest.TestCase):
    """Guards against a second search for each stream of an engine that has died."""

    def offered(self):
        """Return a stream that has been found another chain, and its entry."""
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

    def test_it_goes_over_the_chain_that_was_found_for_it(self):
        stream, _ = self.offered()
        with mock.patch.object(streamchains, "_choose", side_effect=AssertionError):
            chain = streamchains._take_chain(stream)
        self.assertEqual([part.engine_id for part in chain], ["boot-2"])
        self.assertIsNone(stream.offer)

    def test_not_once_an_engine_of_it_is_thought_dead(self):
        stream, state = self.offered()
        suspicion.record_failure(state.suspicions, "boot-2", now_s())
        chain = streamchains._take_chain(stream)
        self.assertEqual([part.engine_id for part in chain], ["boot-1"])

    def test_not_when_it_is_old(self):
        stream, _ = self.offered()
        stream.offer = stream.offer._replace(until_s=now_s() - 0.01)
        self.assertIsNone(streamchains._take_offer(stream, now_s()))


if __name__ == "__main__":
    unittest.main()
