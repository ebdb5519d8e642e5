import random
import unittest
from types import SimpleNamespace
from unittest import mock

import anyio

from cherryrudder.layers.chains import Part
from cherryrudder.node import supervision
from cherryrudder.node.supervision import Watch
from cherryrudder.replica.clock import now_s
from cherryrudder.routing.answertimes import AnswerTimes

CHAIN = (Part("e1:1", "boot-1", 0, 8), Part("e2:1", "boot-2", 8, 16))
OTHER = (CHAIN[0], Part("e3:1", "boot-3", 8, 16))


def a_stream(has_begun=True):
    """Return a stream whose chain goes over two engines."""
    labels = SimpleNamespace(labels=lambda *_: SimpleNamespace(inc=lambda: None))
    state = SimpleNamespace(metrics=SimpleNamespace(reroutes=labels))
    stream = SimpleNamespace(
        job=SimpleNamespace(state=state, leaves_s=lambda: now_s() + 60.0),
        chain=CHAIN,
        connection=object(),
        exclude=lambda *_: None,
        progressed_s=now_s(),
        has_begun=has_begun,
    )
    stream.broken = []
    stream.break_off = stream.broken.append
    return stream


class NoOtherChainTest(unittest.TestCase):
    """An engine in the middle of a chain dies, and for a moment nobody else has room.

    The first engine holds the request and waits. Broken off at once, the stream lost
    what was read of it and one of its two attempts, and waited all the same; with the
    next death it ended in the middle.
    """

    def go_on(self, stream, parts, others=lambda: False, orders=None):
        """Look after the stream while `parts` says over what chain it may go on."""
        orders = [] if orders is None else orders

        async def order(_, chain):
            orders.append(chain)
            return 200, ""

        async def play():
            with anyio.fail_after(10):
                await supervision._go_on_without(
                    stream, stream.connection, {CHAIN[1].address}
                )

        with (
            mock.patch.object(supervision, "_without", lambda *_: parts()),
            mock.patch.object(supervision, "_order", order),
            mock.patch.object(supervision, "_take"),
            mock.patch.object(supervision, "PART_POLL_S", 0.001),
            mock.patch.object(
                supervision.streamchains, "has_other_chain", lambda *_: others()
            ),
        ):
            anyio.run(play)
        return orders

    def test_it_goes_on_once_another_engine_has_room(self):
        stream, tries = a_stream(), []

        def parts():
            tries.append(1)
            return OTHER if len(tries) > 5 else None

        self.assertEqual(self.go_on(stream, parts), [OTHER])
        self.assertEqual(stream.broken, [])

    def test_it_goes_elsewhere_as_soon_as_there_is_another_whole_chain(self):
        stream, looks = a_stream(), []

        def others():
            looks.append(1)
            return len(looks) > 3

        self.assertEqual(self.go_on(stream, lambda: None, others), [])
        self.assertEqual(len(stream.broken), 1)

    def test_a_stream_without_any_event_goes_elsewhere_at_once(self):
        stream = a_stream(has_begun=False)
        self.go_on(stream, lambda: None)
        self.assertEqual(len(stream.broken), 1)

    def test_it_is_left_alone_when_its_chain_goes_on_after_all(self):
        stream, tries = a_stream(), []

        def parts():
            tries.append(1)
            if len(tries) > 3:
                stream.progressed_s += 1.0
            return None

        self.go_on(stream, parts)
        self.assertEqual(stream.broken, [])

    def test_nothing_is_done_once_the_attempt_has_ended(self):
        stream = a_stream()

        def parts():
            stream.connection = None
            return None

        self.go_on(stream, parts)
        self.assertEqual(stream.broken, [])


class DeathNewsTest(unittest.TestCase):
    """Guards against a known death that waits for the next round over all streams."""

    def test_the_news_of_a_death_brings_the_round_forward(self):
        looked = []

        async def play():
            watch = Watch(SimpleNamespace(engine_died=anyio.Event()), None, None)
            watch._find_hung = lambda _: looked.append(now_s()) or set()
            async with anyio.create_task_group() as group:
                group.start_soon(watch.run)
                await anyio.sleep(0.01)
                watch.state.engine_died.set()
                while not looked:
                    await anyio.sleep(0.001)
                group.cancel_scope.cancel()

        with mock.patch.object(supervision, "REVIEW_S", 60.0):
            anyio.run(play)
        self.assertEqual(len(looked), 1)


class SilenceTest(unittest.TestCase):
    """Guards against a death that shows too late, and against looks at sound chains."""

    def play(self, pause_s, spread_s, events=300, seed=2):
        """Return a stream after its events, and how often it seemed silent."""
        rng, now, alarms = random.Random(seed), 100.0, 0
        stream = SimpleNamespace(
            has_begun=True,
            pause_s=0.0,
            pauses=AnswerTimes(),
            silence_s=0.25,
            progressed_s=now,
        )
        for _ in range(events):
            took_s = max(0.001, rng.gauss(pause_s, spread_s))
            alarms += took_s > stream.silence_s
            now += took_s
            supervision.progressed(stream, now)
        return stream, alarms

    def test_a_steady_stream_is_silent_after_a_few_pauses(self):
        stream, alarms = self.play(0.029, 0.005)
        self.assertLess(stream.silence_s, 0.08)
        self.assertLessEqual(alarms, 1)

    def test_one_between_long_prompts_is_given_more_time(self):
        stream, alarms = self.play(0.08, 0.03)
        self.assertGreater(stream.silence_s, 0.15)
        self.assertLessEqual(alarms, 9)

    def test_an_outage_does_not_hide_the_next_one(self):
        stream, _ = self.play(0.029, 0.005)
        supervision.progressed(stream, stream.progressed_s + 1.0)
        self.assertLess(stream.silence_s, 0.15)


if __name__ == "__main__":
    unittest.main()
