"""Tests of how messages carry the version of a configuration."""

import unittest
from types import SimpleNamespace

import msgspec
from builders import PipedSink, a_control, a_state

from cherryrudder.node import gossip
from cherryrudder.node.controlgossip import ControlGossip
from cherryrudder.node.uplink import Uplink
from cherryrudder.routing import configlog
from cherryrudder.routing.configlog import ConfigState
from cherryrudder.wire.frames import LENGTH, FrameCodec

LARGE = 20261204053000000000
VERSIONS = (1, 2**63, 2**64 - 1, 2**64, LARGE, 10**300, 10**4300 - 1)


def a_text(version):
    """Return the document of an empty configuration."""
    document = {"version": version, "routes": [], "services": []}
    return msgspec.json.encode(document).decode()


def carry(message):
    """Return a message as its reader gets it, None if no frame holds it."""
    codec = FrameCodec(gossip.KINDS)
    frame = codec.encode([message])
    return codec.decode(frame[LENGTH.size :])[0] if frame else None


class VersionsTest(unittest.TestCase):
    """Guards against entries and control VMs that can't tell each other a version."""

    def setUp(self):
        piped = PipedSink()
        self.addCleanup(piped.close)
        self.state = a_state(piped.sink)
        self.uplink = Uplink(self.state, None)
        self.control = ControlGossip(a_control(piped.sink, "127.0.0.1"), None)
        self.sent = []
        self.control.links.send = lambda address, message: self.sent.append(message)

    def accept(self, version):
        """Give the control VM a configuration, as its voter applies it."""
        packed = configlog.pack(a_text(version))
        state = ConfigState(version, packed)
        self.control.state.voter = SimpleNamespace(state=state)

    def exchange(self, version):
        """Carry a heartbeat to the control VM and what it sends to the entry."""
        heartbeat = self.uplink._make_heartbeat("c:1", {}, self.state.started_s)
        self.control._handle(carry(heartbeat))
        (received,) = self.control._waiting.values()
        self.control._answer(received, version)
        for message in self.sent:
            self.uplink._handle(carry(message))
        kinds = [type(message).__name__ for message in self.sent]
        self.sent.clear()
        return kinds

    def test_an_entry_gets_each_version_once_and_confirms_it(self):
        for version in VERSIONS:
            with self.subTest(digits=len(str(version))):
                self.accept(version)
                self.state.confirmed_s = float("-inf")
                kinds = self.exchange(version)
                self.assertEqual(kinds, ["ConfigurationUpdate", "ControlAnswer"])
                self.assertEqual(self.state.version, version)
                self.assertGreater(self.state.confirmed_s, float("-inf"))
                self.assertEqual(self.exchange(version), ["ControlAnswer"])

    def test_a_late_update_never_takes_an_entry_back(self):
        for version in (LARGE, 2**64 - 1, LARGE - 1):
            self.accept(version)
            update = gossip.make_update(self.control.state.voter.state)
            self.uplink._handle(carry(update))
        self.assertEqual(self.state.version, LARGE)

    def test_a_newly_applied_version_is_pushed(self):
        self.exchange(-1)
        self.accept(LARGE)
        self.control.on_applied()
        (update,) = self.sent
        self.uplink._handle(carry(update))
        self.assertEqual(self.state.version, LARGE)

    def test_a_version_that_a_frame_holds_is_sent_as_a_number(self):
        """Guards against messages that processes of the release before can't read."""
        for version in (-(2**63), -1, 0, 1, 2**64 - 1):
            self.assertEqual(gossip.write_version(version), version)

    def test_any_version_is_carried(self):
        for version in (*VERSIONS, 0, -1, -(2**63), -(2**63) - 1, -(10**300)):
            update = gossip.ConfigurationUpdate(gossip.write_version(version), "")
            self.assertEqual(gossip.with_number(carry(update)).version, version)

    def test_a_version_that_is_no_number_changes_nothing(self):
        for malformed in ("", "x", "1" * 5000, "1.5"):
            update = gossip.ConfigurationUpdate(malformed, "")
            self.uplink._on_frames("peer", [carry(update)])
        self.assertEqual(self.state.version, 0)


if __name__ == "__main__":
    unittest.main()
