import unittest
from types import SimpleNamespace
from unittest import mock

import anyio
from builders import PipedSink, a_control, an_announcement

from cherryrudder.node import controlgossip, tablesync
from cherryrudder.node.controlgossip import ControlGossip
from cherryrudder.node.gossip import (
    ConfigurationUpdate,
    EntryHeartbeat,
    SyncPosition,
)
from cherryrudder.replica.clock import now_s


def a_heartbeat(number, version):
    """Return an entry's heartbeat."""
    address = f"entry-{number}:1"
    position = SyncPosition("", 0)
    return EntryHeartbeat("vm", "a", address, 0.0, version, position, (), (), False)


class FirstConfigurationTest(unittest.TestCase):
    """Guards against entries that wait for the next confirmation when they start."""

    def answered(self, *versions):
        """Return the entries that are answered while only the first round is due."""
        piped = PipedSink()
        self.addCleanup(piped.close)
        state = a_control(piped.sink, "127.0.0.1")
        sent = set()

        async def confirm(_):
            return 1

        voted = SimpleNamespace(version=5, packed=b"")
        state.voter = SimpleNamespace(wait_for_read_index=confirm, state=voted)

        async def scenario():
            async with anyio.create_task_group() as group:
                gossip = ControlGossip(state, group)
                gossip.links.send = lambda address, _: sent.add(address)
                group.start_soon(gossip._confirm)
                for number, version in enumerate(versions):
                    gossip._on_frames("", [a_heartbeat(number, version)])
                    await anyio.sleep(0.1)
                group.cancel_scope.cancel()

        with mock.patch.object(controlgossip, "CONFIRM_INTERVAL_S", 30.0):
            anyio.run(scenario)
        return sent

    def test_an_entry_without_a_configuration_is_answered_at_once(self):
        self.assertEqual(self.answered(5, 0), {"entry-0:1", "entry-1:1"})

    def test_other_entries_wait_for_the_next_confirmation(self):
        self.assertEqual(self.answered(5, 5), {"entry-0:1"})


class EndedVoterTest(unittest.TestCase):
    def confirmed_version(self, wait_for_read_index, current):
        """Return the version that a voter confirms which is replaced meanwhile."""
        piped = PipedSink()
        self.addCleanup(piped.close)
        state = a_control(piped.sink, "127.0.0.1")
        voted = SimpleNamespace(version=6, packed=b"")

        async def wait(timeout_s):
            state.voter = current
            return await wait_for_read_index(timeout_s)

        state.voter = SimpleNamespace(wait_for_read_index=wait, state=voted)

        async def scenario():
            async with anyio.create_task_group() as group:
                return await ControlGossip(state, group)._confirmed_version()

        return anyio.run(scenario)

    def test_a_version_is_confirmed_by_the_voter_that_has_it(self):
        """Guards against an older version, as confirmed, of a voter opened since."""

        async def confirm(_):
            return 1

        opened = SimpleNamespace(state=SimpleNamespace(version=5))
        for current in (None, opened):
            with self.subTest(current=current):
                self.assertIn(self.confirmed_version(confirm, current), (6, -1))


