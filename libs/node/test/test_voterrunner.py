"""Tests of the voter's runner: failures that are tried again."""

import errno
import socket
import tempfile
import unittest
from unittest import mock

import anyio
from builders import PipedSink, a_control

from cherryrudder.node import voterrunner
from cherryrudder.quorum import files
from cherryrudder.quorum.errors import DiskError

TIMEOUT_S = 20.0


class RetryTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.pipe = PipedSink()
        self.addCleanup(self.pipe.close)
        self.state = a_control(self.pipe.sink, "127.0.0.1")
        self.state.settings = self.state.settings._replace(data_folder=folder.name)
        with socket.create_server(("127.0.0.1", 0)) as server:
            self.state.log_address = f"127.0.0.1:{server.getsockname()[1]}"
        self.lines = ""
        delay = mock.patch.object(voterrunner, "REOPEN_DELAY_S", 0.02)
        delay.start()
        self.addCleanup(delay.stop)

    def run_voter(self, act):
        """Run the voter while `act` runs."""

        async def main():
            with anyio.fail_after(TIMEOUT_S):
                async with anyio.create_task_group() as group:
                    group.start_soon(voterrunner.run, self.state, lambda: None)
                    await act()
                    group.cancel_scope.cancel()

        anyio.run(main)

    async def wait_for(self, text):
        """Wait until a text is in the log."""
        while text not in self.lines:
            await anyio.sleep(0.01)
            self.lines += self.pipe.text()

    def test_an_address_in_use_is_tried_again(self):
        """Guards against a process that ends as its log address is in use."""

        async def act():
            port = int(self.state.log_address.rpartition(":")[2])
            with socket.create_server(("127.0.0.1", port)):
                await self.wait_for("Address already in use")
            while not is_listening(port):
                await anyio.sleep(0.01)
            self.assertIsNotNone(self.state.voter)

        self.run_voter(act)

    def test_an_opening_without_descriptors_is_tried_again(self):
        """Guards against a process that ends as it has no descriptors left."""
        real = files.real_filesystem()

        def fail(path):
            raise OSError(errno.EMFILE, "too many open files")

        async def act():
            failing = real._replace(open=fail)
            with mock.patch.object(files, "real_filesystem", lambda: failing):
                await self.wait_for("too many open files")
            await self.wait_for('"open"')

        self.run_voter(act)

    def test_a_disk_that_fails_to_close_is_opened_again(self):
        """Guards against a process that ends as its disk can't be closed."""
        close = files.Disk.close

        def fail(disk):
            close(disk)
            raise OSError(errno.EIO, "input/output error")

        async def act():
            await self.wait_for('"open"')
            with mock.patch.object(files.Disk, "close", fail):
                self.state.voter.group.start_soon(raise_disk_error)
                await self.wait_for("input/output error")
            self.lines = ""
            await self.wait_for('"open"')

        self.run_voter(act)

    def test_a_voter_that_ends_by_any_error_is_opened_again(self):
        """Guards against a process that ends as its voter can't apply an entry."""

        async def act():
            await self.wait_for('"open"')
            self.state.voter.group.start_soon(raise_value_error)
            await self.wait_for("unreadable entry")
            self.lines = ""
            await self.wait_for('"open"')

        self.run_voter(act)

    def test_the_innermost_errors_are_logged(self):
        """Guards against a log that says "unhandled errors" instead of the cause."""

        async def fail_nested():
            raise ExceptionGroup("unhandled errors", [DiskError("data: the cause")])

        async def act():
            await self.wait_for('"open"')
            self.state.voter.group.start_soon(fail_nested)
            await self.wait_for('"lost"')

        self.run_voter(act)
        self.assertIn("data: the cause", self.lines)
        self.assertNotIn("unhandled errors", self.lines)


def is_listening(port):
    try:
        socket.create_connection(("127.0.0.1", port), 1.0).close()
    except ConnectionRefusedError:
        return False
    return True


async def raise_value_error():
    """Fail as a state machine does that can't decode an entry."""
    raise ValueError("unreadable entry")


async def raise_disk_error():
    raise DiskError("data: no space left on device")
