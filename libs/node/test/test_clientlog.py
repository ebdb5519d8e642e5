import json
import unittest

from builders import PipedSink, a_state

from cherryrudder.node import clientlog
from cherryrudder.node.clientlog import MAX_LINES_PER_S, ClientLog
from cherryrudder.relay.errors import BadRequest, NoRoom
from cherryrudder.wire.clientshares import Bound, ClientShares, open_holding

HEADERS = [(b"request-id", b"q1"), (b"host", b"h" * 5000)]


class ClientLogTest(unittest.TestCase):
    def setUp(self):
        self.piped = PipedSink()
        self.addCleanup(self.piped.close)
        self.state = a_state(self.piped.sink)
        self.log = ClientLog(self.state)

    def lines(self):
        return [json.loads(line) for line in self.piped.text().splitlines()]

    def metrics(self):
        return self.state.metrics.render().decode()

    def test_a_refusal_names_its_bound_and_its_request(self):
        """Guards against a refused request whose bound nobody can tell."""
        headers = self.log.record_refused(NoRoom(Bound.MEMORY), HEADERS)
        (line,) = self.lines()
        self.assertEqual((line["request_id"], line["bound"]), ("q1", "memory"))
        self.assertEqual(line["status"], 503)
        self.assertIn((b"request-id", b"q1"), headers)
        self.assertIn('client_refusals_total{bound="memory"} 1.0', self.metrics())

    def test_a_flood_of_refusals_leaves_room_for_other_lines(self):
        """Guards against a crowd that fills the log."""
        for _ in range(20 * MAX_LINES_PER_S):
            self.log.record_refused(BadRequest(413, "the body is too long"), HEADERS)
        # The second may change in between.
        self.assertLessEqual(len(self.lines()), 2 * MAX_LINES_PER_S)
        self.assertIn('client_refusals_total{bound="limits"} 1000.0', self.metrics())

    def test_what_is_held_and_dropped_is_counted(self):
        shares = ClientShares()
        update = clientlog.watch(self.log, shares)
        open_holding(shares, lambda bound: None, 0.0)
        update()
        shares.on_drop(Bound.CONNECTIONS)
        text = self.metrics()
        self.assertIn("cherryrudder_client_connections 1.0", text)
        self.assertIn(f"cherryrudder_client_held_bytes {shares.held_bytes}", text)
        self.assertIn('dropped_connections_total{bound="connections"} 1.0', text)


if __name__ == "__main__":
    unittest.main()
