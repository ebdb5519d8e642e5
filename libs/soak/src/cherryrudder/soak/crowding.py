"""Let clients that don't behave come to an entry, beside the other faults."""

import contextlib
from pathlib import Path

import anyio

from cherryrudder.standin import crowds
from cherryrudder.standin.crowds import Crowd
from cherryrudder.standin.deployment import CLIENT_PORT, Node

# Limits of the processes: those of the smallest VMs, with few descriptors.
MEMORY_MB, MAX_DESCRIPTORS = 160, 400
LIMITS = {"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS}
MEMBERS = (
    crowds.announced_body,
    crowds.endless_chunks,
    crowds.large_chunks_that_stop,
    crowds.announced_bodies_that_stop,
    crowds.tiny_chunks_that_stop,
    crowds.tiny_chunks,
    crowds.slow_reader,
    crowds.heads_of_many_lines,
    crowds.many_lines_served,
    crowds.pipelined_requests,
    crowds.unfinished_heads,
)
# One kind of clients alone, or all kinds together.
MAX_CLIENTS = 60
MIXED_SHARE = 0.5


async def come(node: Node, key: str, pick: float, duration_s: float) -> Crowd:
    """Let a crowd come to an entry for some time; return what it asked for."""
    crowd = Crowd(key, crowds.LONG_PATH)
    count = 1 + int(pick * 1000) % MAX_CLIENTS
    turn = int(pick * 100_000)
    is_mixed = pick * 10 % 1 < MIXED_SHARE

    async def visit(number):
        member = MEMBERS[(turn + (number if is_mixed else 0)) % len(MEMBERS)]
        # The entry may end at any time, or close what it can't hold.
        with contextlib.suppress(OSError):
            await member(crowd, node.at(CLIENT_PORT), number)

    with anyio.move_on_after(duration_s):
        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(visit, number)
        await anyio.sleep_forever()
    crowd.leave()
    return crowd


def over_memory(nodes: list[Node]) -> list[str]:
    """Return the running processes whose memory was over its limit at any time."""
    return [
        f"{node.name} {role} held {peak_bytes // 1_000_000} MB of {MEMORY_MB}"
        for node in nodes
        for role, process in node.processes.items()
        if (peak_bytes := _peak_bytes(process.pid)) > MEMORY_MB * 1_000_000
    ]


def _peak_bytes(pid):
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
    return 0
