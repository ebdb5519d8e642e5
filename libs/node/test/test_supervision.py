import random
import unittest
from types import SimpleNamespace
from unittest import mock

import anyio

from cherryrudder.node import supervision
from cherryrudder.node.supervision import StreamSupervisor
from cherryrudder.replica.clock import now_s
from cherryrudder.routing.answertimes import AnswerTimes


class EngineDeathTest(unittest.TestCase):
    """Guards against a known death that waits for the next periodic review."""

    def test_a_death_starts_the_next_review_early(self):
        reviews = []

        async def scenario():
            supervisor = StreamSupervisor(
                SimpleNamespace(engine_died=anyio.Event()), None, None
            )
            supervisor._find_hung = lambda _: reviews.append(now_s()) or set()
            async with anyio.create_task_group() as group:
                group.start_soon(supervisor.run)
                await anyio.sleep(0.01)
                supervisor.state.engine_died.set()
                while not reviews:
                    await anyio.sleep(0.001)
                group.cancel_scope.cancel()

        with mock.patch.object(supervision, "REVIEW_INTERVAL_S", 60.0):
            anyio.run(scenario)
        self.assertEqual(len(reviews), 1)


class SilenceTest(unittest.TestCase):
    """Guards against late detection of a death, and against needless checks."""

    def run_events(self, pause_s, spread_s, events=300, seed=2):
        """Return a stream after its events, and how often it seemed silent."""
        rng, now, alarms = random.Random(seed), 100.0, 0
        stream = SimpleNamespace(
            has_begun=True,
            mean_pause_s=0.0,
            pauses=AnswerTimes(),
            silence_limit_s=0.25,
            last_progress_s=now,
        )
        for _ in range(events):
            took_s = max(0.001, rng.gauss(pause_s, spread_s))
            alarms += took_s > stream.silence_limit_s
            now += took_s
            supervision.record_progress(stream, now)
        return stream, alarms

    def test_a_steady_stream_is_silent_after_a_few_pauses(self):
        stream, alarms = self.run_events(0.029, 0.005)
        self.assertLess(stream.silence_limit_s, 0.08)
        self.assertLessEqual(alarms, 1)

    def test_a_stream_between_long_prompts_is_given_more_time(self):
        stream, alarms = self.run_events(0.08, 0.03)
        self.assertGreater(stream.silence_limit_s, 0.15)
        self.assertLessEqual(alarms, 9)

    def test_a_slow_stream_has_a_long_limit_from_its_first_pause_on(self):
        stream, alarms = self.run_events(0.25, 0.01, events=2)
        self.assertGreater(stream.silence_limit_s, 0.5)
        self.assertLessEqual(alarms, 1)

    def test_an_outage_does_not_hide_the_next_one(self):
        stream, _ = self.run_events(0.029, 0.005)
        supervision.record_progress(stream, stream.last_progress_s + 1.0)
        self.assertLess(stream.silence_limit_s, 0.15)


if __name__ == "__main__":
    unittest.main()
