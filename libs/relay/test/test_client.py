import asyncio
import socket
import time
import unittest

import anyio
from builders import a_reset, an_end, free_address, in_loop, scripted_engine

from cherryrudder.relay import pool
from cherryrudder.relay.client import open_connection
from cherryrudder.relay.errors import (
    AnswerBroken,
    AnswerLate,
    ConnectFailed,
    RelayError,
)
from cherryrudder.relay.pool import Pool

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
# More than the buffers of loopback take.
LONG = b"x" * 30_000_000
HEADERS = [(b"host", b"h")]


def block_event_loop(wait_s):
    """Block the event loop, as a process that waits for CPU time."""
    time.sleep(wait_s)


async def ask(connection, timeout_s=2.0):
    """Send a request and return the answer's status and whole body."""
    await connection.send(b"GET", b"/", HEADERS, b"")
    head = await connection.read_head(timeout_s)
    body = b""
    while (data := await connection.read()) is not None:
        body += data
    return head.status, body


class AnswerTest(unittest.TestCase):
    async def ask(self, *answers):
        async with scripted_engine(*answers) as (address, _):
            connection = await open_connection(address, 1.0, 0.0)
            try:
                return await ask(connection)
            finally:
                connection.close()

    @in_loop
    async def test_answers_of_each_framing_are_read_whole(self):
        chunked = CHUNKED + b"2\r\nok\r\n0\r\n\r\n"
        self.assertEqual(await self.ask(OK), (200, b"ok"))
        self.assertEqual(await self.ask(chunked), (200, b"ok"))
        unframed = an_end(b"HTTP/1.1 200 OK\r\n\r\nok")
        self.assertEqual(await self.ask(unframed), (200, b"ok"))

    async def check_broken(self, end, heads):
        """Check that no head is an answer that is cut at any byte."""
        cuts = [head[:count] for head in heads for count in range(len(head))]
        async with scripted_engine(*map(end, cuts)) as (address, _):
            for cut in cuts:
                connection = await open_connection(address, 1.0, 0.0)
                with self.subTest(cut=cut), self.assertRaises(AnswerBroken):
                    await ask(connection)
                connection.close()

    @in_loop
    async def test_a_head_cut_at_any_byte_is_never_an_answer(self):
        """Guards against an empty 200 for an engine that stops inside its head."""
        plain = b"HTTP/1.1 200 OK\r\nserver: s\r\n"
        interim = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
        ends = (
            b"content-length: 2\r\n\r\n",
            b"transfer-encoding: chunked\r\n\r\n",
            b"\r\n",
        )
        await self.check_broken(an_end, [plain + end for end in ends])
        await self.check_broken(an_end, [interim + plain + end for end in ends])

    @in_loop
    async def test_a_head_cut_by_a_reset_is_never_an_answer(self):
        """Guards against an empty 200 for an engine that crashes inside its head."""
        head = b"HTTP/1.1 200 OK\r\nserver: s\r\n\r\n"
        await self.check_broken(a_reset, [head])

    @in_loop
    async def test_a_body_that_stops_is_late(self):
        """Guards against waiting without end for the rest of an answer."""
        started = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"
        async with scripted_engine(started) as (address, _):
            connection = await open_connection(address, 1.0, 0.0)
            await connection.send(b"GET", b"/", HEADERS, b"")
            await connection.read_head(2.0)
            self.assertEqual(await connection.read_in_time(2.0), b"ok")
            with self.assertRaises(AnswerLate):
                await connection.read_in_time(0.1)
            connection.close()

    @in_loop
    async def test_a_request_that_is_not_taken_is_late(self):
        """Guards against waiting without end for an engine that stops reading."""
        with socket.create_server(("127.0.0.1", 0)) as silent:
            address = f"127.0.0.1:{silent.getsockname()[1]}"
            connection = await open_connection(address, 1.0, 0.0)
            headers = [*HEADERS, (b"content-length", b"%d" % len(LONG))]
            with self.assertRaises(AnswerLate):
                await connection.send(b"POST", b"/", headers, LONG, 0.1)
            connection.close()

    @in_loop
    async def test_truncated_answers_are_never_complete(self):
        """Guard against taking the end of a connection for the end of the answer.

        An engine dies inside its answer, in each way that the connection may end.
        """
        cut = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"
        for answer in (
            an_end(cut),
            a_reset(cut),
            an_end(CHUNKED + b"2\r\nok\r\n"),
            a_reset(b"HTTP/1.1 200 OK\r\n\r\nok"),
            an_end(b"HTTP/1.1 200"),
            b"this is no answer\r\n\r\n",
        ):
            with self.subTest(answer=answer), self.assertRaises(AnswerBroken):
                await self.ask(answer)

    @in_loop
    async def test_a_status_of_no_class_is_no_answer(self):
        """Guards against passing on a status that HTTP doesn't have."""
        words = (
            *(b"000", b"001", b"099", b"600", b"700", b"999"),
            *(b"0", b"20", b"2000", b"-200", b"+20", b"2e2", b"OK", b""),
        )
        for word in words:
            answer = OK.replace(b"200", word)
            for answers in ([answer], [b"HTTP/1.1 103 Hints\r\n\r\n" + answer]):
                with self.subTest(answers=answers), self.assertRaises(AnswerBroken):
                    await self.ask(*answers)
        for status in (100, 199):
            answer = OK.replace(b"200", b"%d" % status)
            with self.subTest(status=status), self.assertRaises(RelayError):
                await self.ask(answer)
        for status in (200, 299, 404, 500, 599):
            answer = OK.replace(b"200", b"%d" % status)
            self.assertEqual(await self.ask(answer), (status, b"ok"))

    @in_loop
    async def test_a_missing_answer_times_out(self):
        async with scripted_engine(b"") as (address, _):
            connection = await open_connection(address, 1.0, 0.0)
            with self.assertRaises(AnswerLate):
                await ask(connection, 0.1)
            connection.close()

    @in_loop
    async def test_the_time_for_an_answer_ends_by_the_clock(self):
        """Guards against a caller's deadline that passes while this process starves."""
        timeout_s, blocked_s = 0.5, 0.05

        async def starve():
            while True:
                block_event_loop(blocked_s)
                await anyio.sleep(0)

        async with scripted_engine(b"") as (address, _):
            connection = await open_connection(address, 1.0, 0.0)
            async with anyio.create_task_group() as group:
                group.start_soon(starve)
                began_s = time.monotonic()
                with self.assertRaises(AnswerLate):
                    await connection.read_head(timeout_s)
                took_s = time.monotonic() - began_s
                group.cancel_scope.cancel()
            connection.close()
        self.assertLess(took_s, 2 * timeout_s)

    @in_loop
    async def test_connecting_fails_when_nobody_listens(self):
        with self.assertRaises(ConnectFailed):
            await open_connection(free_address(), 1.0, 0.0)


