"""Measure control traffic's cost by number of nodes, and how fast changes propagate.

Three control VMs, one entry and one sidecar are real processes. The other nodes are the
daemon's announcers and followers in one further process (`nodes.py`). Prints each
process's usage and its slope per sidecar and per entry, then the time from a change's
acceptance until it is in force at all nodes: once with all control VMs up and once with
one frozen.
"""

import json
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import defopt
from common import find_leader, format_spread, measure_usage, slope

from cherryrudder.fakes.deployment import INTERNAL_KEY, Deployment, EngineSpec

SIDECARS = (0, 10, 50, 100)
ENTRIES = (0, 10, 50, 100)
# Nodes of each kind. They share one process, whose own speed affects the larger size.
CHANGE_NODES = (5, 50)
# Longer than a lease, so that the previous measurement's nodes have left the table.
SETTLE_S = 5.0
CHANGE_GAP_S = 0.2
# Wait after the last change. A change not in force by then is counted as missing.
IN_FORCE_WAIT_S = 3.0
ENGINE = EngineSpec("engine-0", 0, 12)


def main(*, seconds: float = 3.0, changes: int = 20) -> None:
    """Print the tables.

    :param seconds: Length of each measurement.
    :param changes: Changes for each measurement of the time until one is in force.
    """
    with (
        tempfile.TemporaryDirectory(prefix="cherryrudder-") as folder,
        Deployment(folder, entries=1, engines=[ENGINE]) as deployment,
    ):
        deployment.start()
        deployment.wait_endpoints(1)
        print("nodes         process    cores   bytes/s  rss_mb")
        by_sidecars = [measure(deployment, n, 0, seconds) for n in SIDECARS]
        print_slopes("sidecar", SIDECARS, by_sidecars)
        by_entries = [measure(deployment, 0, n, seconds) for n in ENTRIES]
        print_slopes("entry", ENTRIES, by_entries)
        for count in CHANGE_NODES:
            measure_changes(deployment, count, changes)


def measure(deployment, sidecars, entries, seconds):
    """Print and return each process's usage with a number of further nodes."""
    nodes = start_nodes(deployment, sidecars, entries)
    time.sleep(SETTLE_S)
    pids = {node.name: node.process.pid for node in list_separate_nodes(deployment)}
    pids["nodes"] = nodes.pid
    uses = measure_usage(list(pids.values()), seconds)
    stop_nodes(nodes)
    label = f"{sidecars:3} + {entries:3}"
    for name, pid in pids.items():
        use = uses[pid]
        print(
            f"{label}  {name:12} {use.cores:7.4f} {use.bytes_per_s:9.0f}"
            f" {use.rss_mb:7.1f}",
            flush=True,
        )
    return {name: uses[pid] for name, pid in pids.items()}


def list_separate_nodes(deployment):
    """Return the daemons that run in separate processes."""
    return [*deployment.controls, *deployment.entries, *deployment.engines]


def start_nodes(deployment, sidecars, entries):
    """Start the process of further nodes and wait until all of them are ready."""
    command = [sys.executable, str(Path(__file__).with_name("nodes.py"))]
    command += [",".join(deployment.control_addresses), INTERNAL_KEY]
    command += ["--sidecars", str(sidecars), "--entries", str(entries)]
    nodes = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    if nodes.stdout.readline() != "ready\n":
        raise RuntimeError("the nodes did not start")
    return nodes


def stop_nodes(nodes):
    """Stop the process of further nodes; return when each revision was in force.

    The result has one dict of revision to time per node.
    """
    nodes.send_signal(signal.SIGTERM)
    text = nodes.communicate(timeout=30)[0]
    if nodes.returncode:
        raise RuntimeError(f"the nodes' process ended with {nodes.returncode}")
    return json.loads(text)


def print_slopes(kind, sizes, rows):
    """Print the cost of one further node to each process, averaged over control VMs."""
    for part in ("control", "entry-0", "engine-0", "nodes"):
        names = [name for name in rows[0] if name.startswith(part)]
        cores, moved, memory = (
            [
                statistics.mean(getattr(row[name], field) for name in names)
                for row in rows
            ]
            for field in ("cores", "bytes_per_s", "rss_mb")
        )
        print(
            f"slope of {part} per {kind}: {slope(sizes, cores) * 100:.4f} % of a core,"
            f" {slope(sizes, moved):.0f} B/s, {slope(sizes, memory) * 1000:.1f} KB",
            flush=True,
        )


def measure_changes(deployment, size, count):
    """Print the time until changes are in force at `size` nodes of each kind."""
    nodes = start_nodes(deployment, size, size)
    time.sleep(SETTLE_S)
    accepted = make_changes(deployment, count, f"whole-{size}")
    follower = next(n for n in deployment.controls if n is not find_leader(deployment))
    follower.freeze()
    control = next(
        i for i, node in enumerate(deployment.controls) if node is not follower
    )
    accepted_frozen = make_changes(deployment, count, f"frozen-{size}", control)
    follower.thaw()
    in_force = stop_nodes(nodes)
    print_changes("all control VMs up", accepted, in_force)
    print_changes("one control VM frozen", accepted_frozen, in_force)


def make_changes(deployment, count, name, control=0):
    """Make changes in sequence; return the sent and accepted times by revision."""
    accepted = {}
    for number in range(count):
        sent_s = time.monotonic()
        reply = deployment.change(
            {
                "kind": "put-setting",
                "change_id": f"{name}-{number}",
                "expected_version": number,
                "name": name,
                "value": str(number),
            },
            control,
        )
        revision = reply.raise_for_status().json()["revision"]
        accepted[revision] = (sent_s, time.monotonic())
        time.sleep(CHANGE_GAP_S)
    time.sleep(IN_FORCE_WAIT_S)
    return accepted


def print_changes(label, accepted, in_force):
    """Print the times until acceptance, and from there until in force at all nodes."""
    waits = [(at_s - sent_s) * 1000 for sent_s, at_s in accepted.values()]
    delays, missing = [], 0
    for revision, (_, accepted_s) in accepted.items():
        seen = [find_in_force_s(node, revision) for node in in_force]
        missing += sum(at_s is None for at_s in seen)
        delays.append(max(at_s - accepted_s for at_s in seen if at_s) * 1000)
    print(f"{label}: {len(accepted)} changes, {len(in_force)} nodes")
    print(f"  ms until accepted: {format_spread(waits)}")
    print(f"  ms from then until in force at the last node: {format_spread(delays)}")
    print(f"  nodes times changes not in force: {missing}", flush=True)


def find_in_force_s(node, revision):
    """Return when a node first had a revision or a later one in force, or None."""
    times = [at_s for held, at_s in node.items() if int(held) >= revision]
    return min(times, default=None)


if __name__ == "__main__":
    sys.exit(defopt.run(main))
