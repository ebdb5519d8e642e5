"""The data folder of one voter: identity, snapshot and log.

    identity   the disk's identity; written by `init_disk`, `join_disk` or
               `replace_disk`
    snapshot   one record: the newest snapshot
    log        a header record, then one record for each `Persist`
    synced     size of the synced part of the log; written without an fsync
    lock       locked while a process uses the folder

Every call blocks until its sync is done. After a failed write or sync the disk is
unusable until it is opened again: after a failed fsync the operating system may drop
the data and report success the next time. Opening therefore writes the end of a log
again that isn't known to be synced.
"""

import secrets

import msgspec
import xxhash
from expression import Error, Ok, Result

from . import logfile
from .atomic_files import TEMPORARY_SUFFIX, read_record, write_atomically
from .errors import DiskError, DiskUnavailable, ForeignDisk
from .events import Persist, SaveSnapshot, Voter
from .filesystem import FileSystem, real_filesystem
from .log import Log
from .saved_state import Identity, SavedState, Snapshot, VoterSet

IDENTITY = "identity"
SNAPSHOT = "snapshot"
LOCK = "lock"
# A file system's own folder, where the data folder is a mount point.
LOST_AND_FOUND = "lost+found"


class Disk:
    """An open data folder."""

    def __init__(
        self,
        fs: FileSystem,
        folder: str,
        lock_fd: int,
        identity: Identity,
        snapshot: Snapshot | None,
        opened: tuple[logfile.LogFile, logfile.Contents],
    ):
        self._fs = fs
        self._folder = folder
        self._lock_fd = lock_fd
        self._identity = identity
        self._snapshot = snapshot
        self._file, contents = opened
        self._term = contents.term
        self._voted_for = contents.voted_for
        self._log = contents.log
        self._failed = ""
        self._is_closed = False

    @property
    def saved(self) -> SavedState:
        """Return the disk's content, for `open_node`."""
        log = self._log
        entries = log.slice(log.base_index + 1, log.last_index + 1)
        return SavedState(
            self._identity, self._term, self._voted_for, entries, self._snapshot
        )

    def persist(self, effect: Persist) -> None:
        """Write and sync term, vote and entries. Raises DiskError."""
        self._run_operation(lambda: self._file.append(effect))
        logfile.apply_record(self._log, effect)
        self._term = effect.term
        self._voted_for = effect.voted_for

    def save_snapshot(self, effect: SaveSnapshot) -> None:
        """Replace the snapshot, then drop the log up to it. Raises DiskError."""
        voter_set = VoterSet(effect.cluster, effect.voters, effect.learners)
        snapshot = Snapshot(effect.index, effect.term, voter_set, effect.data)
        self._run_operation(lambda: self._replace(snapshot))
        self._snapshot = snapshot

    def close(self) -> None:
        """Close the files and release the lock on the folder. Raises OSError.

        Later writes raise DiskError: other files may get the descriptors.
        """
        if self._is_closed:
            return
        self._is_closed = True
        try:
            self._file.close()
        finally:
            self._fs.close(self._lock_fd)

    def _replace(self, snapshot):
        payload = msgspec.json.encode(snapshot)
        write_atomically(self._fs, self._folder, SNAPSHOT, [payload])
        # After a crash here the old log is next to the new snapshot; `open_disk` then
        # completes the replacement.
        trim_log_to_snapshot(self._log, snapshot)
        self._replace_log()

    def _replace_log(self):
        old = self._file
        self._file = logfile.create(
            self._fs,
            self._folder,
            old.generation + 1,
            self._term,
            self._voted_for,
            self._log,
        )
        old.close()

    def _run_operation(self, operation):
        if self._is_closed:
            raise DiskError(f"{self._folder}: closed")
        if self._failed:
            raise DiskError(f"{self._folder}: an earlier write failed: {self._failed}")
        try:
            operation()
        except OSError as error:
            self._failed = str(error)
            raise DiskError(f"{self._folder}: {error}") from error


