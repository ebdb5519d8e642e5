"""Tests of answers that arrive together with a failure."""

import unittest

import anyio

from cherryrudder.replica.clock import now_s
from cherryrudder.replica.errors import VoterFailed
from cherryrudder.replica.pending import Pending

TIMEOUT_S = 5.0


def wait_for_outcome(*outcomes):
    """Apply the outcomes before the waiting task runs; return what it gets."""

    async def main():
        pending, got = Pending(), []

        async def wait():
            try:
                got.append(await pending.wait(now_s() + TIMEOUT_S))
            except VoterFailed as error:
                got.append(error)

        async with anyio.create_task_group() as group:
            group.start_soon(wait)
            await anyio.wait_all_tasks_blocked()
            for outcome in outcomes:
                outcome(pending)
        return got[0]

    return anyio.run(main)


class FirstOutcomeTest(unittest.TestCase):
    def test_an_answer_outlasts_the_end_of_the_voter(self):
        """Guards against a committed change whose caller is told of a failure."""
        got = wait_for_outcome(
            lambda p: p.resolve("committed"), lambda p: p.fail(VoterFailed("full"))
        )
        self.assertEqual(got, "committed")

    def test_an_answer_outlasts_the_loss_of_the_leaders_link(self):
        """Guards against an answer that its link's end, in the same turn, erases."""
        got = wait_for_outcome(
            lambda p: p.resolve("committed"), lambda p: p.resolve(None)
        )
        self.assertEqual(got, "committed")

    def test_a_failure_outlasts_a_late_answer(self):
        """Guards against the answer of a leader to a voter that has ended."""
        got = wait_for_outcome(
            lambda p: p.fail(VoterFailed("full")), lambda p: p.resolve("committed")
        )
        self.assertIsInstance(got, VoterFailed)


if __name__ == "__main__":
    unittest.main()
