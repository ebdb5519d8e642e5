import asyncio
import unittest

from builders import LIMITS, connected, in_loop, serving

from cherryrudder.relay.reading import READ_AHEAD_BYTES
from cherryrudder.wire.clientshares import CONNECTION_BYTES, ClientShares

BODY_BYTES = 600_000
ROOMY = LIMITS._replace(max_body_bytes=2 * BODY_BYTES, idle_timeout_s=10.0)
HEAD = b"POST / HTTP/1.1\r\nhost: h\r\n"
LAST = HEAD + b"connection: close\r\ncontent-length: 1\r\n\r\na"
# Room for three such bodies, of which large ones may take three quarters.
LIMIT_BYTES = 3 * (BODY_BYTES + READ_AHEAD_BYTES + CONNECTION_BYTES) * 4 // 3


async def length(exchange):
    """Answer with the length of the body."""
    await exchange.answer(200, [], b"%d" % len(exchange.request.body))


async def unfinished(address):
    """Return a client that has sent a body without its last byte."""
    client = await connected(address)
    head = HEAD + b"content-length: %d\r\n\r\n" % BODY_BYTES
    client.writer.write(head + bytes(BODY_BYTES - 1))
    await client.writer.drain()
    return client


class RoomTest(unittest.TestCase):
    """Guards against clients that hold a listener's room and send no more."""

    @in_loop
    async def test_the_oldest_unfinished_body_gives_way(self):
        shares = ClientShares(LIMIT_BYTES)
        async with serving(length, ROOMY, shares=shares) as address:
            clients = []
            for _ in range(4):
                clients.append(await unfinished(address))
                await asyncio.sleep(0.05)
            refusal = await clients[0].rest()
            self.assertIn(b" 503 ", refusal)
            self.assertIn(b"retry-after", refusal)
            clients[-1].writer.write(b"a")
            answer = await clients[-1].head()
            self.assertIn(b" 200 ", answer)
            for client in clients:
                client.close()

    @in_loop
    async def test_a_small_request_is_served_beside_unfinished_bodies(self):
        shares = ClientShares(LIMIT_BYTES)
        async with serving(length, ROOMY, shares=shares) as address:
            clients = [await unfinished(address) for _ in range(8)]
            answer = await (await connected(address)).ask(LAST)
            self.assertIn(b" 200 ", answer)
            for client in clients:
                client.close()

    @in_loop
    async def test_nothing_is_held_once_all_have_left(self):
        """Guards against room that is lost with each connection."""
        shares = ClientShares(LIMIT_BYTES)
        async with serving(length, ROOMY, shares=shares) as address:
            clients = [await unfinished(address) for _ in range(8)]
            for client in clients:
                client.close()
            await (await connected(address)).ask(LAST)
            while shares.holdings:
                await asyncio.sleep(0.01)
        self.assertEqual(shares.held_bytes, 0)

    @in_loop
    async def test_a_long_answer_is_sent_as_fast_as_it_is_read(self):
        """Guards against answers that wait in memory as a whole."""
        sent_bytes = 0

        async def long_answer(exchange):
            nonlocal sent_bytes
            await exchange.begin(200, [])
            exchange.connection.is_patient = True
            for _ in range(400):
                await exchange.send(bytes(65_536))
                sent_bytes += 65_536
            await exchange.end()

        shares = ClientShares(LIMIT_BYTES)
        async with serving(long_answer, ROOMY, shares=shares) as address:
            client = await connected(address)
            client.writer.write(HEAD + b"content-length: 0\r\n\r\n")
            await client.head()
            await asyncio.sleep(0.3)
            self.assertLess(sent_bytes, 400 * 65_536)
            held_bytes = shares.held_bytes
            self.assertGreater(held_bytes, CONNECTION_BYTES)
            received = 0
            while received < 400 * 65_536:
                received += len(await client.reader.read(65_536))
            client.close()


if __name__ == "__main__":
    unittest.main()
