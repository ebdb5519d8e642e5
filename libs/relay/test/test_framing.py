"""Bytes of requests as they are given to the parser."""

import unittest

import h11
from hypothesis import given, strategies as st

from cherryrudder.relay.errors import BadRequest
from cherryrudder.relay.framing import MAX_EMPTY_LINES, RequestFramer

GET = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nhost: h\r\n"
CHUNKED = POST + b"transfer-encoding: chunked\r\n\r\n"
REQUESTS = [
    GET,
    POST + b"content-length: 5\r\n\r\na\r\n\r\n",
    POST + b"content-length: 0\r\n\r\n",
    CHUNKED + b"2\r\n\r\n\r\n003\r\nabc\r\n0\r\n\r\n",
    CHUNKED + b"1;x=y\r\na\r\n0\r\nt: u\r\nv: w\r\n\r\n",
]


def read(raw, sizes):
    """Parse bytes that arrive in pieces; return the target and body of each request."""
    framer, found, data = RequestFramer(), [], bytearray(raw)
    parser, body = h11.Connection(h11.SERVER), b""
    sizes = list(sizes)
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            passed = framer.take()
            if not passed and not data:
                return found
            if not passed:
                size = sizes.pop() if sizes else len(data)
                framer.receive(bytes(data[:size]))
                del data[:size]
            else:
                parser.receive_data(passed)
        elif isinstance(event, h11.Request):
            framer.begin_body(event.headers)
            target = bytes(event.target)
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            found.append((target, body))
            framer.begin_next()
            parser, body = h11.Connection(h11.SERVER), b""


def read_plainly(requests):
    """Parse each request by the parser alone."""
    found = []
    for raw in requests:
        parser, body = h11.Connection(h11.SERVER), b""
        parser.receive_data(raw)
        target = bytes(parser.next_event().target)
        while isinstance(event := parser.next_event(), h11.Data):
            body += bytes(event.data)
        found.append((target, body))
    return found


class FramingTest(unittest.TestCase):
    @given(
        st.lists(st.sampled_from(REQUESTS), max_size=5),
        st.lists(st.integers(1, 40), max_size=60),
        st.integers(0, MAX_EMPTY_LINES),
    )
    def test_pieces_are_read_as_the_parser_reads_whole_requests(
        self, requests, sizes, empty_lines
    ):
        raw = b"".join(b"\r\n" * empty_lines + one for one in requests)
        self.assertEqual(read(raw, sizes), read_plainly(requests))

    def test_white_space_before_a_chunk_extension_is_left_out(self):
        """Guards against a proper chunked body that is refused."""
        raw = CHUNKED + b'3 \t; a = "b;c"\r\nabc\r\n0 ;d\r\n\r\n'
        self.assertEqual(read(raw + GET, [7] * 20), [(b"/a", b"abc"), (b"/a", b"")])

    def test_invalid_chunks_are_left_to_the_parser(self):
        lines = [b"zz\r\n", b"5 6\r\n", b"-1\r\n", b"\r\n", b"3 x\r\n", b"0x3\r\n"]
        for line in (*lines, b"3\n", b"3;a\n", b"3\r"):
            with self.subTest(line=line), self.assertRaises(h11.RemoteProtocolError):
                read(CHUNKED + line + b"abc\r\n0\r\n\r\n", [])

    def test_a_chunk_that_is_longer_than_its_size_is_refused(self):
        """Guards against data that is taken for the next chunk."""
        for chunk in (b"3\r\nabcd\r\n", b"3\r\nabc3\r\n", b"1\r\na\n\n"):
            raw = CHUNKED + chunk + b"0\r\n\r\n"
            for sizes in ([], [1] * len(raw)):
                with self.subTest(chunk=chunk, sizes=len(sizes)):
                    with self.assertRaises((BadRequest, h11.RemoteProtocolError)):
                        read(raw, sizes)

    def test_a_line_that_only_the_parser_takes_is_followed_by_it_alone(self):
        """Guards against a parser and a framer that count different chunks."""
        raw = CHUNKED + b"3;\x00\r\n1\r\n\r\n1\r\na\r\n0\r\n\r\n"
        self.assertEqual(read(raw, []), read_plainly([raw]))

    @given(
        st.binary(max_size=3000),
        st.lists(st.integers(1, 300), max_size=40),
        st.lists(st.integers(1, 2500), max_size=40),
    )
    def test_merged_chunks_hold_the_same_bytes(self, body, chunk_sizes, sizes):
        """Guards against bytes that are lost or doubled between merged chunks."""
        raw, at = bytearray(CHUNKED), 0
        for size in [*chunk_sizes, 1, len(body)]:
            if piece := body[at : at + size]:
                raw += b"%X;x\r\n" % len(piece) if size % 3 else b"%x\r\n" % len(piece)
                raw += piece + b"\r\n"
            at += size
        raw += b"0\r\n\r\n"
        self.assertEqual(read(bytes(raw) + GET, sizes), [(b"/a", body), (b"/a", b"")])

    def test_a_flood_of_tiny_chunks_is_few_events_for_the_parser(self):
        """Guards against chunks that each cost the parser as much as a large one."""
        framer = RequestFramer()
        framer.receive(CHUNKED)
        framer.take()
        framer.begin_body([(b"transfer-encoding", b"chunked")])
        framer.receive(b"1\r\na\r\n" * 10_000)
        takes = 0
        while framer.take():
            takes += 1
        self.assertLess(takes, 10_000 / 300)

    def test_a_flood_of_empty_lines_is_left_to_the_parser(self):
        with self.assertRaises(h11.RemoteProtocolError):
            read(b"\r\n" * (MAX_EMPTY_LINES + 1) + GET, [])

    def test_a_line_without_an_end_is_not_kept(self):
        framer = RequestFramer()
        framer.receive(CHUNKED)
        self.assertEqual(framer.take(), CHUNKED)
        framer.begin_body([(b"transfer-encoding", b"chunked")])
        framer.receive(b"1;" + b"x" * 5000)
        self.assertEqual(len(framer.take()), 5002)

    def test_an_empty_line_begins_no_request(self):
        framer = RequestFramer()
        framer.receive(b"\r\n")
        self.assertFalse(framer.has_request())
        framer.receive(b"G")
        self.assertTrue(framer.has_request())
        self.assertEqual(framer.take(), b"G")


if __name__ == "__main__":
    unittest.main()
