"""Bodies that are held for requests which haven't arrived as a whole."""

import contextlib
import unittest

import anyio
from rawclient import a_head, raw_client, serving

BODY = b"{}"
BODY_BYTES = 400_000
HELD_BYTES = 2_000_000
CLIENTS = 10


class BodyRoomTest(unittest.TestCase):
    """Guards against bodies whose sum takes a process's memory."""

    def run_beside_unfinished_bodies(self, check):
        async def run():
            options = {"max_held_bytes": HELD_BYTES, "max_body_bytes": BODY_BYTES}
            async with contextlib.AsyncExitStack() as stack:
                address = await stack.enter_async_context(serving(**options))
                clients = []
                for _ in range(CLIENTS):
                    client = await stack.enter_async_context(raw_client(address))
                    client.send(a_head(f"content-length: {BODY_BYTES}"))
                    client.send(bytes(BODY_BYTES - 1))
                    clients.append(client)
                    await anyio.sleep(0.05)
                await check(address, clients)

        anyio.run(run)

    def test_an_ordinary_request_is_answered_beside_them(self):
        async def check(address, clients):
            async with raw_client(address) as client:
                client.send(a_head() + BODY)
                status, _, _ = await client.answer()
                self.assertEqual(status, 200)

        self.run_beside_unfinished_bodies(check)

    def test_the_oldest_may_come_again(self):
        async def check(address, clients):
            status, headers, _ = await clients[0].answer()
            self.assertEqual(status, 503)
            self.assertIn("retry-after", headers)

        self.run_beside_unfinished_bodies(check)


if __name__ == "__main__":
    unittest.main()
