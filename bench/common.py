"""Resource measurement, statistics and helpers shared by the benchmarks of processes.

Processor time and memory are read from /proc, byte counts from the kernel's counters of
each process's open TCP connections (`ss`). Run each benchmark from the root, with the
libraries' `src` folders on PYTHONPATH, and one at a time.
"""

import os
import re
import statistics
import subprocess
import time
from typing import NamedTuple

from cherryrudder.model.contracts import Contract, digest_key

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Fields of /proc/PID/stat, counted after the name in parentheses.
USER_FIELD = 11
SYSTEM_FIELD = 12
MODEL = "briefing"
CUSTOMER = "bench"


class Usage(NamedTuple):
    """Mean resource usage of a process over an interval, and its memory at the end."""

    cores: float
    bytes_per_s: float
    rss_mb: float


class Sample(NamedTuple):
    """A process's counters at one time."""

    at_s: float
    cpu_s: float
    bytes_by_socket: dict[str, int]


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used since its start."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])) / CLOCK_TICKS


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/statm", encoding="utf-8") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 1e6


def socket_bytes() -> dict[int, dict[str, int]]:
    """Return the bytes sent plus received, by process and open connection."""
    text = subprocess.run(
        ["ss", "-tinHpO"], capture_output=True, text=True, check=True
    ).stdout
    found = {}
    for line in text.splitlines():
        counts = re.findall(r"bytes_(?:sent|received):(\d+)", line)
        name = " ".join(line.split()[3:5])
        for pid in set(re.findall(r"pid=(\d+)", line)):
            found.setdefault(int(pid), {})[name] = sum(map(int, counts))
    return found


def take_samples(pids) -> dict[int, Sample]:
    """Return the counters of some processes."""
    sockets = socket_bytes()
    at_s = time.monotonic()
    return {pid: Sample(at_s, cpu_s(pid), sockets.get(pid, {})) for pid in pids}


def compute_usage(pid: int, first: Sample, last: Sample) -> Usage:
    """Return a process's usage between two samples.

    Bytes of connections that closed in between are not counted, so the byte rate may be
    too low but never too high.
    """
    took_s = last.at_s - first.at_s
    moved = sum(
        count - first.bytes_by_socket.get(name, 0)
        for name, count in last.bytes_by_socket.items()
    )
    cores = (last.cpu_s - first.cpu_s) / took_s
    return Usage(cores, moved / took_s, rss_mb(pid))


def measure_usage(pids, seconds: float) -> dict[int, Usage]:
    """Wait for `seconds` and return the processes' usage in that time."""
    first = take_samples(pids)
    time.sleep(seconds)
    last = take_samples(pids)
    return {pid: compute_usage(pid, first[pid], last[pid]) for pid in pids}


def slope(sizes, values) -> float:
    """Return the change per unit of size, by least squares."""
    return statistics.linear_regression(sizes, values).slope


def format_spread(values) -> str:
    """Return the median, lowest and highest of some values."""
    values = sorted(values)
    return f"{statistics.median(values):.3f} ({values[0]:.3f} to {values[-1]:.3f})"


def make_high_limit_contract() -> Contract:
    """Return a contract whose limits no benchmark reaches; its key is its name."""
    return Contract(
        customer=CUSTOMER,
        key_sha256=digest_key(CUSTOMER),
        models=(MODEL,),
        services=(),
        requests_per_s=10_000.0,
        tokens_per_s=10_000_000.0,
        concurrent_requests=2_000,
        max_wait_s=30.0,
        max_tokens=100_000,
    )


def find_leader(deployment):
    """Return the control VM whose dump says that it is leader, or None."""
    for node in deployment.controls:
        if node.process.poll() is None:
            if deployment.dump(node)["quorum"]["role"] == "leader":
                return node
    return None