class LaggingDataCentreTest(unittest.TestCase):
    """Guards against callers refused while a data centre's control VM is behind."""

    def update_times_s(self, interval_s, lag_s):
        """Return when an entry elsewhere, which lags by a time, is sent updates."""
        piped = PipedSink()
        self.addCleanup(piped.close)
        state = a_control(piped.sink, "127.0.0.1")
        state.voter = SimpleNamespace(state=SimpleNamespace(version=1, packed=""))
        gossip = ControlGossip(state, None)
        clock_s, sent_s = 100.0, []

        def send(_, message):
            if isinstance(message, ConfigurationUpdate):
                sent_s.append(clock_s - 100.0)

        gossip.links.send = send
        with mock.patch.object(controlgossip, "now_s", lambda: clock_s):
            gossip.on_applied()
            next_change_s, next_heartbeat_s = 101.0, 101.3
            while clock_s < 110.0:
                clock_s = min(next_change_s, next_heartbeat_s)
                if clock_s == next_change_s:
                    next_change_s += interval_s
                    state.voter.state.version += 1
                    gossip.on_applied()
                    continue
                next_heartbeat_s += 0.5
                version = state.version
                known = max(1, version - max(1, int(lag_s / interval_s)))
                heartbeat = a_heartbeat(0, known)._replace(vm_zone="b")
                gossip._answer(heartbeat, version)
        return sent_s

    def test_an_entry_that_is_behind_gets_changes_however_often_they_come(self):
        for interval_s in (0.05, 0.15, 0.3, 0.39):
            with self.subTest(interval_s=interval_s):
                sent_s = self.update_times_s(interval_s, 10.0)
                # One for each heartbeat, from the second after the first change.
                self.assertGreaterEqual(len(sent_s), 17)
                self.assertLess(sent_s[0], 2.0)

    def test_an_entry_that_its_own_control_vm_updates_gets_none(self):
        for interval_s in (0.05, 0.15, 0.3, 0.39):
            with self.subTest(interval_s=interval_s):
                self.assertEqual(self.update_times_s(interval_s, 0.35), [])


class UnconfirmedChangeTest(unittest.TestCase):
    """Guards against a change that is held back while no majority answers."""

    def sent_versions(self, version, vm_zone="a", age_s=1.0):
        """Return the versions that an entry is sent without a confirmation."""
        piped = PipedSink()
        self.addCleanup(piped.close)
        state = a_control(piped.sink, "127.0.0.1")
        state.voter = SimpleNamespace(state=SimpleNamespace(version=5, packed=""))
        gossip, sent = ControlGossip(state, None), []
        gossip.links.send = lambda _, message: sent.append(message)
        with mock.patch.object(controlgossip, "now_s", lambda: 100.0 - age_s):
            gossip.on_applied()
        with mock.patch.object(controlgossip, "now_s", lambda: 100.0):
            heartbeat = a_heartbeat(0, version)._replace(vm_zone=vm_zone)
            gossip._answer(heartbeat, -1)
        return [one.version for one in sent if isinstance(one, ConfigurationUpdate)]

    def test_an_entry_with_an_older_one_gets_it(self):
        self.assertEqual(self.sent_versions(4), [5])
        self.assertEqual(self.sent_versions(4, vm_zone="b"), [5])

    def test_an_entry_elsewhere_gets_it_from_its_own_control_vm_first(self):
        self.assertEqual(self.sent_versions(4, vm_zone="b", age_s=0.1), [])

    def test_an_entry_that_has_it_or_has_just_started_does_not(self):
        """Unconfirmed, it may be long out of date."""
        self.assertEqual(self.sent_versions(5), [])
        self.assertEqual(self.sent_versions(0), [])


class RestartedReaderTest(unittest.TestCase):
    """Guards against a restarted control VM that misses all unchanged endpoints."""

    def a_gossip(self, ip):
        """Return the gossip of a control process that has just started."""
        piped = PipedSink()
        self.addCleanup(piped.close)
        return ControlGossip(a_control(piped.sink, ip), None)

    def send(self, source, reader):
        """Deliver the next heartbeat of one process to another."""
        heartbeat = source._make_heartbeat(reader.state.address, now_s())
        reader._handle(heartbeat)

    def test_a_heartbeat_for_the_process_before_is_not_acknowledged(self):
        source, before = self.a_gossip("10.0.0.1"), self.a_gossip("10.0.0.2")
        tablesync.record_heartbeat(source.state.endpoints, an_announcement(), now_s())
        for _ in range(2):
            self.send(before, source)
            self.send(source, before)
        restarted = self.a_gossip("10.0.0.2")
        self.send(source, restarted)
        self.send(restarted, source)
        self.send(source, restarted)
        self.assertIn("boot-1", restarted.state.endpoints.table.entries)
        self.send(restarted, source)
        repeated = source._make_heartbeat(restarted.state.address, now_s())
        self.assertEqual(repeated.endpoints, ())


if __name__ == "__main__":
    unittest.main()
