"""Tests of control VMs whose probes of the same engine differ.

Control VMs, an entry and their messages are real. The test sets the result of each
probe, and links deliver at once or not at all.
"""

import time
import unittest
from types import SimpleNamespace
from unittest import mock

import anyio
from builders import PipedSink, a_control, a_state, an_announcement, some_settings

from cherryrudder.node import roster, stalls, streamchains, tablesync, verification
from cherryrudder.node.controlgossip import ControlGossip
from cherryrudder.node.errors import EngineCallFailed
from cherryrudder.node.gossip import (
    DeathConfirmation,
    DeathNotice,
    Refutation,
    SuspicionReport,
)
from cherryrudder.node.uplink import Uplink
from cherryrudder.node.verification import Observation, Verdict, decide_verdict
from cherryrudder.platform.engines import Report
from cherryrudder.replica.clock import now_s

REPORT = Report(0, False, 0, 0, 0.0, 0.0, 1.0, (0, 8), ())
ENGINE = "boot-1"
# The time after which an ended engine has missed enough heartbeats.
MAX_SILENCE_S = verification.MISSED_HEARTBEATS * some_settings().heartbeat_s
# Control VMs by the last number of their address, and their data centres.
NEAR, ALSO_NEAR, FAR = "10.0.0.1", "10.0.0.2", "10.0.1.1"
ZONES = {NEAR: "a", ALSO_NEAR: "a", FAR: "b"}


class Scenario:
    """Some control VMs, and an entry that suspects an engine of their data centre."""

    def __init__(self, case, sees, unreached=()):
        """Set up the processes; `sees`: whether the engine answers, by control VM."""
        piped = PipedSink()
        case.addCleanup(piped.close)
        self.sees = sees
        self.unreached = set(unreached)
        self.asked = []
        self.sent = []
        self.entry = a_state(piped.sink, ip="10.0.2.1")
        self.controls = {ip: a_control(piped.sink, ip, ZONES[ip]) for ip in sees}
        self.verifiers = {}
        now = now_s()
        for name in (ENGINE, "boot-2"):
            announcement = an_announcement(name, layers=(0, 8))
            for state in (self.entry, *self.controls.values()):
                tablesync.record_heartbeat(state.endpoints, announcement, now)

    def run(self, reported_to=(NEAR,), rounds=1, after=lambda: None):
        """Report the engine to some control VMs; return the messages to the entry."""

        async def scenario():
            async with anyio.create_task_group() as group:
                self._connect(group)
                for _ in range(rounds):
                    for ip in reported_to:
                        self._deliver(
                            self.controls[ip].address,
                            SuspicionReport(ENGINE, self.entry.address),
                        )
            async with anyio.create_task_group() as group:
                for verifier in self.verifiers.values():
                    verifier.group = group
                after()

        with mock.patch.object(verification, "PEER_ANSWER_TIMEOUT_S", 0.05):
            anyio.run(scenario)
        return [message for _, message in self.sent]

    def _connect(self, group):
        self.uplink = Uplink(self.entry, group)
        self.gossip = {}
        for ip, state in self.controls.items():
            gossip = ControlGossip(state, group)
            gossip.links.send = self._deliver
            gossip.verifier._report = lambda *_, ip=ip: self._report(ip)
            self.gossip[state.address] = gossip
            self.verifiers[ip] = gossip.verifier
        for state in self.controls.values():
            roster.record(state.entries, self.entry.address, None, now_s())
            for address, other in self.gossip.items():
                if address != state.address:
                    heartbeat = other._make_heartbeat(state.address, now_s())
                    roster.record(state.roster, address, heartbeat, now_s())

    async def _report(self, ip):
        self.asked.append(ip)
        await anyio.sleep(0.001)
        return REPORT if self.sees[ip] else None

    def _deliver(self, address, message):
        if address == self.entry.address:
            self.sent.append((address, message))
            self.uplink._on_frames("", [message])
        elif address.rpartition(":")[0] not in self.unreached:
            self.gossip[address]._on_frames("", [message])

    def counts(self):
        """Return whether the engine counts as one that may still run a stream."""
        stream = SimpleNamespace(
            ran_engine_ids=[ENGINE, "boot-2"],
            job=SimpleNamespace(
                state=self.entry, route=SimpleNamespace(max_attempts=2)
            ),
        )
        return ENGINE in streamchains.allowed_first_engines(stream)


class DisagreementTest(unittest.TestCase):
    """Guards against a live engine that is found dead by a single control VM.

    An entry and one control VM get no answer over a full link, while another control VM
    of the data centre gets one. If one probe were enough, a stream that had run at the
    engine would go to a third engine, where two are allowed. In the log, `accusation`
    lines for the engine then show `dead` by one control VM 0.4 s after `lives` by
    another one of the same data centre.
    """

    def test_an_answer_outweighs_silence(self):
        for reported_to in ([NEAR], [ALSO_NEAR], [NEAR, ALSO_NEAR]):
            with self.subTest(reported_to=reported_to):
                scenario = Scenario(self, {NEAR: False, ALSO_NEAR: True})
                messages = scenario.run(reported_to)
                self.assertEqual(set(messages), {Refutation(ENGINE)})
                self.assertTrue(scenario.counts())
                self.assertEqual(scenario.controls[NEAR].suspected_s, {})

    def test_an_answer_to_a_remote_control_vm_counts(self):
        scenario = Scenario(self, {NEAR: False, FAR: True})
        self.assertEqual(scenario.run(), [Refutation(ENGINE)])
        self.assertTrue(scenario.counts())

    def test_control_vms_near_the_engine_are_asked_first(self):
        scenario = Scenario(self, {NEAR: False, FAR: True, ALSO_NEAR: False})
        with mock.patch.object(verification, "MAX_PEERS_ASKED", 1):
            scenario.run()
        self.assertNotIn(FAR, scenario.asked)

    def test_a_control_vm_without_any_answer_sends_nothing(self):
        """It may be cut off itself."""
        scenario = Scenario(
            self, {NEAR: False, ALSO_NEAR: False}, unreached=[ALSO_NEAR]
        )
        self.assertEqual(scenario.run(), [])
        self.assertTrue(scenario.counts())

    def test_a_control_vm_that_has_just_started_gives_no_verdict(self):
        scenario = Scenario(self, {NEAR: False, ALSO_NEAR: True})
        scenario.controls[NEAR].endpoints = tablesync.SharedTable("new")
        self.assertEqual(scenario.run(), [])
        self.assertTrue(scenario.counts())

    def test_a_probe_request_is_not_forwarded(self):
        scenario = Scenario(self, {NEAR: False, ALSO_NEAR: False, FAR: False})
        scenario.run([NEAR], rounds=5)
        self.assertEqual(len(scenario.asked), 6)


