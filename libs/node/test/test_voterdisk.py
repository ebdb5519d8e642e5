import errno
import os
import tempfile
import unittest
from types import SimpleNamespace
from unittest import mock

import anyio
from builders import PipedSink, a_control, a_voter

from cherryrudder.node import voterdisk, voterrunner
from cherryrudder.quorum import files
from cherryrudder.quorum.errors import DiskError


class DiskTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = f"{folder.name}/data"
        self.pipe = PipedSink()
        self.addCleanup(self.pipe.close)

    def open(self):
        return voterdisk.open_or_replace(self.folder, "a", "a:7000", self.pipe.sink)

    def test_founders_name_the_same_voters(self):
        founders = tuple(a_voter(vm) for vm in "abc")
        voterdisk.create_founder(self.folder, "a", "a:7000", founders)
        self.assertTrue(voterdisk.is_created(self.folder))
        disk = self.open()
        self.assertEqual(disk.saved.identity.voters, founders)
        disk.close()

    def test_an_interrupted_creation_begins_again(self):
        """The power fails while a disk is created, and the folder holds parts of it.

        Without its identity it never voted, so it may be created again. Otherwise the
        VM could never start.
        """
        os.makedirs(self.folder)
        with open(f"{self.folder}/log", "wb") as file:
            file.write(b"torn")
        voterdisk.create_learner(self.folder, "a", "a:7000")
        self.open().close()

    def test_a_damaged_disk_joins_as_a_new_one(self):
        """A disk is damaged before its end: committed entries are lost.

        If it kept voting under its name, two majorities could disagree. It counts as
        lost, and the VM joins with a new disk.
        """
        voterdisk.create_learner(self.folder, "a", "a:7000")
        disk = self.open()
        before = disk.saved.identity.disk_id
        disk.close()
        with open(f"{self.folder}/identity", "wb") as file:
            file.write(b"damage")
        disk = self.open()
        self.assertNotEqual(disk.saved.identity.disk_id, before)
        disk.close()
        self.assertIn("disk-damaged", self.pipe.text())

    def test_a_disk_in_use_is_not_replaced(self):
        """Guards against a living process whose disk another process wipes."""
        voterdisk.create_learner(self.folder, "a", "a:7000")
        disk = self.open()
        self.addCleanup(disk.close)
        with open(f"{self.folder}/identity", "rb") as file:
            before = file.read()
        with self.assertRaises(DiskError):
            self.open().close()
        with open(f"{self.folder}/identity", "rb") as file:
            self.assertEqual(file.read(), before)

    def test_a_founder_whose_disk_was_damaged_and_full_gets_a_new_identity(self):
        """Guards against a founder that returns empty under its old disk id."""
        state = a_control(self.pipe.sink, "127.0.0.1")
        state.settings = state.settings._replace(
            data_folder=self.folder, is_founding=True, seeds=("127.0.0.1:1",)
        )
        state.seed_addresses = (state.address,)
        state.roster = SimpleNamespace(seeds=(), peers={})
        vm = state.settings.vm
        disk = anyio.run(voterrunner._open_disk, state)
        founder_id = disk.saved.identity.disk_id
        self.assertEqual(founder_id, f"{vm}-founder")
        disk.close()
        with open(f"{self.folder}/log", "r+b") as file:
            file.write(b"damage")

        def fail(fd, offset, data):
            raise OSError(errno.ENOSPC, "no space left on device")

        full = files.real_filesystem()._replace(write=fail)
        with mock.patch.object(files, "real_filesystem", lambda: full):
            with self.assertRaises(DiskError):
                anyio.run(voterrunner._open_disk, state)
        disk = anyio.run(voterrunner._open_disk, state)
        self.addCleanup(disk.close)
        self.assertNotEqual(disk.saved.identity.disk_id, founder_id)
