"""Tests of the attribution of late, refused and broken responses to their causes."""

import json
import unittest

from builders import CliTestCase, a_line, a_log_file

from cherryrudder.cli import losses

CHAIN = "10.2.64.13:8323=0-13,10.2.64.9:8323=13-80"
IN_TIME = {
    "outcome": "status 200",
    "total_s": 2.0,
    "first_byte_s": 0.1,
    "longest_pause_s": 0.1,
    "paused_at_s": 1.0,
    "waited_s": 0.0,
    "waited_for": "",
    "objective_s": 0.5,
    "gap_s": 0.2,
}


def request_lines(request_id="r1", *between, vm="front-1", **end):
    """Return the lines of a request that arrived at 10 s; `end` sets end fields."""
    return [
        a_line(10.0, "admitted", vm=vm, request_id=request_id, route="r", account="a"),
        a_line(10.01, "sent", vm=vm, request_id=request_id, chain=CHAIN),
        *between,
        a_line(12.0, "ended", vm=vm, request_id=request_id, **IN_TIME | end),
    ]


class CauseTest(unittest.TestCase):
    def cause(self, *between, **end):
        (loss,) = losses.attribute(request_lines("r1", *between, **end))
        return loss.cause

    def test_a_response_in_time_has_no_cause(self):
        self.assertEqual(self.cause(), losses.IN_TIME)

    def test_a_wait_for_room_explains_a_late_first_event(self):
        cause = self.cause(first_byte_s=0.8, waited_s=0.7, waited_for="no room")
        self.assertEqual(cause, "late: waited, no room")

    def test_an_engine_that_died_explains_a_late_first_event(self):
        died = a_line(10.4, "retry", reason="an engine of the chain died")
        self.assertEqual(self.cause(died, first_byte_s=0.8), "late: an engine died")

    def test_a_short_wait_does_not_explain_a_late_first_event(self):
        cause = self.cause(first_byte_s=0.8, waited_s=0.1, waited_for="no room")
        self.assertEqual(cause, "late: engines were busy")

    def test_a_pause_is_explained_by_what_happened_before_it_ended(self):
        reroute = a_line(10.9, "reroute", is_move=False)
        late = a_line(11.9, "reroute", is_move=True)
        cause = self.cause(reroute, late, longest_pause_s=0.3)
        self.assertEqual(cause, "paused: an engine died")

    def test_a_move_away_from_a_leaving_engine_explains_a_pause(self):
        move = a_line(10.9, "reroute", is_move=True)
        self.assertEqual(self.cause(move, longest_pause_s=0.3), "paused: moved away")

    def test_a_slow_engine_of_the_chain_explains_a_pause(self):
        lines = [
            a_line(9.0, "endpoint", "uplink", engine_id="e", address="10.2.64.9:8323"),
            a_line(10.8, "engine-pace", "uplink", engine_id="e", slowness=4.0),
            *request_lines("r1", longest_pause_s=0.3),
        ]
        (loss,) = losses.attribute(lines)
        self.assertEqual(loss.cause, "paused: an engine was slow")

    def test_the_cause_of_a_refusal_has_its_status_and_reason(self):
        refused = a_line(10.5, "refused", status=503, reason="no chain")
        cause = self.cause(refused, outcome="refused 503")
        self.assertEqual(cause, "refused 503: no chain")

    def test_a_request_without_an_end_is_reported_as_such(self):
        (loss,) = losses.attribute(request_lines()[:2])
        self.assertIn("no end", loss.cause)


class CommandTest(CliTestCase):
    """The command on a log with a known mix of requests to two entries."""

    def test_each_request_is_counted_once(self):
        mix = [
            *request_lines("r1"),
            *request_lines("r2", first_byte_s=0.8, waited_s=0.7, waited_for="no room"),
            *request_lines("r1", vm="front-2"),
        ]
        value = json.loads(self.run_tool("--json", "losses", a_log_file(mix)))
        self.assertEqual(
            {one["cause"]: one["requests"] for one in value["causes"]},
            {losses.IN_TIME: 2, "late: waited, no room": 1},
        )
        self.assertEqual(len(value["requests"]), 3)


if __name__ == "__main__":
    unittest.main()
