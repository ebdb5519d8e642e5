"""Tests of a voter whose state machine fails at a committed entry."""

import unittest

import anyio
import anyio.lowlevel
from builders import KEY, LONE_TIMING, free_address, outcome_of, until
from leaderscenes import an_append_reply, running_leader

from cherryrudder.quorum import events
from cherryrudder.replica.clock import now_s
from cherryrudder.replica.config import VoterConfig
from cherryrudder.replica.errors import VoterFailed
from cherryrudder.replica.peers import Peers

CALL_TIMEOUT_S = 30.0
PATIENCE_S = 1.5
# Turns of the event loop that a call takes to end, with some to spare.
TURNS = 20


def fail_apply(voter):
    """Make the state machine fail at the next command."""

    def apply(state, index, payload):
        raise ValueError("unreadable command")

    voter.machine = voter.machine._replace(apply=apply)


async def wait_told(results, count):
    """Wait until calls have their outcomes, but not as long as they would."""
    with anyio.move_on_after(PATIENCE_S):
        while len(results) < count:
            await anyio.sleep(0.005)


class FailedApplyTest(unittest.TestCase):
    async def commit(self, scene):
        """Commit the proposed entry by a follower's reply."""
        await until(lambda: scene.voter.node.persisted_index == 3)
        fail_apply(scene.voter)
        scene.voter.feed(an_append_reply(scene, 3))

    def test_callers_of_a_voter_that_fails_while_it_closes_are_told(self):
        """Guards against calls that wait for a voter whose end was interrupted."""

        async def main():
            results = []
            async with anyio.create_task_group() as group, running_leader() as scene:
                voter = scene.voter
                for payload in ("x", "y"):
                    group.start_soon(
                        outcome_of,
                        lambda payload=payload: voter.propose(payload, CALL_TIMEOUT_S),
                        results,
                    )
                await until(lambda: voter.node.persisted_index == 4)
                voter.feed(events.Propose("later", "z"))
                fail_apply(voter)
                voter.feed(an_append_reply(scene, 3))
                with self.assertRaises(ValueError):
                    voter.close()
                for _ in range(TURNS):
                    await anyio.lowlevel.checkpoint()
                told = list(results)
                group.cancel_scope.cancel()
            return told

        self.check_told(anyio.run(main), 2)

    def test_a_command_that_was_not_applied_has_no_answer(self):
        """Guards against a commit that is answered without its outcome."""

        async def main():
            results = []
            try:
                async with (
                    anyio.create_task_group() as group,
                    running_leader() as scene,
                ):
                    group.start_soon(
                        outcome_of,
                        lambda: scene.voter.propose("x", CALL_TIMEOUT_S),
                        results,
                    )
                    await self.commit(scene)
                    await wait_told(results, 1)
                    group.cancel_scope.cancel()
            except* ValueError:
                pass
            return results

        self.check_told(anyio.run(main), 1)

    def test_a_followers_caller_gets_no_answer_to_it(self):
        """Guards against a reply that the leader's end makes up."""

        async def main(results):
            async with anyio.create_task_group() as group:
                config = VoterConfig("c", free_address(), KEY, LONE_TIMING, "2")
                peers = Peers(config, group, None, None)
                peers.start(anyio.Event())
                try:
                    async with running_leader() as scene:
                        address = scene.voter.peers.address

                        async def call(kind):
                            deadline_s = now_s() + CALL_TIMEOUT_S
                            return await peers.call(address, kind, "x", deadline_s)

                        # The answer to an unknown kind opens the link back.
                        await outcome_of(lambda: call("none"), results)
                        group.start_soon(outcome_of, lambda: call("propose"), results)
                        await self.commit(scene)
                        await wait_told(results, 2)
                except* ValueError:
                    pass
                await wait_told(results, 2)
                group.cancel_scope.cancel()
            return results

        self.assertEqual(anyio.run(main, []), [None, None])

    def check_told(self, results, count):
        self.assertEqual(len(results), count)
        for result in results:
            self.assertIsInstance(result, VoterFailed)


if __name__ == "__main__":
    unittest.main()
