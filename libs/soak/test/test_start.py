import unittest
from types import SimpleNamespace
from unittest import mock

import anyio

from cherryrudder.soak import run


class StubOperator:
    """An operator whose changes are acknowledged from some try on."""

    def __init__(self, first_acknowledged):
        self.acks = []
        self.changes = 0
        self._first_acknowledged = first_acknowledged

    async def change(self):
        self.changes += 1
        await anyio.sleep(0.0)
        if self.changes >= self._first_acknowledged:
            self.acks.append(self.changes)


async def nothing(*_):
    """Do nothing, in place of starting processes and waiting for them."""


class StartTest(unittest.TestCase):
    """Guards against a run whose slow processes never get a configuration."""

    def start(self, operator):
        deployment = SimpleNamespace(folder="")
        testbed = SimpleNamespace(
            start=nothing,
            extra_answers=[],
            deployment=deployment,
            unexpected_exits=list,
        )
        with mock.patch.object(run, "wait_served", nothing):
            anyio.run(run._start, testbed, operator)

    def test_a_change_is_repeated_until_it_is_acknowledged(self):
        operator = StubOperator(3)
        self.start(operator)
        self.assertEqual(operator.acks, [3])

    def test_a_start_without_an_acknowledgement_ends_in_time(self):
        operator = StubOperator(float("inf"))
        with (
            mock.patch.object(run, "START_TIMEOUT_S", 0.1),
            self.assertRaisesRegex(TimeoutError, "acknowledged 0"),
        ):
            self.start(operator)
