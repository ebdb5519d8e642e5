"""File operations that the disk files need, as an interface that tests can fake."""

import errno
import fcntl
import os
from collections.abc import Callable
from typing import NamedTuple

# Errors of a folder that this process can't sync, however often it tries: one that it
# may not read, or a file system without such a call, like that of an automounter.
UNSYNCABLE = frozenset(
    {errno.EACCES, errno.EPERM, errno.EINVAL, errno.EROFS, errno.ENOSYS, errno.ENOTSUP}
)


class FileSystem(NamedTuple):
    """File operations on descriptors and paths; each raises OSError."""

    make_folder: Callable[[str], None]
    list_folder: Callable[[str], list[str]]
    sync_folder: Callable[[str], None]
    open: Callable[[str], int]
    lock: Callable[[int], None]
    read: Callable[[int], bytes]
    write: Callable[[int, int, bytes], None]
    truncate: Callable[[int, int], None]
    sync: Callable[[int], None]
    close: Callable[[int], None]
    rename: Callable[[str, str], None]
    remove: Callable[[str], None]


def real_filesystem() -> FileSystem:
    """Return the operating system's blocking file operations."""
    return FileSystem(
        make_folder=_make_folder,
        list_folder=lambda path: sorted(os.listdir(path)),
        sync_folder=_sync_folder,
        open=lambda path: os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600),
        lock=lambda fd: fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB),
        read=_read,
        write=_write,
        truncate=os.ftruncate,
        sync=os.fsync,
        close=os.close,
        rename=os.replace,
        remove=os.unlink,
    )


def _make_folder(path):
    """Create a folder and its missing parents, each durable before the next one."""
    missing = []
    # Not `abspath`, which takes `..` behind a symbolic link for the link's parent.
    present = os.path.realpath(path)
    while not os.path.isdir(present):
        missing.append(present)
        present = os.path.dirname(present)
    try:
        # An interrupted call may have created it without syncing its parent.
        _sync_folder(os.path.dirname(present))
    except OSError as error:
        # A later try would fail too, and the folder is there.
        if error.errno not in UNSYNCABLE:
            raise
    for folder in reversed(missing):
        os.mkdir(folder)
        _sync_folder(os.path.dirname(folder))


def _sync_folder(path):
    fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def _read(fd):
    size = os.fstat(fd).st_size
    chunks = []
    offset = 0
    while offset < size:
        chunk = os.pread(fd, size - offset, offset)
        if not chunk:
            break
        chunks.append(chunk)
        offset += len(chunk)
    return b"".join(chunks)


def _write(fd, offset, data):
    view = memoryview(data)
    while view:
        count = os.pwrite(fd, view, offset)
        view = view[count:]
        offset += count
