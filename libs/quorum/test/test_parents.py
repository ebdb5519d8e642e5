"""Tests of a data folder whose path or parent folder is unusual."""

import errno
import os
import tempfile
import unittest
from unittest import mock

from fakefolders import UnsyncedFolders

from cherryrudder.quorum.errors import DiskUnavailable
from cherryrudder.quorum.files import join_disk, open_disk

# Errors of folders that can't be synced, however often it is tried.
PERMANENT = (errno.EINVAL, errno.ENOTSUP, errno.ENOSYS, errno.EROFS, errno.EACCES)
PASSING = (errno.EIO, errno.ENOSPC, errno.EMFILE)


def failing_for(operation, folder, code):
    """Return an operation of `os` that fails for one folder, by path or descriptor."""

    def run(target, *arguments, **options):
        path = f"/proc/self/fd/{target}" if isinstance(target, int) else target
        if os.path.realpath(path) == os.path.realpath(folder):
            raise OSError(code, os.strerror(code))
        return operation(target, *arguments, **options)

    return run


class ParentTest(unittest.TestCase):
    """Guards against never opening a data folder whose parent can't be synced."""

    def setUp(self):
        root = tempfile.TemporaryDirectory()
        self.addCleanup(root.cleanup)
        self.root = root.name

    def check_created(self, folder):
        """Create a disk in the folder; a power loss then keeps it."""
        folders = UnsyncedFolders()
        with folders.recorded():
            created = join_disk(folder, "a", "10.0.0.1:1")
        self.assertTrue(created.is_ok(), created)
        folders.crash()
        opened = open_disk(folder, "a")
        self.assertTrue(opened.is_ok(), opened)
        opened.ok.close()

    def create_with_failing_parent(self, name, code):
        """Create a disk in an existing folder whose parent can't be synced."""
        parent = f"{self.root}/{name}-{code}"
        os.makedirs(f"{parent}/data")
        failing = failing_for(getattr(os, name), parent, code)
        with mock.patch.object(os, name, failing):
            return join_disk(f"{parent}/data", "a", "10.0.0.1:1")

    def test_a_mount_point_whose_parent_cannot_be_synced_is_used(self):
        """Guards against a voter that never opens its disk below such a parent."""
        for code in PERMANENT:
            for name in ("open", "fsync"):
                with self.subTest(code=errno.errorcode[code], name=name):
                    created = self.create_with_failing_parent(name, code)
                    self.assertTrue(created.is_ok(), created)

    def test_a_parent_that_fails_to_sync_is_tried_again(self):
        """Guards against a folder that a power loss removes after such a failure."""
        for code in PASSING:
            for name in ("open", "fsync"):
                with self.subTest(code=errno.errorcode[code], name=name):
                    created = self.create_with_failing_parent(name, code)
                    self.assertIsInstance(created.error, DiskUnavailable)

    def test_a_path_that_leaves_a_linked_folder_is_created(self):
        """Guards against a folder that is made elsewhere than it is opened."""
        os.makedirs(f"{self.root}/b/c")
        os.makedirs(f"{self.root}/a")
        os.symlink(f"{self.root}/b/c", f"{self.root}/a/link")
        self.check_created(f"{self.root}/a/link/../data")
        self.assertEqual(os.listdir(f"{self.root}/a"), ["link"])

    def test_a_link_to_a_folder_that_is_missing_or_empty_is_used(self):
        for is_missing in (True, False):
            with self.subTest(is_missing=is_missing):
                target = f"{self.root}/target-{is_missing}"
                if not is_missing:
                    os.mkdir(target)
                os.symlink(target, f"{target}-link")
                self.check_created(f"{target}-link")


if __name__ == "__main__":
    unittest.main()
