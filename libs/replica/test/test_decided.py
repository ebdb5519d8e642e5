"""Tests of answers that the core gave before the voter's end."""

import unittest

import anyio
from builders import (
    KEY,
    LONE_TIMING,
    an_append,
    free_address,
    outcome_of,
    until,
)
from leaderscenes import an_append_reply, running_leader

from cherryrudder.quorum import events
from cherryrudder.replica.clock import now_s
from cherryrudder.replica.config import VoterConfig
from cherryrudder.replica.errors import VoterFailed
from cherryrudder.replica.peers import Peers

CALL_TIMEOUT_S = 30.0
PATIENCE_S = 1.5
NEW_VOTER = events.Voter("d", "disk-d", "127.0.0.1:3")
CHANGES = {
    "propose": (lambda voter: voter.propose("x", CALL_TIMEOUT_S), 3),
    "voters": (
        lambda voter: voter.change_voters("add-learner", NEW_VOTER, CALL_TIMEOUT_S),
        True,
    ),
}


def fail_write(scene):
    """Make the write fail that is next."""
    scene.disk.is_full = True


def close(scene):
    """End the voter as a daemon does before it closes the disk."""
    scene.voter.close()
    scene.group.cancel_scope.cancel()


def cancel_group(scene):
    """End the voter as a process that stops does."""
    scene.group.cancel_scope.cancel()


def break_protocol(scene):
    """Pass in a message of a second leader of the same term."""
    with unittest.TestCase().assertRaises(VoterFailed):
        scene.voter.feed(an_append("127.0.0.1:1", term=scene.voter.node.term))


ENDS = (fail_write, close, cancel_group, break_protocol)


class AnswerBehindWriteTest(unittest.TestCase):
    """Guards against a change in force whose caller is told that the voter ended."""

    async def end_with_answer_behind_write(self, scene, end):
        """End a voter whose queue has a write, and behind it a commit's answer."""
        voter = scene.voter
        await until(lambda: voter.node.persisted_index == 3)
        voter.feed(events.Propose("later", "y"))
        voter.feed(an_append_reply(scene, 3))
        self.assertEqual(voter.status()["commit"], 3)
        end(scene)
        await scene.ended.wait()

    async def wait_told(self, result):
        with anyio.move_on_after(PATIENCE_S):
            while not result:
                await anyio.sleep(0.005)

    def test_a_commit_is_answered_whatever_ends_the_voter(self):
        async def main(call, end):
            result = []
            async with anyio.create_task_group() as group, running_leader() as scene:
                group.start_soon(outcome_of, lambda: call(scene.voter), result)
                await self.end_with_answer_behind_write(scene, end)
                await self.wait_told(result)
                group.cancel_scope.cancel()
            return result

        for name, (call, expected) in CHANGES.items():
            for end in ENDS:
                with self.subTest(call=name, end=end.__name__):
                    self.assertEqual(anyio.run(main, call, end), [expected])

    def test_the_change_without_majority_is_told_of_the_end(self):
        """Guards against an answer to the write that failed."""

        async def main(end):
            result = []
            async with anyio.create_task_group() as group, running_leader() as scene:
                call = CHANGES["propose"][0]
                group.start_soon(outcome_of, lambda: call(scene.voter), result)
                await until(lambda: scene.voter.node.persisted_index == 3)
                end(scene)
                if end is fail_write:
                    scene.voter.feed(events.Propose("later", "y"))
                await scene.ended.wait()
                await self.wait_told(result)
                group.cancel_scope.cancel()
            return result

        for end in ENDS:
            with self.subTest(end=end.__name__):
                self.assertIsInstance(anyio.run(main, end)[0], VoterFailed)

    def test_a_followers_caller_gets_the_commit(self):
        async def main():
            results = []
            async with anyio.create_task_group() as group, running_leader() as scene:
                config = VoterConfig("c", free_address(), KEY, LONE_TIMING, "2")
                peers = Peers(config, group, None, None)
                peers.start(anyio.Event())

                async def call(kind):
                    deadline_s = now_s() + CALL_TIMEOUT_S
                    return await peers.call(
                        scene.voter.peers.address, kind, "x", deadline_s
                    )

                # An unknown kind is answered at once, which opens the link back.
                await outcome_of(lambda: call("none"), results)
                group.start_soon(outcome_of, lambda: call("propose"), results)
                await self.end_with_answer_behind_write(scene, fail_write)
                await self.wait_told(results[1:])
                group.cancel_scope.cancel()
            return results

        self.assertEqual(anyio.run(main), [None, 3])


if __name__ == "__main__":
    unittest.main()
