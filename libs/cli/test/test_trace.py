"""Tests of the command `trace` and of the causes that it finds."""

import json
import unittest

from builders import CliTestCase, a_line, a_log_file

from cherryrudder.cli import requestlog

CHAIN = "10.2.64.13:8323=0-13,10.2.64.9:8323=13-80"


def engine_death(time_s, address="10.2.64.9:8323"):
    """Return the line that an entry logs when it detects a dead engine."""
    return a_line(time_s, "engine-dead", "stalls", address=address, why="silent")


class CauseTest(unittest.TestCase):
    def cause(self, *lines):
        return requestlog.trace(lines, "r1")

    def test_a_broken_stream_names_the_dead_engine_of_its_chain(self):
        found = self.cause(
            a_line(10.0, "sent", chain=CHAIN, engine_id="e13"),
            engine_death(10.5),
            engine_death(10.4, "10.9.9.9:1"),
            a_line(10.6, "retry", verdict="no-budget"),
            a_line(10.7, "ended", outcome="broken off: an engine of the chain died"),
        )
        self.assertEqual([line.time_s for line in found.beside], [10.5])
        self.assertIn("found dead of its chains: 10.2.64.9:8323", found.cause)
        self.assertIn("no-budget", found.cause)

    def test_a_refusal_for_lack_of_room_names_the_layer(self):
        order = a_line(9.5, "order", "layers", "front-2", "control", layers=[50, 58])
        other = a_line(9.5, "order", "layers", "front-2", "control", layers=[0, 8])
        found = self.cause(
            order,
            other,
            a_line(10.0, "no-chain", tightest_layer=53, free_tokens=0, tokens=900),
            a_line(10.0, "refused", status=503, reason="no chain"),
            a_line(10.0, "ended", outcome="refused 503"),
        )
        self.assertEqual(found.beside, [order])
        self.assertIn("layer 53", found.cause)

    def test_a_block_names_the_engines_that_crashed(self):
        ended = a_line(9.0, "engine-ended", "crashes", fingerprint="f1", engine_id="e3")
        other = a_line(9.0, "engine-ended", "crashes", fingerprint="f2", engine_id="e3")
        found = self.cause(
            ended,
            other,
            a_line(10.0, "blocked", fingerprint="f1", engine_ids=["e1", "e2", "e3"]),
            a_line(10.0, "refused", status=400, reason="it ends the engines"),
            a_line(10.0, "ended", outcome="refused 400"),
        )
        self.assertEqual(found.beside, [ended])
        self.assertIn("f1 has ended e1, e2, e3", found.cause)

    def test_an_unknown_outcome_names_the_service_that_may_have_run_the_call(self):
        found = self.cause(
            a_line(10.0, "sent", engine_id="desk-1"),
            a_line(10.2, "refused", status=502, reason="the connection was reset"),
            a_line(10.2, "ended", outcome="refused 502"),
        )
        self.assertIn("outcome unknown: sent to desk-1", found.cause)

    def test_a_refusal_for_an_unconfirmed_configuration_names_its_age(self):
        lost = a_line(8.0, "control-lost", "uplink", address="10.1.0.2:7001")
        found = self.cause(
            lost,
            a_line(
                10.0,
                "refused",
                status=503,
                reason="configuration unconfirmed",
                confirmed_age_s=4.2,
            ),
        )
        self.assertEqual(found.beside, [lost])
        self.assertIn("4.2 s before", found.cause)

    def test_a_request_whose_process_was_killed_has_no_end(self):
        self.assertEqual(
            self.cause(a_line(1.0, "sent")).cause, requestlog.NO_END_LOGGED
        )

    def test_unstructured_lines_are_ignored(self):
        for text in ("", "Traceback", "[1]", '{"time": 1}'):
            self.assertIsNone(requestlog.read_line(text))


class CommandTest(CliTestCase):
    def log(self, *lines):
        return a_log_file(lines, "not a line")

    def test_the_lines_of_a_request_are_printed_in_order_of_time(self):
        first = self.log(a_line(10.5, "ended", outcome="status 200"))
        second = self.log(a_line(10.0, "admitted"), a_line(10.1, "sent"))
        printed = self.run_tool("trace", "r1", first, second).splitlines()
        self.assertEqual(
            [line.split()[4] for line in printed[:3]], ["admitted", "sent", "ended"]
        )
        self.assertEqual(printed[-1], "status 200")

    def test_json_has_the_cause(self):
        log = self.log(a_line(10.5, "ended", outcome="status 200"))
        found = json.loads(self.run_tool("--json", "trace", "r1", log))
        self.assertEqual(found["cause"], "status 200")

    def test_an_id_that_no_line_names_is_bad_input(self):
        self.assertIn("no line", self.run_tool("trace", "r2", self.log(), expect=2))
