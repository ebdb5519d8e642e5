"""Requests at an entry whose engines end, for the tests of crashes."""

import unittest
from types import SimpleNamespace

from builders import PipedSink, a_state, an_announcement

from cherryrudder.node import tablesync
from cherryrudder.node.uplink import Uplink
from cherryrudder.replica.clock import now_s
from cherryrudder.routing.crashbook import Crash, RequestRecord

FIRST, SECOND, OTHER = "boot-1", "boot-2", "boot-3"
ENGINES = (FIRST, SECOND, OTHER)


def a_job(state, fingerprint="bad"):
    """Return a request at an entry."""
    return SimpleNamespace(
        state=state,
        fingerprint=fingerprint,
        facts=SimpleNamespace(request_id="r1"),
        admitted=SimpleNamespace(account="acme"),
        service=SimpleNamespace(name="llm"),
        parts=(),
        on_trial=frozenset(),
    )


def a_record(*engine_ids, at_s=None, **changes):
    """Return the record of a request under which engines ended."""
    at_s = now_s() if at_s is None else at_s
    ended = tuple(Crash(engine_id, "a", "v1", 2, at_s) for engine_id in engine_ids)
    return RequestRecord("acme", "llm", ended)._replace(**changes)


class EntryCase(unittest.TestCase):
    """A test with an entry that knows three engines."""

    def setUp(self):
        self.piped = PipedSink()
        self.addCleanup(self.piped.close)
        self.state = a_state(self.piped.sink)
        self.uplink = Uplink(self.state, None)
        for engine_id in ENGINES:
            announcement = an_announcement(engine_id, layers=(0, 8))
            tablesync.record_heartbeat(
                self.state.endpoints, announcement, now_s() - 0.1
            )

    def known(self, fingerprint="bad"):
        """Return the engines recorded as ended under a request."""
        record = self.state.crashes.book.records.get(fingerprint, RequestRecord("", ""))
        return {crash.engine_id for crash in record.crashes}
