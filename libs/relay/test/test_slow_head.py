import asyncio
import contextlib
import time
import unittest

from builders import LIMITS, connected, in_loop, serving

# Far below the limit of the head's size within the time that is allowed here.
PIECE_INTERVAL_S = 0.05
MAX_PIECES = 60


class SlowHeadTest(unittest.TestCase):
    """Guards against a client that holds a connection by sending its head in pieces."""

    @in_loop
    async def test_the_time_for_a_head_does_not_begin_anew_with_each_piece(self):
        async def handle(exchange):
            await exchange.answer(200, [])

        async def send_slowly(peer):
            with contextlib.suppress(ConnectionError):
                peer.writer.write(b"GET / HTTP/1.1\r\nhost: h\r\nx: ")
                for _ in range(MAX_PIECES):
                    peer.writer.write(b"y")
                    await peer.writer.drain()
                    await asyncio.sleep(PIECE_INTERVAL_S)

        async with serving(handle) as address:
            peer = await connected(address)
            began_s = time.monotonic()
            sending = asyncio.create_task(send_slowly(peer))
            answer = await peer.rest()
            took_s = time.monotonic() - began_s
            sending.cancel()
            peer.close()
        self.assertIn(b" 408 ", answer)
        self.assertLess(took_s, 2 * LIMITS.header_timeout_s)


if __name__ == "__main__":
    unittest.main()