def new_disk_id() -> str:
    """Return a unique disk id; it must never be reused for a second disk."""
    return secrets.token_hex(8)


def init_disk(
    folder: str,
    vm: str,
    address: str,
    voters: tuple[Voter, ...] = (),
    fs: FileSystem | None = None,
) -> Result[Identity, DiskError]:
    """Create the data folder of an initial voter of a new cluster.

    Every initial voter needs the same `voters`, each with its own disk id; the cluster
    starts once all of them run. Without `voters`, the VM is the only voter of its
    cluster and others join it. A disk that is lost later must be created by
    `join_disk` instead; otherwise it never answers, see `election.is_recreated`.
    """
    voters = tuple(voters) or (Voter(vm, new_disk_id(), address),)
    own = [voter for voter in voters if voter.vm == vm]
    disk_ids = {voter.disk_id for voter in voters}
    if len(own) != 1 or len(disk_ids) != len(voters) or "" in disk_ids:
        fault = f"{vm} must be listed once, and each voter needs its own disk id"
        return Error(DiskError(fault))
    cluster = xxhash.xxh64_hexdigest("/".join(sorted(disk_ids)).encode())
    identity = Identity(cluster, vm, own[0].disk_id, address, voters)
    return _create(folder, identity, fs or real_filesystem())


def join_disk(
    folder: str, vm: str, address: str, fs: FileSystem | None = None
) -> Result[Identity, DiskError]:
    """Create the data folder of a VM that will join a cluster as a learner."""
    identity = Identity("", vm, new_disk_id(), address, ())
    return _create(folder, identity, fs or real_filesystem())


def replace_disk(
    folder: str, vm: str, address: str, fs: FileSystem | None = None
) -> Result[Identity, DiskError]:
    """Replace a damaged disk by an empty one that will join a cluster as a learner.

    After a stop at any point the folder has either identity and still reads as damaged:
    without one, an initial voter would be created again under its old disk id.
    """
    fs = fs or real_filesystem()
    identity = Identity("", vm, new_disk_id(), address, ())
    try:
        lock_fd = fs.open(f"{folder}/{LOCK}")
        try:
            _lock(fs, folder, lock_fd)
            _refuse_foreign(fs, folder, vm)
            _replace_content(fs, folder, identity)
        finally:
            fs.close(lock_fd)
    except OSError as error:
        return Error(DiskUnavailable(f"{folder}: {error}"))
    except DiskError as error:
        return Error(error)
    return Ok(identity)


def open_disk(
    folder: str, vm: str, fs: FileSystem | None = None
) -> Result[Disk, DiskError]:
    """Open an existing data folder; drop a torn log tail, refuse any other damage."""
    fs = fs or real_filesystem()
    try:
        return Ok(_open(fs, folder, vm))
    except OSError as error:
        return Error(DiskUnavailable(f"{folder}: {error}"))
    except DiskError as error:
        return Error(error)


def trim_log_to_snapshot(log: Log, snapshot: Snapshot) -> None:
    """Drop the log up to a snapshot, or all of it if the two conflict.

    If the log has another entry at the snapshot's index, the entries after it come
    from a deposed leader. If they were kept, this voter would vote for candidates
    without the entries that the snapshot covers.
    """
    if _follows(log, snapshot):
        log.compact(snapshot.index)
    else:
        log.reset(snapshot.index, snapshot.term)


def _follows(log, snapshot):
    """Return whether the log's entries after a snapshot belong to it."""
    index = snapshot.index
    return log.holds(index) and log.term_at(index) == snapshot.term


def is_disk_file(name: str) -> bool:
    """Return whether a data folder has a file of this name, complete or not."""
    return name.removesuffix(TEMPORARY_SUFFIX) in (
        IDENTITY,
        SNAPSHOT,
        LOCK,
        logfile.LOG,
        logfile.SYNCED,
    )


