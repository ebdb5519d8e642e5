"""Tests of callers that hold a voter which ends before they do."""

import unittest
from unittest import mock

import anyio
from builders import (
    LONE_TIMING,
    SNAPSHOT_TIMING,
    SilentLeader,
    a_lone_disk,
    a_lone_disk_without_snapshots,
    an_append,
    an_entry,
    free_address,
    outcome_of,
    running_voter,
    until,
)

from cherryrudder.quorum import events
from cherryrudder.replica import voter as voter_module
from cherryrudder.replica.clock import now_s
from cherryrudder.replica.config import VoterConfig
from cherryrudder.replica.errors import VoterFailed
from cherryrudder.replica.peers import Peers

# Far longer than `PATIENCE_S`, so that a call that waits for its deadline is seen.
CALL_TIMEOUT_S = 30.0
PATIENCE_S = 1.5
NEW_VOTER = events.Voter("d", "disk-d", "127.0.0.1:3")
CALLS = {
    "read": lambda voter: voter.wait_for_read_index(CALL_TIMEOUT_S),
    "propose": lambda voter: voter.propose("x", CALL_TIMEOUT_S),
    "change": lambda voter: voter.change_voters(
        "add-learner", NEW_VOTER, CALL_TIMEOUT_S
    ),
}


def fail_disk(scene, address):
    """Make the voter's next write fail."""
    scene.disk.is_full = True
    scene.voter.feed(an_append(address, [an_entry(2)]))


def break_protocol(scene, address):
    """Pass in a message that would undo a committed entry."""
    with unittest.TestCase().assertRaises(VoterFailed):
        scene.voter.feed(an_append(address, [an_entry(1, 2)], prev_index=0, term=2))


def cancel_group(scene, address):
    """End the voter as a process that stops does."""
    scene.group.cancel_scope.cancel()


class VoterCase(unittest.TestCase):
    def check_told(self, results):
        """Fail unless each call ended at once with VoterFailed."""
        for name, result in results.items():
            with self.subTest(call=name):
                self.assertTrue(result, "the call still waits")
                self.assertIsInstance(result[0], VoterFailed)

    async def call_all(self, group, voter):
        """Start each call in a task; return the lists that get their outcomes."""
        results = {name: [] for name in CALLS}
        for name, call in CALLS.items():
            group.start_soon(outcome_of, lambda c=call: c(voter), results[name])
        return results

    async def wait_told(self, results):
        with anyio.move_on_after(PATIENCE_S):
            while not all(results.values()):
                await anyio.sleep(0.005)


class WaitingCallsTest(VoterCase):
    def run_waiting(self, end):
        """End the voter while three calls wait for the leader's answer."""

        async def main():
            leader = SilentLeader()
            async with anyio.create_task_group() as group, running_voter() as scene:
                group.start_soon(leader.listen, anyio.Event())
                scene.voter.feed(an_append(leader.address))
                await until(lambda: scene.voter.status()["leader"] == "b")
                results = await self.call_all(group, scene.voter)
                await until(lambda: len(leader.calls) == len(CALLS))
                end(scene, leader.address)
                await scene.ended.wait()
                await self.wait_told(results)
                group.cancel_scope.cancel()
            return results

        with mock.patch.object(voter_module, "ATTEMPT_TIMEOUT_S", CALL_TIMEOUT_S):
            self.check_told(anyio.run(main))

    def test_calls_end_when_the_disk_fails(self):
        """Guards against calls that wait for a voter whose disk has failed."""
        self.run_waiting(fail_disk)

    def test_calls_end_when_the_protocol_is_broken(self):
        """Guards against calls that wait for a voter that left the protocol."""
        self.run_waiting(break_protocol)

    def test_calls_end_when_the_group_is_cancelled(self):
        """Guards against calls that wait for a voter that was stopped."""
        self.run_waiting(cancel_group)


