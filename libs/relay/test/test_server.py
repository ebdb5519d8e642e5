import asyncio
import unittest

import anyio
from builders import LIMITS, connected, in_loop, serving

GET = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"


async def echo(exchange):
    """Answer with the request's body."""
    await exchange.answer(200, [(b"x-from", b"test")], exchange.request.body)


async def cut_short(exchange):
    """Start an answer and return without ending it."""
    await exchange.begin(200, [])
    await exchange.send(b"half")


def statuses(data):
    """Return the statuses of all answers in received bytes."""
    parts = data.split(b"HTTP/1.1 ")[1:]
    return [int(part[:3]) for part in parts]


class ReadTest(unittest.TestCase):
    async def ask(self, data, handler=echo, **options):
        async with serving(handler, **options) as address:
            client = await connected(address)
            answer = await client.ask(data)
            client.close()
            return answer

    @in_loop
    async def test_bodies_with_a_length_and_in_chunks_are_read_alike(self):
        plain = b"POST / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n"
        whole = await self.ask(plain + b"content-length: 5\r\n\r\nhello")
        chunks = b"transfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"
        parts = await self.ask(plain + chunks)
        self.assertTrue(whole.endswith(b"hello"))
        self.assertTrue(parts.endswith(b"hello"))

    @in_loop
    async def test_pipelined_requests_are_answered_in_order(self):
        last = b"GET /b HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
        answer = await self.ask(GET + GET + last)
        self.assertEqual(statuses(answer), [200, 200, 200])

    @in_loop
    async def test_each_violated_limit_has_its_status(self):
        post = b"POST / HTTP/1.1\r\nhost: h\r\n"
        cases = {
            431: b"GET / HTTP/1.1\r\nhost: h\r\nx: " + b"y" * 8000 + b"\r\n\r\n",
            413: post + b"content-length: 20000\r\n\r\n",
            400: b"nonsense\r\n\r\n",
            408: b"GET / HTTP/1.1\r\nhost:",
        }
        for status, data in cases.items():
            with self.subTest(status=status):
                self.assertEqual(statuses(await self.ask(data)), [status])

    @in_loop
    async def test_an_oversized_chunked_body_is_refused(self):
        head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        chunk = b"1000\r\n" + b"x" * 4096 + b"\r\n"
        self.assertEqual(statuses(await self.ask(head + chunk * 4)), [413])

    @in_loop
    async def test_a_request_with_two_lengths_is_refused(self):
        """Guard against request smuggling.

        With two content lengths, router and engine could read different requests, and
        the engine would run one that no client sent.
        """
        data = (
            b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n"
            b"content-length: 6\r\n\r\nhello" + GET
        )
        self.assertEqual(statuses(await self.ask(data)), [400])

    @in_loop
    async def test_a_stopping_server_sends_connection_close(self):
        answer = await self.ask(GET, is_closing=lambda: True)
        self.assertIn(b"connection: close", answer.lower())


class UncertainLimitsTest(unittest.TestCase):
    """Guards against final refusals by limits that may not be those in force."""

    @in_loop
    async def test_a_request_beyond_uncertain_limits_may_come_again(self):
        limits = LIMITS._replace(retry_after_s=1.5)
        post = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 20000\r\n\r\n"
        get = b"GET / HTTP/1.1\r\nhost: h\r\nx: " + b"y" * 8000 + b"\r\n\r\n"
        for data in (post, get):
            async with serving(echo, limits=limits) as address:
                answer = await (await connected(address)).ask(data)
            self.assertEqual(statuses(answer), [503])
            self.assertIn(b"retry-after: 1.500", answer.lower())


class EndTest(unittest.TestCase):
    @in_loop
    async def test_an_answer_cut_short_does_not_look_complete(self):
        """Guard against a final chunk after an answer that its engine cut off."""
        async with serving(cut_short) as address:
            client = await connected(address)
            answer = await client.ask(GET)
        self.assertIn(b"chunked", answer)
        self.assertNotIn(b"0\r\n\r\n", answer)

    @in_loop
    async def test_a_client_that_disconnects_cancels_the_work_at_once(self):
        begun, ended = asyncio.Event(), asyncio.Event()
        exchanges = []

        async def wait(exchange):
            exchanges.append(exchange)
            begun.set()
            try:
                await anyio.sleep_forever()
            finally:
                ended.set()

        async with serving(wait) as address:
            client = await connected(address)
            client.writer.write(GET)
            await begun.wait()
            client.close()
            await asyncio.wait_for(ended.wait(), 5)
        self.assertTrue(exchanges[0].is_gone)

    @in_loop
    async def test_a_disconnect_does_not_affect_other_clients(self):
        async with serving(echo) as address:
            first, second = await connected(address), await connected(address)
            first.close()
            last = b"GET /b HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
            self.assertEqual(statuses(await second.ask(last)), [200])