class DeathTest(unittest.TestCase):
    """No control VM gets an answer from an engine.

    It gets no more requests at once, so that none waits there. Its runs count as ended
    only after it has missed its heartbeats as well: the probes may all have been sent
    over the same full links.
    """

    def run_scenario(self, silence_s, is_leading=True, sees_later=False):
        scenario = Scenario(self, {NEAR: False, ALSO_NEAR: False})

        def after():
            scenario.sees[NEAR] = sees_later
            scenario.controls[NEAR].is_leader = lambda: is_leading
            for verifier in scenario.verifiers.values():
                verifier.review(now_s() + silence_s)

        return scenario, scenario.run(after=after)

    def test_it_is_avoided_at_once_and_counts_until_heartbeats_are_missed(self):
        scenario, messages = self.run_scenario(silence_s=0.0)
        self.assertEqual(messages, [DeathNotice(ENGINE)])
        self.assertTrue(scenario.counts())

    def test_it_has_ended_after_missed_heartbeats(self):
        scenario, messages = self.run_scenario(MAX_SILENCE_S + 0.1)
        self.assertEqual(messages, [DeathNotice(ENGINE), DeathConfirmation(ENGINE)])
        self.assertFalse(scenario.counts())

    def test_only_the_leader_confirms_a_death(self):
        scenario, messages = self.run_scenario(MAX_SILENCE_S + 0.1, is_leading=False)
        self.assertEqual(messages, [DeathNotice(ENGINE)])
        self.assertTrue(scenario.counts())

    def test_an_engine_that_answers_later_has_not_ended(self):
        scenario, messages = self.run_scenario(MAX_SILENCE_S + 0.1, sees_later=True)
        self.assertEqual(messages, [DeathNotice(ENGINE), Refutation(ENGINE)])
        self.assertTrue(scenario.counts())
        self.assertEqual(scenario.controls[NEAR].suspected_s, {})

    def test_a_new_heartbeat_ends_the_suspicion(self):
        scenario = Scenario(self, {NEAR: False, ALSO_NEAR: False})

        def after():
            for state in scenario.controls.values():
                announcement = an_announcement(ENGINE, 4, (0, 8))
                tablesync.record_heartbeat(state.endpoints, announcement, now_s() + 0.1)
            for verifier in scenario.verifiers.values():
                verifier.review(now_s() + 1.0)

        scenario.run(after=after)
        self.assertEqual([s.suspected_s for s in scenario.controls.values()], [{}, {}])


def block_event_loop(wait_s):
    """Block the event loop, as a long computation does."""
    time.sleep(wait_s)


class BlockedLoopTest(unittest.TestCase):
    """Guards against a timeout while the answer has arrived but wasn't read.

    A control VM decodes a large configuration while it waits for an engine's report.
    """

    def test_the_report_is_requested_again(self):
        calls = []

        async def get_report(address, timeout_s):
            calls.append(address)
            if len(calls) == 1:
                block_event_loop(timeout_s + 2 * stalls.PROCESS_STALL_S)
                raise EngineCallFailed(address)
            return REPORT

        verifier = verification.Verifier(SimpleNamespace(), None, None)
        with mock.patch.object(verification.enginecalls, "get_report", get_report):
            report = anyio.run(verifier._report, "e:1", 0.02)
        self.assertEqual((report, len(calls)), (REPORT, 2))


class DecideVerdictTest(unittest.TestCase):
    def test_every_combination_of_probe_results(self):
        dead, lives, unclear = Verdict.DEAD, Verdict.LIVES, Verdict.UNCLEAR
        cases = {
            (Observation.SILENT, ()): unclear,
            (Observation.SILENT, (Observation.UNKNOWN,)): unclear,
            (Observation.SILENT, (Observation.SILENT,)): dead,
            (Observation.SILENT, (Observation.SILENT, Observation.UNKNOWN)): dead,
            (Observation.SILENT, (Observation.SILENT, Observation.LIVES)): lives,
            (Observation.SILENT, (Observation.ENDED,)): dead,
            (Observation.ENDED, (Observation.LIVES,)): dead,
            (Observation.LIVES, ()): lives,
            (Observation.UNKNOWN, ()): unclear,
        }
        for (own, others), verdict in cases.items():
            with self.subTest(own=own, others=others):
                self.assertIs(decide_verdict(own, others, asked=2), verdict)

    def test_without_other_control_vms_the_own_probe_decides(self):
        self.assertIs(decide_verdict(Observation.SILENT, (), asked=0), Verdict.DEAD)


if __name__ == "__main__":
    unittest.main()
