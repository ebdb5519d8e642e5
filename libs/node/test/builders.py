"""Builders of test data for the tests of the platform's processes."""

import os

from cherryrudder.layers.profile import NOTHING, Holding
from cherryrudder.node.linesink import LineSink
from cherryrudder.quorum.events import Voter
from cherryrudder.routing.endpoints import Announcement


def an_announcement(engine_id="boot-1", number=2, layers=None, **changes):
    """Return what an engine announces."""
    announcement = Announcement(
        engine_id=engine_id,
        service="llm",
        address=f"{engine_id}:80",
        vm_zone="a",
        version="v1",
        slots=96,
        number=number,
        kind="l4",
        holding=Holding(*layers) if layers else NOTHING,
    )
    return announcement._replace(**changes)


def a_voter(vm, disk="d1"):
    """Return a voter with its disk."""
    return Voter(vm, f"{vm}-{disk}", f"{vm}:7000")


class PipedSink:
    """A line sink into a pipe, and what was written so far."""

    def __init__(self):
        self.reader, writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.sink = LineSink(writer, "vm-1", "entry")
        self._writer = writer

    def text(self):
        """Return what the pipe holds."""
        self.sink.flush()
        try:
            return os.read(self.reader, 16 * 1024 * 1024).decode()
        except BlockingIOError:
            return ""

    def close(self):
        """Close both ends."""
        os.close(self.reader)
        os.close(self._writer)
