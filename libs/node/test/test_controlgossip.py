import unittest
from types import SimpleNamespace
from unittest import mock

import anyio
from builders import PipedSink, a_control

from cherryrudder.node import controlgossip
from cherryrudder.node.controlgossip import ControlGossip
from cherryrudder.node.gossip import EntryHeartbeat, SyncPosition


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


if __name__ == "__main__":
    unittest.main()