class ReuseTest(unittest.TestCase):
    """Guard against reusing a connection with unread bytes or one that has closed.

    The next client on it would get the answer to another request, or none.
    """

    @in_loop
    async def test_a_clean_connection_is_reused(self):
        async with scripted_engine(OK, OK) as (address, _):
            kept = Pool()
            for expected in (True, False):
                connection, is_new = await pool.acquire(kept, address, 1.0, 0.0)
                self.assertEqual(is_new, expected)
                self.assertEqual(await ask(connection), (200, b"ok"))
                pool.release(kept, connection, 0.0)

    @in_loop
    async def test_bytes_after_an_answer_close_the_connection(self):
        async with scripted_engine(OK + OK) as (address, _):
            kept = Pool()
            connection, _ = await pool.acquire(kept, address, 1.0, 0.0)
            await ask(connection)
            pool.release(kept, connection, 0.0)
            self.assertEqual(kept.idle[address], [])

    @in_loop
    async def test_late_unsolicited_bytes_close_it_too(self):
        async def late(writer):
            writer.write(OK)
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(OK)

        async with scripted_engine(late, OK) as (address, _):
            kept = Pool()
            connection, _ = await pool.acquire(kept, address, 1.0, 0.0)
            await ask(connection)
            pool.release(kept, connection, 0.0)
            while not connection.is_readable():
                await asyncio.sleep(0.01)
            _, is_new = await pool.acquire(kept, address, 1.0, 0.0)
            self.assertTrue(is_new)

    @in_loop
    async def test_the_engines_keep_alive_timeout_is_respected(self):
        answer = OK.replace(b"\r\n\r\n", b"\r\nkeep-alive: timeout=5\r\n\r\n")
        async with scripted_engine(answer) as (address, _):
            kept = Pool()
            connection, _ = await pool.acquire(kept, address, 1.0, 0.0)
            await ask(connection)
            pool.release(kept, connection, 0.0)
            pool.close_expired(kept, {address}, 3.9)
            self.assertIn(address, kept.idle)
            pool.close_expired(kept, {address}, 4.1)
            self.assertNotIn(address, kept.idle)

    @in_loop
    async def test_an_answer_to_another_request_can_be_skipped(self):
        late = OK.replace(b"ok", b"no")
        async with scripted_engine(late + OK) as (address, _):
            connection = await open_connection(address, 1.0, 0.0)
            self.assertEqual(await ask(connection), (200, b"no"))
            connection.skip_answer()
            head = await connection.read_head(1.0)
            self.assertEqual((head.status, await connection.read()), (200, b"ok"))
            connection.close()