class FailingFollowerTest(VoterCase):
    def test_the_leaders_answers_arrive_although_the_disk_fails(self):
        """Guards against a committed change whose caller is told of a full disk."""

        async def main():
            leader = SilentLeader()
            async with anyio.create_task_group() as group, running_voter() as scene:
                group.start_soon(leader.listen, anyio.Event())
                scene.voter.feed(an_append(leader.address))
                await until(lambda: scene.voter.status()["leader"] == "b")
                results = await self.call_all(group, scene.voter)
                await until(lambda: len(leader.calls) == len(CALLS))
                fail_disk(scene, leader.address)
                await until(lambda: scene.voter._failure is not None)
                leader.answer(group, "1")
                await scene.ended.wait()
                await self.wait_told(results)
                group.cancel_scope.cancel()
            return results

        with (
            mock.patch.object(voter_module, "ATTEMPT_TIMEOUT_S", CALL_TIMEOUT_S),
            mock.patch.object(voter_module, "LAST_ANSWERS_TIMEOUT_S", CALL_TIMEOUT_S),
        ):
            results = anyio.run(main)
        self.assertEqual(results, {"read": [1], "propose": [1], "change": [1]})


class LaterCallsTest(VoterCase):
    def run_unlinked(self, call_before_end, end=fail_disk):
        """Call a voter that has no link to its leader, before or after its end."""

        async def main():
            address = free_address()
            async with anyio.create_task_group() as group, running_voter() as scene:
                voter = scene.voter
                voter.feed(an_append(address))
                await until(lambda: voter.status()["leader"] == "b")
                # The link for the reply to the heartbeat is refused and dropped.
                await until(lambda: not voter._effects)
                await until(lambda: not voter.peers.links.peers())
                end(scene, address)
                results = {}
                if call_before_end:
                    results = await self.call_all(group, voter)
                await scene.ended.wait()
                if not call_before_end:
                    results = await self.call_all(group, voter)
                await self.wait_told(results)
                group.cancel_scope.cancel()
            return results

        self.check_told(anyio.run(main))

    def test_a_call_that_sends_after_the_end_is_told(self):
        """Guards against a send over links whose task group has ended."""
        self.run_unlinked(call_before_end=True)

    def test_a_call_that_begins_after_the_end_is_told(self):
        """Guards against a request to a core that nothing runs any more."""
        self.run_unlinked(call_before_end=False)

    def test_a_call_after_a_broken_protocol_is_told(self):
        """Guards against a send by a call that follows a broken protocol."""
        self.run_unlinked(call_before_end=False, end=break_protocol)

    def test_a_call_after_a_cancelled_group_is_told(self):
        """Guards against a call of a voter that was stopped without an error."""
        self.run_unlinked(call_before_end=False, end=cancel_group)

    def test_a_call_while_the_group_is_cancelled_is_told(self):
        """Guards against a call between the failed write and the end of the group."""

        async def main():
            release = anyio.Event()

            async def linger():
                with anyio.CancelScope(shield=True):
                    await release.wait()

            address = free_address()
            async with anyio.create_task_group() as group, running_voter() as scene:
                voter = scene.voter
                scene.group.start_soon(linger)
                voter.feed(an_append(address))
                await until(lambda: voter.status()["leader"] == "b")
                fail_disk(scene, address)
                await until(lambda: scene.group.cancel_scope.cancel_called)
                results = await self.call_all(group, voter)
                await self.wait_told(results)
                release.set()
                group.cancel_scope.cancel()
            return results

        self.check_told(anyio.run(main))


