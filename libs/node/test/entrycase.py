"""Entries with stand-ins for what they hear, for the tests of backpressure."""

import unittest
from types import SimpleNamespace

from builders import PipedSink, a_state, an_announcement

from cherryrudder.node import backpressure, roster, tablesync
from cherryrudder.node.gossip import PermitGrant
from cherryrudder.node.uplink import Uplink
from cherryrudder.platform import messages
from cherryrudder.policy.permits import Grant
from cherryrudder.replica.clock import now_s

ENGINE, OTHER = "boot-1", "boot-2"
HOME, FAR = "a", "b"


class ControlStub(SimpleNamespace):
    """What an entry and other control VMs look at in a control VM's beat."""


class EntryStub(SimpleNamespace):
    """What a control VM looks at in an entry's beat."""


def an_answer(*limits, backoff=None):
    """Return what an answer says that names some limits, or a time to back off."""
    headers = [(b"server-limit", limit) for limit in limits]
    if backoff is not None:
        headers += [(b"retry-after", backoff), (b"not-executed", b"1")]
    return messages.read_answer(headers)


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
            beat = ControlStub(address=f"{zone}:1", vm_zone=zone, version=7)
            roster.hear(self.state.controls, beat.address, beat, now_s())
        for engine_id in (ENGINE, OTHER):
            told = an_announcement(engine_id, layers=(0, 8))
            tablesync.hear(self.state.endpoints, told, now_s())
        self.uplink = uplink
        self.job = self.a_job()

    def a_job(self, **changes):
        """Return a request at this entry."""
        fields = {
            "state": self.state,
            "sent_s": now_s(),
            "arrived_s": now_s(),
            "service": SimpleNamespace(name="llm"),
            "route": SimpleNamespace(objective_s=0.5),
            "note": lambda *_, **__: None,
        }
        return SimpleNamespace(**fields | changes)

    def hear(self, *limits, engine_id=ENGINE, status=200, backoff=None, **changes):
        """Take an engine's answer that names limits, or a time to back off."""
        job = self.a_job(**changes)
        facts = an_answer(*limits, backoff=backoff)
        backpressure.note_answer(job, engine_id, status, facts, now_s())

    def grant(self, permits=1, next_s=0.0, wait_s=0.0, engine_id=ENGINE):
        self.uplink._take(PermitGrant(engine_id, Grant(permits, next_s, wait_s)))

    def may_begin(self, engine_id=ENGINE):
        return backpressure.may_begin(self.state, engine_id, now_s())
