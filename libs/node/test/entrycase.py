"""Base class for tests of backpressure: an entry that receives prepared messages."""

import unittest
from types import SimpleNamespace

from builders import PipedSink, a_state, an_announcement

from cherryrudder.node import backpressure, roster, tablesync
from cherryrudder.node.gossip import PermitGrant
from cherryrudder.node.uplink import Uplink
from cherryrudder.platform.messages import AnswerFacts
from cherryrudder.policy.permits import Grant
from cherryrudder.replica.clock import now_s

ENGINE, OTHER = "boot-1", "boot-2"
HOME, FAR = "a", "b"


class ControlStub(SimpleNamespace):
    """A control VM's heartbeat with the fields that its receivers read."""


class EntryStub(SimpleNamespace):
    """An entry's heartbeat with the fields that a control VM reads."""


def an_answer(limit_per_s=None, backoff_s=None, **changes):
    """Return the facts of an answer with a rate limit or a backoff."""
    facts = AnswerFacts(
        request_id="",
        is_not_run=backoff_s is not None,
        fault_address="",
        engine_id="",
        load=None,
        is_sealed=True,
        is_encoded=False,
        limit_per_s=limit_per_s,
        retry_after_s=backoff_s,
    )
    return facts._replace(**changes)


class EntryCase(unittest.TestCase):
    def setUp(self):
        self.piped = PipedSink()
        self.addCleanup(self.piped.close)
        self.state = a_state(self.piped.sink)
        self.sent = []
        uplink = Uplink(self.state, None)
        uplink.links.send = lambda address, message: self.sent.append(
            (address, message)
        )
        for zone in (HOME, FAR):
            heartbeat = ControlStub(address=f"{zone}:1", vm_zone=zone, version=7)
            roster.record(self.state.controls, heartbeat.address, heartbeat, now_s())
        for engine_id in (ENGINE, OTHER):
            announcement = an_announcement(engine_id, layers=(0, 8))
            tablesync.record_heartbeat(self.state.endpoints, announcement, now_s())
        self.uplink = uplink
        self.job = self.a_job()

    def a_job(self, **changes):
        """Return a stub of a request at this entry."""
        fields = {
            "state": self.state,
            "sent_s": now_s(),
            "arrived_s": now_s(),
            "service": SimpleNamespace(name="llm"),
            "route": SimpleNamespace(objective_s=0.5),
            "log_event": lambda *_, **__: None,
        }
        return SimpleNamespace(**fields | changes)

    def record_answer(
        self, limit_per_s=None, engine_id=ENGINE, status=200, sent_s=None, **fields
    ):
        """Record an engine's answer with a rate limit or a backoff."""
        job = self.a_job() if sent_s is None else self.a_job(sent_s=sent_s)
        facts = an_answer(limit_per_s, **fields)
        backpressure.record_answer(job, engine_id, status, facts, now_s())

    def grant(self, permits=1, next_s=0.0, wait_s=0.0, engine_id=ENGINE):
        self.uplink._handle(PermitGrant(engine_id, Grant(permits, next_s, wait_s)))

    def may_send(self, engine_id=ENGINE):
        return backpressure.may_send(self.state, engine_id, now_s())