def _create(folder, identity, fs):
    try:
        fs.make_folder(folder)
        if set(fs.list_folder(folder)) - {LOST_AND_FOUND}:
            return Error(DiskError(f"{folder}: not empty; a disk is created only once"))
        logfile.create(fs, folder, 1, 0, "", Log()).close()
        # Last, so that a folder whose creation was interrupted is never opened.
        write_atomically(fs, folder, IDENTITY, [msgspec.json.encode(identity)])
    except OSError as error:
        return Error(DiskUnavailable(f"{folder}: {error}"))
    return Ok(identity)


def _replace_content(fs, folder, identity):
    # First, so that neither the old nor the new identity is opened with the old log.
    logfile.invalidate(fs, folder)
    for name in fs.list_folder(folder):
        if name in (SNAPSHOT, logfile.SYNCED) or name.endswith(TEMPORARY_SUFFIX):
            fs.remove(f"{folder}/{name}")
    # Syncs the folder, so that no power loss brings the snapshot back.
    write_atomically(fs, folder, IDENTITY, [msgspec.json.encode(identity)])
    # Last, as the folder opens from here on.
    logfile.create(fs, folder, 1, 0, "", Log()).close()


def _open(fs, folder, vm):
    if IDENTITY not in fs.list_folder(folder):
        raise DiskError(f"{folder}: no identity; create the disk by init or join")
    lock_fd = fs.open(f"{folder}/{LOCK}")
    try:
        _lock(fs, folder, lock_fd)
        return _load(fs, folder, vm, lock_fd)
    except (OSError, DiskError):
        fs.close(lock_fd)
        raise


def _lock(fs, folder, lock_fd):
    """Lock the folder; two processes would overwrite each other's records."""
    try:
        fs.lock(lock_fd)
    except OSError as error:
        raise DiskUnavailable(f"{folder}: in use by another process") from error


def _load(fs, folder, vm, lock_fd):
    # If the sync after a rename failed, the new file is read here, but a power loss
    # would bring the old one back.
    fs.sync_folder(folder)
    identity = _decode(fs, folder, IDENTITY, Identity)
    _check_owner(folder, identity, vm)
    snapshot = None
    if SNAPSHOT in fs.list_folder(folder):
        snapshot = _decode(fs, folder, SNAPSHOT, Snapshot)
    opened = logfile.load(fs, folder)
    disk = Disk(fs, folder, lock_fd, identity, snapshot, opened)
    try:
        _match_log(disk, snapshot)
    except (OSError, DiskError):
        disk._file.close()
        raise
    return disk


def _refuse_foreign(fs, folder, vm):
    """Raise ForeignDisk if an intact identity names another VM."""
    if IDENTITY not in fs.list_folder(folder):
        return
    try:
        identity = _decode(fs, folder, IDENTITY, Identity)
    except DiskError:
        return
    _check_owner(folder, identity, vm)


def _check_owner(folder, identity, vm):
    if identity.vm != vm:
        raise ForeignDisk(f"{folder}: the disk of VM {identity.vm}, not of {vm}")


def _match_log(disk, snapshot):
    """Drop the log up to the snapshot; refuse a log without its start.

    The file keeps entries that the log's tail follows, until the next snapshot: a full
    disk has no space to replace it.
    """
    base_index = disk._log.base_index
    snapshot_index = snapshot.index if snapshot else 0
    if base_index > snapshot_index:
        raise DiskError(
            f"{disk._folder}/{SNAPSHOT}: the log begins after {base_index}, but the "
            f"snapshot covers {snapshot_index}; restore the file or replace this disk"
        )
    if base_index < snapshot_index:
        is_kept = _follows(disk._log, snapshot)
        trim_log_to_snapshot(disk._log, snapshot)
        if not is_kept:
            disk._replace_log()


def _decode(fs, folder, name, kind):
    payload = read_record(fs, folder, name)
    try:
        return msgspec.json.decode(payload, type=kind)
    except msgspec.MsgspecError as error:
        raise DiskError(f"{folder}/{name}: {error}") from error
