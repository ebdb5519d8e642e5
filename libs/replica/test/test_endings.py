"""Tests of a voter that ends in each turn of the event loop of its calls."""

import contextlib
import itertools
import unittest
from unittest import mock

import anyio
import anyio.lowlevel
from builders import (
    LONE_TIMING,
    SilentLeader,
    a_lone_disk,
    an_append,
    an_entry,
    outcome_of,
    running_voter,
    until,
)

from cherryrudder.quorum import events
from cherryrudder.replica import voter as voter_module
from cherryrudder.replica.errors import NoQuorum, VoterFailed

CALL_TIMEOUT_S = 30.0
PATIENCE_S = 1.5
TURNS = 14
NEW_VOTER = events.Voter("d", "disk-d", "127.0.0.1:3")
CALLS = (
    lambda voter: voter.wait_for_read_index(CALL_TIMEOUT_S),
    lambda voter: voter.propose("x", CALL_TIMEOUT_S),
    lambda voter: voter.change_voters("add-learner", NEW_VOTER, CALL_TIMEOUT_S),
)


@contextlib.asynccontextmanager
async def running_leader():
    """Run a lone leader."""
    async with running_voter(a_lone_disk, LONE_TIMING) as scene:
        await until(lambda: scene.voter.status()["commit"] == 1)
        scene.provoke_write = lambda: scene.voter.feed(events.Propose("other", "y"))
        yield scene


@contextlib.asynccontextmanager
async def running_follower(is_linked):
    """Run a follower whose leader answers no call, with or without a link to it."""
    leader = SilentLeader()
    async with anyio.create_task_group() as group, running_voter() as scene:
        if is_linked:
            group.start_soon(leader.listen, anyio.Event())
        scene.voter.feed(an_append(leader.address))
        await until(lambda: scene.voter.status()["leader"] == "b")
        if is_linked:
            await until(lambda: leader.address in scene.voter.peers.links.peers())
        message = an_append(leader.address, [an_entry(2)])
        scene.provoke_write = lambda: scene.voter.feed(message)
        yield scene
        group.cancel_scope.cancel()


ROLES = {
    "leader": running_leader,
    "linked follower": lambda: running_follower(True),
    "follower": lambda: running_follower(False),
}


def fail_write(scene):
    """Make the write fail that is next."""
    scene.disk.is_full = True
    with contextlib.suppress(VoterFailed):
        scene.provoke_write()


def cancel_group(scene):
    """End the voter as a process that stops does."""
    scene.group.cancel_scope.cancel()


def close(scene):
    """End the voter as a daemon does before it closes the disk."""
    scene.voter.close()
    scene.group.cancel_scope.cancel()


class EveryTurnTest(unittest.TestCase):
    async def run_calls(self, run_role, end, turns, is_inside):
        results = [[] for _ in CALLS]
        with anyio.fail_after(10):
            async with anyio.create_task_group() as group, run_role() as scene:
                calling = scene.group if is_inside else group
                for call, result in zip(CALLS, results, strict=True):
                    calling.start_soon(
                        outcome_of, lambda c=call: c(scene.voter), result
                    )
                for _ in range(turns):
                    await anyio.lowlevel.checkpoint()
                end(scene)
                await scene.ended.wait()
                with anyio.move_on_after(PATIENCE_S):
                    while not is_inside and not all(results):
                        await anyio.sleep(0.005)
                group.cancel_scope.cancel()
        return scene, results

    def check(self, is_inside):
        cases = itertools.product(
            ROLES, (fail_write, cancel_group, close), range(TURNS)
        )
        for role, end, turns in cases:
            with self.subTest(role=role, end=end.__name__, turns=turns):
                scene, (read, proposed, changed) = anyio.run(
                    self.run_calls, ROLES[role], end, turns, is_inside
                )
                self.assertFalse(scene.voter._waiting)
                self.assertFalse(scene.voter.peers._waiting)
                if is_inside:
                    continue
                for result in (read, proposed, changed):
                    self.assertTrue(result, "the call still waits")
                    self.assertIsInstance(result[0], (VoterFailed, NoQuorum, int))
                is_in_force = "x" in scene.voter.state
                self.assertEqual(is_in_force, not isinstance(proposed[0], VoterFailed))

    def test_callers_outside_the_group_are_told(self):
        """Guards against calls that wait for, or fall with, a voter that ended."""
        with mock.patch.object(voter_module, "ATTEMPT_TIMEOUT_S", CALL_TIMEOUT_S):
            self.check(is_inside=False)

    def test_callers_inside_the_group_end_with_it(self):
        """Guards against a voter that its own tasks keep from ending."""
        with mock.patch.object(voter_module, "ATTEMPT_TIMEOUT_S", CALL_TIMEOUT_S):
            self.check(is_inside=True)


if __name__ == "__main__":
    unittest.main()
