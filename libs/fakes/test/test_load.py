"""Tests of the load tool: its plan, its statistics and its check of answers."""

import random
import unittest

import anyio
import httpx
from builders import MODEL, FakeEntry

from cherryrudder.fakes.load import measure
from cherryrudder.fakes.load_plan import (
    Customer,
    Shape,
    Target,
    parse_customer,
    plan_arrivals,
)
from cherryrudder.fakes.load_stats import format_report, jain_index, percentiles
from cherryrudder.fakes.sse import ServerEvent, parse

BEHAVIOURS = ("whole", "garble", "cut", "fail", "refuse")


class PlanTest(unittest.TestCase):
    def test_arrivals_follow_the_rates_and_the_seed(self):
        customers = [Customer("a", "k", 50.0), Customer("b", "k", 10.0)]
        shape = Shape((5, 20), (4,), shared_prefix_tokens=3)
        plan = plan_arrivals(customers, shape, 20.0, random.Random(4))
        again = plan_arrivals(customers, shape, 20.0, random.Random(4))
        self.assertEqual(plan, again)
        self.assertEqual([arrival.number for arrival in plan], list(range(len(plan))))
        counts = [sum(a.customer.name == name for a in plan) for name in "ab"]
        self.assertTrue(900 < counts[0] < 1100 and 150 < counts[1] < 250, counts)
        starts = {(a.customer.name, *a.prompt.split()[:3]) for a in plan}
        self.assertEqual(len(starts), 2)
        self.assertEqual({len(a.prompt.split()) for a in plan}, {8, 23})

    def test_customer_text_is_parsed_or_refused(self):
        self.assertEqual(parse_customer("a:k:5"), Customer("a", "k", 5.0))
        self.assertEqual(parse_customer("a:k:5:2:1"), Customer("a", "k", 5.0, 2.0, 1))
        for text in ("a:k", "a:k:x", "a:k:0", "a:k:1:0", "a:k:1:1:1:1"):
            with self.assertRaises(ValueError):
                parse_customer(text)


class FigureTest(unittest.TestCase):
    def test_jain_index_is_between_one_and_one_nth(self):
        self.assertEqual(jain_index([3.0, 3.0, 3.0]), 1.0)
        self.assertAlmostEqual(jain_index([9.0, 0.0, 0.0]), 1 / 3)

    def test_percentiles_keep_three_digits(self):
        points = percentiles(n / 1000 for n in range(1, 101))
        self.assertAlmostEqual(points.p50_s, 0.050, delta=0.0005)
        self.assertAlmostEqual(points.p99_s, 0.099, delta=0.0005)
        self.assertEqual(percentiles([]).max_s, 0.0)

    def test_events_are_parsed_from_lines(self):
        lines = ["data: a", "", ": note", "event: error", "data:b", "data: c", ""]
        events = [ServerEvent("message", "a"), ServerEvent("error", "b\nc")]
        self.assertEqual(list(parse(lines)), events)


class MeasureTest(unittest.TestCase):
    def measure(self, **fields):
        customers = [Customer(name, name, 100.0) for name in BEHAVIOURS]
        shape = Shape((3,), (4,))
        arrivals = plan_arrivals(customers, shape, 0.2, random.Random(2))
        self.entry = FakeEntry(3, {name: name for name in BEHAVIOURS})

        async def run():
            return await measure(
                arrivals,
                Target(("http://entry",), MODEL, 3, **fields),
                httpx.MockTransport(self.entry.answer),
            )

        self.report = anyio.run(run)
        self.assertEqual(self.report.together.sent, len(arrivals))
        return {
            figures.customer: set(figures.results) for figures in self.report.customers
        }

    def test_each_kind_of_answer_is_distinguished(self):
        """A whole text, a short one, a cut, an error and a refusal are distinguished.

        Four of them have status 200, but only the first is a correct answer.
        """
        results = self.measure(stream=True)
        self.assertEqual(
            results,
            {
                "whole": {"done"},
                "garble": {"wrong"},
                "cut": {"cut"},
                "fail": {"unknown"},
                "refuse": {"not-run"},
            },
        )
        whole = next(f for f in self.report.customers if f.customer == "whole")
        goodput = whole.goodput_tokens_per_s
        self.assertAlmostEqual(self.report.together.goodput_tokens_per_s, goodput)
        self.assertAlmostEqual(self.report.jain, 1 / 5)
        self.assertAlmostEqual(self.report.together.retry_after.p50_s, 2.0, delta=0.01)
        self.assertEqual(self.report.together.no_retry_after, 0)
        printed = format_report(self.report)
        self.assertIn("Jain's index 0.200", printed)
        self.assertRegex(printed, r"bad: .*\d+ (wrong|cut), \d+ (wrong|cut)")

    def test_whole_answers_are_checked_too(self):
        results = self.measure(stream=False)
        self.assertEqual(results["whole"], {"done"})
        self.assertEqual(results["garble"], {"wrong"})
        self.assertFalse(any(body["stream"] for body in self.entry.bodies))

    def test_each_filing_has_its_own_key(self):
        results = self.measure(service="slots")
        self.assertEqual(results["whole"], {"done"})
        self.assertEqual(results["refuse"], {"not-run"})
        self.assertEqual(len(self.entry.keys), self.report.together.sent)
