import json
import unittest

from builders import PipedSink

from cherryrudder.node import adminapi
from cherryrudder.node.adminapi import AdminContext
from cherryrudder.node.crashtracker import CrashTracker
from cherryrudder.node.gossip import ReportedLimit
from cherryrudder.node.metrics import Metrics
from cherryrudder.routing.crashbook import Crash, RequestRecord

ENDED = tuple(Crash(f"e{n}", "a", "v1", 2, 10.0) for n in range(3))


class AdminApiTest(unittest.TestCase):
    def setUp(self):
        piped = PipedSink()
        self.addCleanup(piped.close)
        self.published = []
        metrics = Metrics()
        self.tracker = CrashTracker("boot-1", piped.sink, metrics)
        self.tracker.record({"f1": RequestRecord("acme", "llm", ENDED)}, 11.0)
        self.context = AdminContext(
            metrics, self.tracker, self.published.append, self.limits
        )

    def limits(self, now_s):
        return [ReportedLimit("e0", 2.5, now_s - 11.0)]

    def test_limits_are_listed(self):
        status, body = self.respond("GET", "/limits")
        listed = {"engine_id": "e0", "per_s": 2.5, "age_s": 1.0}
        self.assertEqual((status, json.loads(body)), (200, {"limits": [listed]}))

    def respond(self, method, path):
        status, _, body = adminapi.respond(self.context, method, path, 12.0)
        return status, body

    def test_blocks_are_listed_with_their_engines(self):
        status, body = self.respond("GET", "/blocks")
        listed = json.loads(body)["blocks"]
        self.assertEqual((status, listed[0]["fingerprint"]), (200, "f1"))
        self.assertEqual(listed[0]["engine_ids"], ["e0", "e1", "e2"])

    def test_a_lifted_block_is_published(self):
        self.assertEqual(self.respond("POST", "/blocks/lift/f1")[0], 200)
        self.assertEqual(json.loads(self.respond("GET", "/blocks")[1])["blocks"], [])
        self.assertEqual(len(self.published), 1)
        self.assertEqual(self.respond("POST", "/blocks/lift/f1")[0], 404)

    def test_metrics_count_blocks(self):
        _, text = self.respond("GET", "/metrics")
        self.assertIn(b'cherryrudder_crashes_total{event="blocked"} 1.0', text)

    def test_other_calls_are_not_found(self):
        self.assertEqual(self.respond("GET", "/blocks/lift/f1")[0], 404)
        self.assertEqual(self.respond("POST", "/metrics")[0], 404)


if __name__ == "__main__":
    unittest.main()
