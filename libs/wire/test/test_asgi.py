"""Answers on connections that close, or before the whole request has arrived."""

import unittest

import anyio
from rawclient import a_head, raw_client, serving

BODY = b"{}"


class ClosingConnectionTest(unittest.TestCase):
    """Guards against connections that close unannounced after an answer."""

    def check_next_is_answered(self, head, status):
        """Check that a request is answered on the connection of an early refusal."""

        async def run():
            async with serving() as address, raw_client(address) as client:
                client.send(head)
                early, headers, _ = await client.answer()
                self.assertEqual(early, status)
                self.assertNotIn("connection", headers)
                client.send(BODY + a_head() + BODY)
                later, _, body = await client.answer()
                self.assertEqual((later, body), (200, b'{"bytes":2}'))

        anyio.run(run)

    def test_a_wrong_key_leaves_the_connection_in_use(self):
        self.check_next_is_answered(a_head(key="other"), 401)

    def test_an_unknown_path_leaves_the_connection_in_use(self):
        self.check_next_is_answered(a_head(path="/other"), 404)

    def check_announces_close(self, head, status, rest=b"", **options):
        """Check that an answer says that its connection closes."""

        async def run():
            async with serving(**options) as address, raw_client(address) as client:
                client.send(head)
                early, headers, _ = await client.answer()
                self.assertEqual(early, status)
                self.assertEqual(headers.get("connection"), "close")
                client.send(rest)
                self.assertTrue(await client.has_ended())

        anyio.run(run)

    def test_a_body_of_unknown_length_closes_as_announced(self):
        head = a_head("transfer-encoding: chunked", key="other")
        self.check_announces_close(head, 401, b"2\r\n{}\r\n0\r\n\r\n")

    def test_a_body_that_is_too_large_closes_as_announced(self):
        head = a_head("content-length: 40", key="other")
        self.check_announces_close(head, 401, b" " * 40, max_body_bytes=8)

    def test_answers_of_a_closing_server_announce_the_close(self):
        self.check_announces_close(a_head() + BODY, 200, is_closing=lambda: True)


if __name__ == "__main__":
    unittest.main()
