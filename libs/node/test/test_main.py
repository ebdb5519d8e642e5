"""Tests of how a process of a role ends."""

import json
import os
import types
import unittest
from unittest import mock

import anyio
from builders import some_settings

from cherryrudder.node import main


class FailedProcessTest(unittest.TestCase):
    """Guards against a process that ends by an error and leaves no line about it."""

    def run_role(self, role):
        """Run a role in this process; return its lines and the error that ended it."""
        module = types.SimpleNamespace(run=role)
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        sink = main.LineSink(writing)
        with (
            mock.patch.object(main, "load_settings", lambda path: some_settings()),
            mock.patch.object(main, "LineSink", lambda **head: sink),
            mock.patch.object(main, "take_over_logs"),
            mock.patch.object(main.importlib, "import_module", lambda *_: module),
            self.assertRaises(BaseExceptionGroup) as raised,
        ):
            anyio.run(main.run, "control", "settings.toml")
        os.close(writing)
        with os.fdopen(os.dup(reading)) as lines:
            return [json.loads(line) for line in lines], raised.exception

    def test_the_last_line_names_the_error_and_its_place(self):
        async def fail(*_):
            async with anyio.create_task_group() as group:
                group.start_soon(self.raise_overflow)

        lines, _ = self.run_role(fail)
        self.assertEqual((lines[-1]["part"], lines[-1]["event"]), ("process", "failed"))
        (error,) = lines[-1]["errors"]
        self.assertIn("OverflowError('too large') in test_main.py:", error)
        self.assertIn("raise_overflow", error)

    async def raise_overflow(self):
        raise OverflowError("too large")


if __name__ == "__main__":
    unittest.main()