class FeedTest(VoterCase):
    def check_feed(self, end):
        async def main():
            async with running_voter() as scene:
                address = free_address()
                scene.voter.feed(an_append(address))
                end(scene, address)
                await scene.ended.wait()
                return scene.voter

        voter = anyio.run(main)
        before = len(voter._effects)
        for event in (events.Tick(), events.TransferLeadership()):
            with self.subTest(event=event), self.assertRaises(VoterFailed):
                voter.feed(event)
        self.assertEqual(len(voter._effects), before)

    def test_an_event_after_a_failed_write_is_refused(self):
        """Guards against events taken into a core whose writes are lost."""
        self.check_feed(fail_disk)

    def test_an_event_after_a_broken_protocol_is_refused(self):
        """Guards against events taken into a core that processed half an event."""
        self.check_feed(break_protocol)

    def test_an_event_after_a_cancelled_group_is_refused(self):
        """Guards against events taken into a core that was stopped."""
        self.check_feed(cancel_group)


class FailingLeaderTest(VoterCase):
    def test_a_followers_call_ends_with_the_leader(self):
        """Guards against followers that wait for a leader whose disk has failed."""

        async def main():
            result = []

            async def main_call(peers, address):
                await outcome_of(
                    lambda: peers.call(
                        address, "propose", "x", now_s() + CALL_TIMEOUT_S
                    ),
                    result,
                )

            async with (
                anyio.create_task_group() as group,
                running_voter(a_lone_disk, LONE_TIMING) as scene,
            ):
                voter = scene.voter
                await until(lambda: voter.status()["role"] == "leader")
                await until(lambda: voter.status()["commit"] == 1)
                scene.disk.is_full = True
                config = VoterConfig("c", free_address(), "key", LONE_TIMING, "2")
                peers = Peers(config, group, None, None)
                peers.start(anyio.Event())
                group.start_soon(main_call, peers, voter.peers.address)
                await scene.ended.wait()
                await self.wait_told({"propose": result})
                group.cancel_scope.cancel()
            return result

        self.assertEqual(anyio.run(main), [None])

    def test_a_leaders_own_caller_is_told(self):
        """Guards against a proposal that waits for its leader's failed write."""

        async def main():
            async with (
                anyio.create_task_group() as group,
                running_voter(a_lone_disk, LONE_TIMING) as scene,
            ):
                await until(lambda: scene.voter.status()["commit"] == 1)
                scene.disk.is_full = True
                results = await self.call_all(group, scene.voter)
                # A lone leader answers a read without a write.
                del results["read"]
                await scene.ended.wait()
                await self.wait_told(results)
                group.cancel_scope.cancel()
            return results

        self.check_told(anyio.run(main))

    def test_a_committed_change_is_answered_although_its_snapshot_fails(self):
        """Guards against a committed change whose caller is told of a failure."""

        async def main():
            result = []
            async with running_voter(
                a_lone_disk_without_snapshots, SNAPSHOT_TIMING
            ) as scene:
                await until(lambda: scene.voter.status()["commit"] == 1)
                await outcome_of(
                    lambda: scene.voter.propose("x", CALL_TIMEOUT_S), result
                )
                await scene.ended.wait()
            return result

        self.assertEqual(anyio.run(main), [2])

    def test_a_follower_gets_the_answer_of_a_leader_whose_snapshot_fails(self):
        """Guards against a committed change whose reply the voter's end drops."""

        async def main():
            results = []
            async with (
                anyio.create_task_group() as group,
                running_voter(a_lone_disk_without_snapshots, SNAPSHOT_TIMING) as scene,
            ):
                voter = scene.voter
                await until(lambda: voter.status()["commit"] == 1)
                config = VoterConfig("c", free_address(), "key", LONE_TIMING, "2")
                peers = Peers(config, group, None, None)
                peers.start(anyio.Event())
                # The read opens the links of both sides.
                for kind in ("read-index", "propose"):
                    await outcome_of(
                        lambda k=kind: peers.call(
                            voter.peers.address, k, "x", now_s() + CALL_TIMEOUT_S
                        ),
                        results,
                    )
                group.cancel_scope.cancel()
            return results

        self.assertEqual(anyio.run(main), [1, 2])


if __name__ == "__main__":
    unittest.main()
