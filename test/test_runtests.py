"""The test runner accepts only those failures whose full test id is in KNOWN-RED.txt.

Guards against a new failure that is counted as known because a listed test's name is
part of the failed test's name, or because the failure names only a listed test's class.
"""

import sys
from pathlib import Path
from unittest import TestCase

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tools"))

import runtests  # noqa: E402

LISTED = "# a remark\ntest_a.LossTest.test_goes_on seen once; issue 1\nbench:b/c why\n"


class KnownRedTest(TestCase):
    def is_known(self, name):
        return runtests.parse_test_id(name) in runtests.parse_known_red(LISTED)

    def test_listed_test_is_known(self):
        self.assertTrue(self.is_known("test_goes_on (test_a.LossTest.test_goes_on)"))

    def test_subtest_of_a_listed_test_is_known(self):
        name = "test_goes_on (test_a.LossTest.test_goes_on) (count=2)"
        self.assertTrue(self.is_known(name))

    def test_test_with_a_longer_name_is_not_known(self):
        name = "test_goes_on_late (test_a.LossTest.test_goes_on_late)"
        self.assertFalse(self.is_known(name))

    def test_class_level_failure_is_not_known(self):
        self.assertFalse(self.is_known("setUpClass (test_a.LossTest)"))

    def test_early_end_of_a_test_process_is_not_known(self):
        self.assertFalse(self.is_known("a: the test process ended with code 1"))

    def test_entries_are_complete_and_comments_are_skipped(self):
        entries = runtests.parse_known_red(LISTED)
        self.assertEqual(list(entries), ["test_a.LossTest.test_goes_on", "bench:b/c"])
        self.assertIn("seen once; issue 1", entries["test_a.LossTest.test_goes_on"])
