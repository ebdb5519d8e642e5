import json

import httpx
from builders import CliTestCase

BLOCK = {
    "fingerprint": "f1",
    "account": "acme",
    "service": "llm",
    "engine_ids": ["e1", "e2", "e3"],
    "versions": ["v1"],
    "left_s": 590.0,
}
HELD = {"fingerprint": "f3", "account": "acme", "service": "llm", "left_s": 80.0}


class FakeProcess:
    """A process that refuses one request."""

    def __init__(self):
        self.blocks = [BLOCK]

    def handle(self, request):
        """Return the response to a request."""
        path = request.url.path
        if path == "/blocks":
            listed = {"blocks": self.blocks, "held": [HELD]}
            return httpx.Response(200, json=listed)
        if request.method == "POST" and path == "/blocks/lift/f1" and self.blocks:
            self.blocks = []
            return httpx.Response(200, json={})
        error = {"code": "unknown", "message": "no such block"}
        return httpx.Response(404, json={"error": error})


class BlockCommandTest(CliTestCase):
    def setUp(self):
        super().setUp()
        self.control = FakeProcess()

    def test_a_block_is_listed_and_lifted_without_a_key(self):
        printed = self.run_tool("block", "list", "127.0.0.1:9465")
        self.assertIn("e1,e2,e3", printed)
        listed = json.loads(
            self.run_tool("--json", "block", "list", "127.0.0.1:9465"),
        )
        self.assertEqual(listed["blocks"], [BLOCK])
        self.run_tool("block", "lift", "127.0.0.1:9465", "f1")
        self.assertNotIn("f1", self.run_tool("block", "list", "127.0.0.1:9465"))

    def test_a_held_request_is_listed_without_engines(self):
        """Guards against a held request that operators don't find."""
        printed = self.run_tool("block", "list", "127.0.0.1:9465")
        self.assertRegex(printed, r"f3.*on trial")

    def test_lifting_an_unknown_block_is_bad_input(self):
        printed = self.run_tool("block", "lift", "127.0.0.1:9465", "f2", expect=2)
        self.assertIn("no such block", printed)
