"""Tests of the creation of a control VM's data folder."""

import os
import tempfile
import unittest
from unittest import mock

from builders import a_voter

from cherryrudder.node import voterdisk


class DurableFolderTest(unittest.TestCase):
    def test_the_new_folders_parents_are_synced(self):
        """Guards against a founder that a power loss makes a never created one."""
        fsync = os.fsync
        synced = set()

        def record(fd):
            fsync(fd)
            synced.add(os.path.realpath(f"/proc/self/fd/{fd}"))

        with (
            tempfile.TemporaryDirectory() as root,
            mock.patch.object(os, "fsync", record),
        ):
            folder = f"{root}/deeper/data"
            founders = tuple(a_voter(vm) for vm in "abc")
            voterdisk.create_founder(folder, "a", "a:7000", founders)
            self.assertLessEqual({root, f"{root}/deeper", folder}, synced)


if __name__ == "__main__":
    unittest.main()
