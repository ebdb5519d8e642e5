"""In-memory disk that loses unsynced data when power fails."""

import errno
import itertools

from cherryrudder.quorum.filesystem import FileSystem


class PowerLoss(Exception):
    """The fake disk has reached the operation at which power fails."""


class FakeFile:
    """A file's content as a process reads it, and the writes since the last sync."""

    def __init__(self):
        self.data = bytearray()
        self.synced = b""
        self.pending = []
        # Offsets of bytes that readers see and no sync writes.
        self.forgotten = set()

    def write(self, offset, data):
        self.forgotten -= set(range(offset, offset + len(data)))
        self.data[offset : offset + len(data)] = data
        self.pending.append((offset, bytes(data)))

    def truncate(self, size):
        self.forgotten = {offset for offset in self.forgotten if offset < size}
        del self.data[size:]
        self.pending.append((size, None))

    def sync(self):
        self.synced = bytes(self.data)
        self.pending = []

    def forget(self):
        """Drop the unsynced writes, as a failed sync does; readers still see them."""
        for offset, data in self.pending:
            self.forgotten |= set(range(offset, offset + len(data or b"")))
        self.pending = []

    def crash(self, rng):
        """Keep a random part of the unsynced writes; the last one may be torn."""
        self.data = bytearray(self.synced)
        for offset in self.forgotten:
            self.data[offset : offset + 1] = bytes(offset < len(self.data))
        self.forgotten = set()
        kept = [write for write in self.pending if rng.random() < 0.5]
        for number, (offset, data) in enumerate(kept):
            if data is None:
                del self.data[offset:]
                continue
            if number == len(kept) - 1 and rng.random() < 0.5:
                data = data[: rng.randrange(len(data) + 1)]
            gap = offset - len(self.data)
            self.data += bytes(max(0, gap))
            self.data[offset : offset + len(data)] = data
        self.sync()


class FakeDisk:
    """One folder; a rename is durable only once the folder is synced."""

    def __init__(self):
        self.names = {}
        self.durable = {}
        self.handles = {}
        self.locked = set()
        self.numbers = itertools.count()
        self.operations = 0
        self.power_loss_at = None

    def filesystem(self):
        return FileSystem(
            make_folder=lambda path: None,
            list_folder=lambda path: sorted(self.names),
            sync_folder=self._sync_folder,
            open=self._open,
            lock=self._lock,
            read=lambda fd: bytes(self.handles[fd].data),
            write=self._write,
            truncate=lambda fd, size: self._do(self.handles[fd].truncate, size),
            sync=lambda fd: self._do(self.handles[fd].sync),
            close=self._close,
            rename=self._rename,
        )

    def crash(self, rng):
        """Simulate a power loss: each unsynced write and rename is kept or lost."""
        for name in set(self.names) | set(self.durable):
            if rng.random() < 0.5 or self.names.get(name) is None:
                self._revert(name)
        files = {id(file): file for file in self.names.values()}
        for file in files.values():
            file.crash(rng)
        self.durable = dict(self.names)
        self.handles.clear()
        self.locked.clear()
        self.power_loss_at = None

    def _revert(self, name):
        if name in self.durable:
            self.names[name] = self.durable[name]
        else:
            self.names.pop(name, None)

    def _do(self, operation, *arguments):
        self.operations += 1
        if self.power_loss_at is not None and self.operations >= self.power_loss_at:
            raise PowerLoss
        return operation(*arguments)

    def _write(self, fd, offset, data):
        try:
            self._do(self.handles[fd].write, offset, data)
        except PowerLoss:
            # The write was in progress; `crash` decides how much of it is kept.
            self.handles[fd].write(offset, data)
            raise

    def _open(self, path):
        name = path.rpartition("/")[2]
        fd = next(self.numbers)
        self.handles[fd] = self.names.setdefault(name, FakeFile())
        return fd

    def _close(self, fd):
        self.locked.discard(fd)
        del self.handles[fd]

    def _lock(self, fd):
        if self.locked:
            raise OSError("locked")
        self.locked.add(fd)

    def _rename(self, old, new):
        self._do(self._move, old.rpartition("/")[2], new.rpartition("/")[2])

    def _move(self, old, new):
        self.names[new] = self.names.pop(old)

    def _sync_folder(self, path):
        self._do(self._sync_names)

    def _sync_names(self):
        self.durable = dict(self.names)


class FullFileSystem:
    """Files of a fake disk that is full from one changing operation on."""

    def __init__(self, disk, full_at, kept_bytes):
        self._fs = disk.filesystem()
        self._operations = 0
        self._full_at = full_at
        self._kept_bytes = kept_bytes

    def filesystem(self):
        """Return the operations; once full, each that changes the disk fails."""
        return self._fs._replace(
            write=self._write,
            truncate=self._checked(self._fs.truncate),
            sync=self._checked(self._fs.sync),
            rename=self._checked(self._fs.rename),
            sync_folder=self._checked(self._fs.sync_folder),
        )

    def _checked(self, operation):
        def run(*arguments):
            self._check()
            return operation(*arguments)

        return run

    def _write(self, fd, offset, data):
        try:
            self._check()
        except OSError:
            self._fs.write(fd, offset, data[: self._kept_bytes])
            raise
        self._fs.write(fd, offset, data)

    def _check(self):
        self._operations += 1
        if self._operations >= self._full_at:
            raise OSError(errno.ENOSPC, "no space left on device")
