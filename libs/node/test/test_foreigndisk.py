"""Tests of a data folder that belongs to another VM."""

import tempfile
import unittest
from pathlib import Path

from builders import PipedSink

from cherryrudder.node import voterdisk
from cherryrudder.quorum.errors import ForeignDisk
from cherryrudder.quorum.events import Entry, Persist
from cherryrudder.quorum.files import open_disk, replace_disk


class ForeignDiskTest(unittest.TestCase):
    """Guards against a VM that wipes the disk of another one."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = f"{folder.name}/data"
        self.pipe = PipedSink()
        self.addCleanup(self.pipe.close)
        voterdisk.create_learner(self.folder, "a", "a:7000")
        disk = open_disk(self.folder, "a").ok
        disk.persist(Persist(1, 1, "", (Entry(1, 1, "command", "x"),)))
        disk.close()

    def content(self):
        """Return the folder's files."""
        return {path.name: path.read_bytes() for path in Path(self.folder).iterdir()}

    def open(self):
        """Open the folder as another VM."""
        return voterdisk.open_or_replace(self.folder, "b", "b:7000", self.pipe.sink)

    def test_an_intact_disk_is_kept(self):
        before = self.content()
        with self.assertRaisesRegex(ForeignDisk, "the disk of VM a, not of b"):
            self.open().close()
        self.assertEqual(self.content(), before)
        self.assertNotIn("disk-damaged", self.pipe.text())

    def test_a_damaged_disk_is_kept(self):
        log = Path(self.folder, "log")
        log.write_bytes(b"damage" + log.read_bytes()[6:])
        before = self.content()
        with self.assertRaises(ForeignDisk):
            self.open().close()
        self.assertEqual(self.content(), before)

    def test_a_replacement_refuses_it(self):
        before = self.content()
        result = replace_disk(self.folder, "b", "b:7000")
        self.assertIsInstance(result.error, ForeignDisk)
        self.assertEqual(self.content(), before)

    def test_its_own_vm_opens_it_afterwards(self):
        with self.assertRaises(ForeignDisk):
            self.open().close()
        disk = open_disk(self.folder, "a").ok
        self.addCleanup(disk.close)
        self.assertEqual(len(disk.saved.entries), 1)


if __name__ == "__main__":
    unittest.main()
