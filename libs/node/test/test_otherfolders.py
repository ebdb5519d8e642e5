"""Data folders that hold files of something else."""

import os
import tempfile
import unittest

from builders import a_voter

from cherryrudder.node import voterdisk
from cherryrudder.quorum.errors import DiskUnavailable
from cherryrudder.quorum.files import LOCK

OWN_FILES = ("log", "log.new", "synced", "snapshot.new", "identity.new", LOCK)


def create_learner(folder):
    """Create the disk of a learner."""
    voterdisk.create_learner(folder, "a", "a:7000")


def create_founder(folder):
    """Create the disk of a founder."""
    founders = tuple(a_voter(vm) for vm in "abc")
    voterdisk.create_founder(folder, "a", "a:7000", founders)


class OtherFolderTest(unittest.TestCase):
    """Guards against emptying a folder that a wrong setting names."""

    def setUp(self):
        root = tempfile.TemporaryDirectory()
        self.addCleanup(root.cleanup)
        self.folder = root.name

    def write(self, *names):
        """Create files in the folder, and the folders that they are in."""
        for name in names:
            path = f"{self.folder}/{name}"
            os.makedirs(os.path.dirname(path), exist_ok=True)
            open(path, "w").close()

    def test_files_of_something_else_are_kept(self):
        self.write("letters/one", "log")
        for create in (create_founder, create_learner):
            with self.assertRaisesRegex(DiskUnavailable, "letters"):
                create(self.folder)
        self.assertEqual(sorted(os.listdir(self.folder)), ["letters", "log"])
        self.assertEqual(os.listdir(f"{self.folder}/letters"), ["one"])

    def test_an_incomplete_disk_is_created_again(self):
        # A mount point has this folder of the file system.
        os.mkdir(f"{self.folder}/lost+found")
        for create in (create_founder, create_learner):
            with self.subTest(create=create.__name__):
                self.write(*OWN_FILES)
                create(self.folder)
                self.assertTrue(voterdisk.is_created(self.folder))
                os.unlink(f"{self.folder}/identity")


if __name__ == "__main__":
    unittest.main()
