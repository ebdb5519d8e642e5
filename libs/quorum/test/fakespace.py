"""Files of a fake disk that has no more space from one write on."""

import errno


class FullDisk:
    """Refuses writes that need more space; other operations succeed.

    A refused write leaves its first `kept_bytes`, as far as the file's size allows.
    Space that is freed can be used again.
    """

    def __init__(self, fake, full_at, kept_bytes=0):
        self._fake = fake
        self._fs = fake.filesystem()
        self._full_at = full_at
        self._kept_bytes = kept_bytes
        self._capacity = None
        self.writes = 0

    def filesystem(self):
        """Return the operations."""
        return self._fs._replace(write=self._write)

    def _used(self):
        files = {id(f): f for f in (*self._fake.names.values(), *self._open_files())}
        return sum(len(file.data) for file in files.values())

    def _open_files(self):
        return self._fake.handles.values()

    def _write(self, fd, offset, data):
        self.writes += 1
        if self.writes == self._full_at:
            self._capacity = self._used() + self._kept_bytes
        size = len(self._fake.handles[fd].data)
        needed = max(0, offset + len(data) - size)
        if self._capacity is not None and self._used() + needed > self._capacity:
            room = max(0, self._capacity - self._used())
            self._fs.write(fd, offset, data[: max(0, size - offset) + room])
            raise OSError(errno.ENOSPC, "no space left on device")
        self._fs.write(fd, offset, data)
