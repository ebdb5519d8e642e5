"""Tests of changes of the voters whose outcome isn't known."""

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
from cherryrudder.replica.errors import NoQuorum
from cherryrudder.replica.peers import Peers

CALL_TIMEOUT_S = 5.0
PATIENCE_S = 1.5
NEW_VOTER = events.Voter("d", "disk-d", "127.0.0.1:3")


class DeposedLeaderTest(unittest.TestCase):
    """Guards against "refused" for a change that the next leader has in its log."""

    def run_deposed(self, call):
        """Depose a leader that has sent a change; return what its caller is told."""

        async def main():
            result, asked = [], []

            async def refuse(kind, value):
                asked.append(kind)
                return False

            async with anyio.create_task_group() as group, running_leader() as scene:
                voter = scene.voter
                config = VoterConfig("b", free_address(), KEY, LONE_TIMING, "2")
                peers = Peers(config, group, lambda *_: None, refuse)
                peers.start(anyio.Event())
                group.start_soon(outcome_of, lambda: call(voter), result)
                await until(lambda: voter.node.persisted_index == 3)
                term = voter.node.term + 1
                voter.feed(an_append(peers.address, prev_index=2, term=term))
                self.assertEqual(voter.status()["leader_address"], peers.address)
                await until(lambda: result)
                group.cancel_scope.cancel()
            return result[0], asked

        return anyio.run(main)

    def test_its_own_caller_is_told_that_the_outcome_is_unknown(self):
        outcome, asked = self.run_deposed(
            lambda voter: voter.change_voters("add-learner", NEW_VOTER, CALL_TIMEOUT_S)
        )
        self.assertIsInstance(outcome, NoQuorum)
        self.assertEqual(asked, [])

    def test_a_followers_caller_is_told_that_the_outcome_is_unknown(self):
        async def call(voter):
            async with anyio.create_task_group() as group:
                config = VoterConfig("c", free_address(), KEY, LONE_TIMING, "3")
                peers = Peers(config, group, None, None)
                peers.start(anyio.Event())
                value = {"action": "add-learner", "voter": NEW_VOTER}
                deadline_s = now_s() + CALL_TIMEOUT_S
                answer = await peers.call(
                    voter.peers.address, "voters", value, deadline_s
                )
                group.cancel_scope.cancel()
            return answer

        outcome, _ = self.run_deposed(call)
        self.assertIsNone(outcome)


class LostReplyTest(unittest.TestCase):
    def test_a_commit_without_a_link_for_its_reply_is_told_as_unknown(self):
        """Guards against a follower's call that waits for a reply that was dropped."""

        async def main():
            results = []
            async with anyio.create_task_group() as group, running_leader() as scene:
                voter = scene.voter
                config = VoterConfig("c", free_address(), KEY, LONE_TIMING, "3")
                peers = Peers(config, group, None, None)
                peers.start(anyio.Event())
                value = {"action": "add-learner", "voter": NEW_VOTER}
                deadline_s = now_s() + CALL_TIMEOUT_S
                group.start_soon(
                    outcome_of,
                    lambda: peers.call(
                        voter.peers.address, "voters", value, deadline_s
                    ),
                    results,
                )
                await until(lambda: voter.node.persisted_index == 3)
                voter.feed(events.Propose("later", "y"))
                voter.feed(an_append_reply(scene, 3))
                scene.disk.is_full = True
                await scene.ended.wait()
                self.assertEqual(voter.status()["commit"], 3)
                with anyio.fail_after(PATIENCE_S):
                    await until(lambda: results)
                group.cancel_scope.cancel()
            return results

        self.assertEqual(anyio.run(main), [None])


if __name__ == "__main__":
    unittest.main()
