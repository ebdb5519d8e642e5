import unittest

from hypothesis import given, settings, strategies as st

from cherryrudder.relay import events
from cherryrudder.relay.errors import AnswerBroken
from cherryrudder.relay.events import EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n: a comment\n\nid: x\n\n"


class SplitTest(unittest.TestCase):
    def test_events_are_split_with_their_numbers(self):
        found = events.split(EventSplitter(), STREAM)
        self.assertEqual([event.number for event in found], [1, 2, None, None])
        self.assertEqual(b"".join(event.data for event in found), STREAM)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.lists(st.integers(1, 9), max_size=30))
    def test_the_size_of_reads_makes_no_difference(self, sizes):
        splitter, found, rest = EventSplitter(), [], STREAM
        for size in [*sizes, len(STREAM)]:
            found += events.split(splitter, rest[:size])
            rest = rest[size:]
        self.assertEqual(found, events.split(EventSplitter(), STREAM))
        self.assertEqual(splitter.rest, b"")

    def test_a_number_that_no_stream_reaches_is_none(self):
        """Guards against an event's number that no message between processes holds."""
        for text, number in (
            (b"7", 7),
            (b"%d" % (2**63 - 1), 2**63 - 1),
            (b"%d" % 2**63, None),
            (b"9" * 5000, None),
            (b"-1", None),
            (b"1_0", None),
            (b"", None),
        ):
            with self.subTest(text=text[:20]):
                (event,) = events.split(EventSplitter(), b"id: " + text + b"\n\n")
                self.assertEqual(event.number, number)

    def test_an_incomplete_event_is_buffered(self):
        splitter = EventSplitter()
        found = events.split(splitter, STREAM[:20])
        self.assertEqual([event.number for event in found], [1])
        self.assertEqual(splitter.rest, STREAM[15:20])


class LongEventTest(unittest.TestCase):
    """Guards against an event without an end that fills an entry's memory."""

    def test_an_event_without_an_end_is_broken_off(self):
        splitter, sent = EventSplitter(), 0
        with self.assertRaises(AnswerBroken):
            while sent < 4 * events.MAX_EVENT_BYTES:
                events.split(splitter, b"x" * 65_536)
                sent += 65_536
        self.assertLessEqual(sent, events.MAX_EVENT_BYTES)
