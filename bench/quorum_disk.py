"""Measure a voter's log appends against plain write and fsync on the same disk.

Prints, for each batch size, writes and entries per second and the latency of a write:
for the log, and for a file that is only appended to and synced.
"""

import os
import sys
import tempfile
import time
from typing import NamedTuple

import defopt

from cherryrudder.quorum.events import Entry, Persist
from cherryrudder.quorum.files import init_disk, open_disk

BATCHES = (1, 4, 16, 64)
# About the size of a contract change or a claim as a command.
PAYLOAD = "x" * 300


class Figures(NamedTuple):
    """Throughput and latency of one run."""

    writes_per_s: float
    median_ms: float
    p99_ms: float


def main(folder: str = "", *, seconds: float = 2.0, runs: int = 3) -> None:
    """Print the table.

    :param folder: A folder on the disk to measure; a temporary one by default.
    :param seconds: Length of each run.
    :param runs: Runs for each line; all are printed.
    """
    with tempfile.TemporaryDirectory(dir=folder or None) as root:
        print("batch  kind       writes/s  entries/s  median_ms  p99_ms")
        for batch in BATCHES:
            for number in range(runs):
                bare = measure(make_fsync_writer(root, batch), seconds)
                log = measure(
                    make_log_writer(f"{root}/{batch}-{number}", batch), seconds
                )
                print_line(batch, "fsync", bare)
                print_line(batch, "log", log)


def measure(write, seconds):
    """Call `write` repeatedly for `seconds` and return the figures."""
    taken_s = []
    end_s = time.perf_counter() + seconds
    now_s = start_s = time.perf_counter()
    while now_s < end_s:
        write()
        before_s, now_s = now_s, time.perf_counter()
        taken_s.append(now_s - before_s)
    taken_s.sort()
    return Figures(
        len(taken_s) / (now_s - start_s),
        taken_s[len(taken_s) // 2] * 1000,
        taken_s[int(len(taken_s) * 0.99)] * 1000,
    )


def make_fsync_writer(folder, batch):
    """Return a function that appends a batch's payload to a file and syncs it."""
    fd = os.open(f"{folder}/bare", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    data = (PAYLOAD * batch).encode()

    def write():
        os.write(fd, data)
        os.fsync(fd)

    return write


def make_log_writer(folder, batch):
    """Return a function that persists a batch of entries in a voter's log."""
    init_disk(folder, "a", "127.0.0.1:1")
    disk = open_disk(folder, "a").ok
    next_index = 1

    def write():
        nonlocal next_index
        entries = tuple(
            Entry(index, 1, "command", PAYLOAD)
            for index in range(next_index, next_index + batch)
        )
        next_index += batch
        disk.persist(Persist(1, 1, "a", entries))

    return write


def print_line(batch, kind, figures):
    """Print one line of the table."""
    entries_per_s = figures.writes_per_s * batch
    print(
        f"{batch:5}  {kind:9}  {figures.writes_per_s:8.0f}  {entries_per_s:9.0f}"
        f"  {figures.median_ms:9.3f}  {figures.p99_ms:6.3f}"
    )


if __name__ == "__main__":
    sys.exit(defopt.run(main))
