"""Tests of when blocked requests are tried again, and of what is logged of runs."""

import random
import unittest

from builders import PipedSink, a_state, an_announcement
from crashcase import ENGINES, FIRST, SECOND, EntryCase, a_job, a_record

from cherryrudder.node import crashes, tablesync
from cherryrudder.node.gossip import Liveness
from cherryrudder.replica.clock import now_s


class NewVersionTest(unittest.TestCase):
    """Guards against a blocked request that all entries try on new engines at once."""

    SPREAD_S = 0.5
    MAX_TRIES = 3

    def tries(self, seed, entries=8):
        """Return how many entries send the request until all know of its next crash."""
        piped = PipedSink()
        self.addCleanup(piped.close)
        states = [a_state(piped.sink) for _ in range(entries)]
        began_s = now_s()
        for number, state in enumerate(states):
            state.entries = entries
            state.rng = random.Random(f"{seed}-{number}")
            state.crashes.record({"bad": a_record(*ENGINES)}, began_s)
            announcement = an_announcement("boot-9", 4, (0, 8), version="v2")
            tablesync.record_heartbeat(state.endpoints, announcement, began_s)
        known_s = began_s + 60.0
        tried = set()
        for tick in range(600):
            at_s = began_s + tick / 20
            if at_s > known_s:
                break
            for number, state in enumerate(states):
                # Keeps the engine present.
                sign = Liveness("boot-9", 0.0)
                tablesync.merge_liveness(state.endpoints, (sign,), at_s)
                if number not in tried and not crashes.is_blocked(a_job(state), at_s):
                    tried.add(number)
                    known_s = min(known_s, at_s + self.SPREAD_S)
        return len(tried)

    def test_few_entries_try_it_before_all_know_whether_it_crashed(self):
        tries = [self.tries(seed) for seed in range(20)]
        self.assertLessEqual(max(tries), self.MAX_TRIES)
        self.assertGreaterEqual(min(tries), 1)


class OutlivedLogTest(EntryCase):
    """Guards against lines that don't say why crashes no longer count."""

    def test_the_log_names_the_run_that_got_further(self):
        self.state.crashes.record({"bad": a_record(FIRST, SECOND)}, now_s())
        crashes.record_progress(a_job(self.state), 40, now_s())
        text = self.piped.text()
        self.assertIn('"event":"crashes-outlived"', text)
        self.assertIn('"event_number":40', text)
        self.assertIn('"crash_positions":[2,2]', text)


if __name__ == "__main__":
    unittest.main()
