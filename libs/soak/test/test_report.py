import json
import unittest

from builders import a_disturbance, a_history, an_answer

from cherryrudder.soak import plot, report


def a_report(title="a run", *answers):
    """Return the report of a run with faults and answers over three seconds."""
    answers = answers or (
        an_answer("1", sent_s=100.0, ended_s=100.1),
        an_answer("2", sent_s=100.2, ended_s=101.2),
        an_answer("3", sent_s=101.5, ended_s=101.5, status=503, is_whole=True),
        an_answer("4", "stream", sent_s=102.5, ended_s=103.0, is_whole=False),
    )
    fault = a_disturbance("engine-dies", begins_s=101.2, ends_s=101.8)
    return report.summarise(title, a_history(*answers, disturbances=(fault,)))


class ReportTest(unittest.TestCase):
    def test_requests_are_counted_by_outcome(self):
        filings = a_report()["by_kind"]["filing"]
        counts = [filings[name] for name in ("asked", *report.OUTCOMES)]
        self.assertEqual(counts, [3, 1, 1, 0, 1, 0])
        self.assertEqual(a_report()["by_kind"]["stream"]["failed"], 1)
        self.assertAlmostEqual(filings["p50_s"], 0.55, places=2)

    def test_each_window_lists_its_active_faults(self):
        windows = a_report()["windows"]
        self.assertEqual([w["counts"]["asked"] for w in windows], [2, 1, 1])
        self.assertEqual([w["faults"] for w in windows], [[], ["engine-dies"], []])

    def test_revoked_key_counts_as_denied(self):
        denied = an_answer("1", status=401, body=b"")
        self.assertEqual(report.count([denied])["denied"], 1)

    def test_report_survives_json(self):
        found = json.loads(json.dumps(a_report()))
        self.assertEqual(found, a_report())

    def test_table_has_a_line_for_each_kind_entry_and_second(self):
        lines = report.table(a_report()).splitlines()
        self.assertEqual(len(lines), 2 + 2 + 1 + 3)
        self.assertTrue(lines[-2].endswith("engine-dies"))

    def test_compare_shows_two_runs_side_by_side(self):
        good = a_report("after", an_answer("1", sent_s=1.0, ended_s=1.1))
        (line,) = [
            line
            for line in report.compare(a_report("before"), good).splitlines()
            if line.startswith("filing")
        ]
        expected = "33.3 33.3 0.0 33.3 0.0 100.0 0.0 0.0 0.0 0.0"
        self.assertEqual(line.split()[1:], expected.split())

    def test_run_without_requests_has_a_page(self):
        empty = report.summarise("empty", a_history())
        self.assertIn("<svg", plot.page(empty))

    def test_page_shows_each_outcome_and_fault(self):
        page = plot.page(a_report("a <run>"))
        self.assertIn("a &lt;run&gt;", page)
        self.assertIn("engine-dies</text>", page)
        for name in ("in_time", "late", "refused", "failed"):
            self.assertIn(f'fill="{plot.COLOURS[name]}"', page)
