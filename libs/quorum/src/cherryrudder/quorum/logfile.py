"""Log file: a header, then one record with term, vote and entries per write.

Term and vote are in the same file as the entries, so that one fsync covers both and
each write is atomic.
"""

import struct
from typing import NamedTuple

import msgspec

from .atomic_files import read_bytes, write_atomically
from .errors import DiskError
from .events import Entry, Persist
from .filesystem import FileSystem
from .log import Log
from .records import HEADER, encode_record, scan

LOG = "log"
SYNCED = "synced"
SYNCED_FORMAT = struct.Struct(">QQ")
# Records that a log file has, synced, before it gets its name.
CREATED_RECORDS = 2


class Header(NamedTuple):
    """The first record; entries follow `base_index`.

    `generation` is incremented each time the file is replaced.
    """

    generation: int
    base_index: int
    base_term: int


class Record(NamedTuple):
    """One write; older entries from `truncate_from` on are dropped first."""

    term: int
    voted_for: str
    truncate_from: int | None
    entries: tuple[Entry, ...]


class Contents(NamedTuple):
    """The decoded content of a log file."""

    generation: int
    term: int
    voted_for: str
    log: Log


class LogFile:
    """An open log file, which is only appended to."""

    def __init__(self, fs: FileSystem, folder: str, generation: int, end: int):
        self.generation = generation
        self._fs = fs
        self._end = end
        self._fd = fs.open(f"{folder}/{LOG}")
        try:
            self._synced_fd = fs.open(f"{folder}/{SYNCED}")
        except OSError:
            fs.close(self._fd)
            raise

    def append(self, effect: Persist) -> None:
        """Write and sync one record. Raises OSError."""
        record = Record(
            effect.term, effect.voted_for, effect.truncate_from, effect.entries
        )
        data = encode_record(msgspec.json.encode(record))
        self._fs.write(self._fd, self._end, data)
        self._fs.sync(self._fd)
        self._end += len(data)
        self._write_synced_size()

    def truncate_tail(self) -> None:
        """Drop what follows the last intact record. Raises OSError."""
        self._fs.truncate(self._fd, self._end)
        self._fs.sync(self._fd)

    def rewrite_tail(self, start: int, data: bytes) -> None:
        """Write the last records again as they were read. Raises OSError.

        Their sync may have failed. The system may have dropped their data since, and
        would report success for another sync without a write. In place this needs no
        space, and a power loss finds the same bytes whether it is done or not.
        """
        self._fs.write(self._fd, start, data)
        self._fs.sync(self._fd)

    def close(self) -> None:
        """Close the log file and the file with its synced size."""
        try:
            self._fs.close(self._fd)
        finally:
            self._fs.close(self._synced_fd)

    def _write_synced_size(self):
        """Store the synced size of the log file.

        Without it, damage to the last record would look like a torn tail, and an
        accepted entry would be dropped. This write needs no fsync: a lost or stale
        value only weakens the check and is never too large.
        """
        record = encode_record(SYNCED_FORMAT.pack(self.generation, self._end))
        self._fs.write(self._synced_fd, 0, record)


def create(
    fs: FileSystem, folder: str, generation: int, term: int, voted_for: str, log: Log
) -> LogFile:
    """Replace the log file by one with the given content. Raises OSError."""
    header = Header(generation, log.base_index, log.base_term)
    entries = log.slice(log.base_index + 1, log.last_index + 1)
    record = Record(term, voted_for, None, entries)
    payloads = [msgspec.json.encode(header), msgspec.json.encode(record)]
    size = write_atomically(fs, folder, LOG, payloads)
    return LogFile(fs, folder, generation, size)


def invalidate(fs: FileSystem, folder: str) -> None:
    """Empty the log file durably, so that the folder reads as damaged. Raises OSError.

    A full disk has room for this, and it frees the log's space.
    """
    fd = fs.open(f"{folder}/{LOG}")
    try:
        fs.truncate(fd, 0)
        fs.sync(fd)
    finally:
        fs.close(fd)


def load(fs: FileSystem, folder: str) -> tuple[LogFile, Contents]:
    """Open the log file, drop a torn tail and make what was read durable.

    Raises OSError and DiskError.
    """
    path = f"{folder}/{LOG}"
    data = read_bytes(fs, path)
    found = scan(data)
    if found.intact_after is not None:
        raise DiskError(
            f"{path}: damaged at offset {found.end}, before an intact record at "
            f"{found.intact_after}; restore the file or replace this disk"
        )
    contents = _replay(path, found.payloads)
    synced = _synced_bytes(fs, folder, contents.generation)
    if found.end < synced:
        raise DiskError(
            f"{path}: damaged at offset {found.end}, though synced up to {synced}; "
            "restore the file or replace this disk"
        )
    file = LogFile(fs, folder, contents.generation, found.end)
    try:
        if found.end < len(data):
            file.truncate_tail()
        start = max(synced, _size(found.payloads[:CREATED_RECORDS]))
        if start < found.end:
            file.rewrite_tail(start, data[start : found.end])
    except OSError:
        file.close()
        raise
    return file, contents


def apply_record(log: Log, record: Record | Persist) -> None:
    """Apply one write to a log. Raises ValueError if it leaves a gap."""
    if record.truncate_from is not None:
        first = max(record.truncate_from, log.base_index + 1)
        log.truncate(first)
    for entry in record.entries:
        log.append(entry)


def _replay(path, payloads):
    # The file had both records when it was renamed into place, so a crash cannot
    # explain a missing one.
    if len(payloads) < CREATED_RECORDS:
        raise DiskError(f"{path}: damaged at offset 0")
    try:
        header = msgspec.json.decode(payloads[0], type=Header)
        log = Log(header.base_index, header.base_term)
        for payload in payloads[1:]:
            record = msgspec.json.decode(payload, type=Record)
            apply_record(log, record)
    except (msgspec.MsgspecError, ValueError) as error:
        raise DiskError(f"{path}: records do not form a valid log: {error}") from error
    return Contents(header.generation, record.term, record.voted_for, log)


def _size(payloads):
    """Return the size of the records of some payloads."""
    return sum(HEADER.size + len(payload) for payload in payloads)


def _synced_bytes(fs, folder, generation):
    found = scan(read_bytes(fs, f"{folder}/{SYNCED}"))
    if not found.payloads or len(found.payloads[0]) != SYNCED_FORMAT.size:
        return 0
    recorded_generation, synced_bytes = SYNCED_FORMAT.unpack(found.payloads[0])
    return synced_bytes if recorded_generation == generation else 0
