import json
import unittest
from unittest import mock

from builders import PipedSink

from cherryrudder.node import linesink


class LineSinkTest(unittest.TestCase):
    def setUp(self):
        self.pipe = PipedSink()
        self.addCleanup(self.pipe.close)

    def test_a_line_is_one_json_object(self):
        self.pipe.sink.write("request", "sent", request_id="q", chain=("a", "b"))
        line = json.loads(self.pipe.text())
        self.assertEqual((line["vm"], line["part"]), ("vm-1", "request"))
        self.assertEqual((line["event"], line["request_id"]), ("sent", "q"))

    def test_a_long_field_is_cut(self):
        """Guards against lines as long as clients choose."""
        self.pipe.sink.write("request", "sent", request_id="q" * 20_000)
        line = json.loads(self.pipe.text())
        self.assertEqual(len(line["request_id"]), linesink.MAX_TEXT_CHARACTERS)

    def test_a_field_that_json_cannot_hold_costs_the_line_alone(self):
        """Guards against a line that ends the process which writes it."""
        for value in ("\ud800", object(), 10**5000):
            with self.subTest(kind=type(value).__name__):
                self.pipe.sink.write("control", "config-refused", True, error=value)
                line = json.loads(self.pipe.text())
                self.assertEqual(line["event"], "config-refused")
                self.assertIn("Error", line["unwritable"])

    def test_kept_lines_are_written_past_the_budget(self):
        """A request fails during a flood of refusals.

        Operators need the line of the failed request, and the flood must not cost more
        than serving does.
        """
        # Within one second of the clock, which has a budget of its own.
        with mock.patch.object(linesink.time, "time", return_value=1000.0):
            for _ in range(linesink.LINES_PER_S + 100):
                self.pipe.sink.write("request", "refused")
            self.pipe.sink.write("request", "ended", True, outcome="refused 502")
        lines = self.pipe.text().splitlines()
        self.assertLessEqual(len(lines), 2 * linesink.LINES_PER_S + 1)
        self.assertIn("refused 502", lines[-1])
        self.assertGreater(self.pipe.sink.dropped, 0)

    def test_a_stopped_reader_blocks_nothing(self):
        text = "x" * 1000
        for number in range(2000):
            # Each line in a second of its own, so that only the bytes are limited.
            self.pipe.sink._second = -number
            self.pipe.sink.write("request", "sent", True, text=text)
        waiting = len(self.pipe.sink._waiting)
        self.assertLessEqual(waiting, linesink.MAX_WAITING_BYTES)
        self.assertGreater(self.pipe.sink.dropped, 0)
