import random
import unittest

from cherryrudder.policy import window
from cherryrudder.policy.window import Window

OBJECTIVE_S = 0.5


class Engines:
    """Engines whose work a second is bounded: each stream slows all others down."""

    def __init__(self, streams_per_s):
        self.streams_per_s = streams_per_s
        self.left = []

    def first_s(self):
        """Return how long a stream that begins now waits for its first event."""
        return 0.05 + 0.1 * len(self.left) / self.streams_per_s

    def work(self, passed_s):
        """Let all streams go on; return how many have ended."""
        count = len(self.left)
        if not count:
            return 0
        done = min(passed_s / 1.5, passed_s * self.streams_per_s / count)
        self.left = [left - done for left in self.left if left > done]
        return count - len(self.left)


class OverloadTest(unittest.TestCase):
    """A burst of twice what engines can do for three seconds, then a tenth less.

    Without a bound everything goes to the engines at once; first events are late
    during the burst and long after it. With one, streams that can't be in time are
    refused, and those that are asked after the burst are in time again.
    """

    def play(self, is_bounded):
        """Return of each second how many first events came in time, and of how many."""
        rng = random.Random(3)
        engines, own = Engines(20.0), Window()
        waiting, firsts = [], []
        seconds = [[0, 0] for _ in range(15)]
        step_s = 0.02
        for step in range(int(15 / step_s)):
            now_s = step * step_s
            rate = 40.0 if 2 <= now_s < 5 else 18.0
            if rng.random() < rate * step_s:
                waiting.append(now_s)
                seconds[int(now_s)][1] += 1
            own.running -= engines.work(step_s)
            for first in [f for f in firsts if f[0] <= now_s]:
                firsts.remove(first)
                due_s, asked_s, sent_s = first
                window.answered(own, due_s - sent_s, OBJECTIVE_S, now_s)
                seconds[int(asked_s)][0] += due_s - asked_s <= OBJECTIVE_S
            # Those that can't be in time any more are told so.
            waiting = [asked_s for asked_s in waiting if now_s - asked_s < 0.4]
            while waiting and (not is_bounded or window.is_open(own)):
                asked_s = waiting.pop(0)
                firsts.append((now_s + engines.first_s(), asked_s, now_s))
                engines.left.append(rng.uniform(0.5, 1.5))
                own.running += 1
        return seconds

    def in_time(self, seconds):
        return sum(s[0] for s in seconds) / sum(s[1] for s in seconds)

    def test_the_load_ends_with_the_burst(self):
        naive, bounded = self.play(is_bounded=False), self.play(is_bounded=True)
        self.assertGreater(self.in_time(bounded[:2]), 0.95)
        self.assertLess(self.in_time(naive[3:10]), 0.6)
        self.assertGreater(self.in_time(bounded[3:10]), self.in_time(naive[3:10]) + 0.1)
        self.assertGreater(self.in_time(bounded[7:]), 0.9)


class SizeTest(unittest.TestCase):
    def test_calm_first_events_leave_it_wide(self):
        own = Window()
        for number in range(50):
            window.answered(own, 0.05, OBJECTIVE_S, number * 0.1)
        self.assertEqual(own.size, window.MOST)

    def test_one_late_event_among_many_is_no_reason(self):
        own = Window()
        for number in range(50):
            first_s = 1.0 if number == 25 else 0.05
            window.answered(own, first_s, OBJECTIVE_S, number * 0.1)
        self.assertEqual(own.size, window.MOST)

    def test_it_never_closes_and_opens_again(self):
        own = Window()
        own.running = 20
        for number in range(200):
            window.answered(own, 2.0, OBJECTIVE_S, number * 0.1)
        self.assertEqual(own.size, window.LEAST)
        own.running = 4
        for number in range(200):
            window.answered(own, 0.05, OBJECTIVE_S, 20 + number * 0.1)
            own.running = int(own.size)
        self.assertGreater(own.size, 25)


if __name__ == "__main__":
    unittest.main()
