"""Tests of a data folder after its close."""

import errno
import os
import tempfile
import unittest

from builders import (
    FOLDER,
    append_to,
    new_disk,
)

from cherryrudder.quorum.errors import DiskError
from cherryrudder.quorum.files import join_disk, open_disk


class ClosedDiskTest(unittest.TestCase):
    def test_a_closed_disk_refuses_writes(self):
        """Guards against a record that is written into another file after a close."""
        with tempfile.TemporaryDirectory() as folder:
            path = f"{folder}/other"
            join_disk(f"{folder}/data", "a", "10.0.0.1:1")
            disk = open_disk(f"{folder}/data", "a").ok
            disk.close()
            fds = [
                os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC) for _ in range(3)
            ]
            try:
                with self.assertRaises(DiskError):
                    append_to(disk, 1, 1)
                self.assertEqual(os.path.getsize(path), 0)
            finally:
                for fd in fds:
                    os.close(fd)

    def test_a_close_that_fails_releases_the_lock(self):
        """Guards against a folder that stays locked by the process that closed it."""
        for name in ("log", "synced"):
            fake, disk = new_disk()

            def close(fd, fake=fake, name=name):
                fails = fake.handles[fd] is fake.names[name]
                fake.filesystem().close(fd)
                if fails:
                    raise OSError(errno.EIO, "input/output error")

            disk._file._fs = fake.filesystem()._replace(close=close)
            with self.assertRaises(OSError):
                disk.close()
            self.assertEqual(len(fake.handles), 0)
            self.assertTrue(open_disk(FOLDER, "a", fake.filesystem()).is_ok())

    def test_a_second_close_does_nothing(self):
        """Guards against closing another file that got the descriptor."""
        with tempfile.TemporaryDirectory() as folder:
            join_disk(f"{folder}/data", "a", "10.0.0.1:1")
            disk = open_disk(f"{folder}/data", "a").ok
            disk.close()
            with open(f"{folder}/other", "wb") as other:
                disk.close()
                other.write(b"text")


if __name__ == "__main__":
    unittest.main()
