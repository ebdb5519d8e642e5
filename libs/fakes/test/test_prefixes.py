"""Tests of the prefix cache, its events and the lagging load report."""

import random
import unittest

from builders import an_engine, ask

from cherryrudder.fakes import load_report, prefixes
from cherryrudder.fakes.events import EventLog, publish, read_since
from cherryrudder.fakes.load_report import Load, LoadReport
from cherryrudder.fakes.prefixes import BLOCK_TOKENS, Block, PrefixCache


def a_prompt(blocks):
    return [f"w{n}" for n in range(blocks * BLOCK_TOKENS + 1)]


def filled(prompt):
    cache, prefix, names = PrefixCache(), "root", []
    for start in range(0, len(prompt) - 1, BLOCK_TOKENS):
        inputs = prompt[start : start + BLOCK_TOKENS]
        prefix = prefixes.next_prefix(prefix, inputs)
        prefixes.store(cache, prefix, Block((prefix,), tuple(inputs)))
        names.append(prefix)
    return cache, names


class PrefixCacheTest(unittest.TestCase):
    def test_longest_cached_prefix_is_found(self):
        cache, names = filled(a_prompt(3))
        other = a_prompt(3)
        other[-2] = "another"
        self.assertEqual(prefixes.match(cache, "root", other).prefix, names[1])
        self.assertIsNone(prefixes.match(cache, "root", ["another", *a_prompt(1)]))

    def test_the_last_input_is_left_to_compute(self):
        cache, names = filled(a_prompt(2))
        prompt = a_prompt(2)[:-1]
        self.assertEqual(prefixes.match(cache, "root", prompt).prefix, names[0])

    def test_the_end_of_a_prefix_is_evicted_before_its_start(self):
        cache, names = filled(a_prompt(3))
        prefixes.match(cache, "root", a_prompt(3))
        self.assertEqual(prefixes.shrink(cache, BLOCK_TOKENS), [names[2], names[1]])

    def test_live_requests_evict_cached_prefixes(self):
        engine = an_engine(kv_tokens=40)
        ask(engine, "r", 0, ["a"] * 33)
        self.assertEqual(len(engine.cache.blocks), 0)
        kinds = [event.kind for event in read_since(engine.events, 0, 0.0)]
        self.assertEqual(kinds, ["stored", "evicted"] * 2)


class EventLogTest(unittest.TestCase):
    def test_events_are_delayed_in_order_and_with_gaps(self):
        """Events of a log that loses a third of them come late, but in order.

        A missing number therefore always means a lost event, not one that is delayed.
        """
        log = EventLog(1.0, 0.33, random.Random(3))
        for number in range(60):
            publish(log, "stored", f"p{number}", number * 0.1)
        seen = []
        for now_s in range(9):
            since = seen[-1].number if seen else 0
            seen += read_since(log, since, float(now_s))
        self.assertEqual(read_since(log, 0, 0.4), [])
        self.assertEqual(seen, read_since(log, 0, 100.0))
        self.assertTrue(30 < len(seen) < 50, len(seen))


class LoadReportTest(unittest.TestCase):
    def test_load_is_reported_after_the_lag(self):
        report = LoadReport(2.0)
        busy = Load(3, 1, 0.5)
        load_report.record_load(report, busy, 10.0)
        load_report.record_load(report, load_report.IDLE, 11.0)
        reported = [
            load_report.read(report, now_s).running for now_s in (11.9, 12.0, 13.0)
        ]
        self.assertEqual(reported, [0, 3, 0])
