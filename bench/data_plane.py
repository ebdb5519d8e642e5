"""Measure tokens per second through real processes, at 1 to 256 streams.

One entry and one chain of stages on stand-in engines that are far faster than real
ones, so that the router's own processes are the limit. The callers run in this process.
Prints, for each number of streams, the tokens per second and the cost per token of one
entry and one sidecar.
"""

import sys
import tempfile
import time
from typing import NamedTuple

import anyio
import defopt
import msgspec
from common import (
    CUSTOMER,
    MODEL,
    compute_usage,
    make_high_limit_contract,
    take_samples,
)

from cherryrudder.fakes.deployment import Deployment, EngineSpec
from cherryrudder.model.settings import split_address

# The last one exceeds the target of 214 streams per entry.
STREAMS = (1, 4, 16, 64, 256)
LAYERS = 4
# Effectively unlimited: a single step takes 0.2 ms.
TOKENS_PER_S = 5_000.0
SLOTS = 512
SETTLE_S = 1.0
# Streams outlast the measurement; the callers then cut them.
MAX_TOKENS = 100_000


# A caller without an answer by then has failed, and the benchmark stops.
FIRST_TOKEN_TIMEOUT_S = 20.0
# If all streams start at once, no credits are available yet. With so many tokens per
# stream the expected wait is too long, and the entry rightly refuses some.
START_GAP_S = 0.02
EVENT_PREFIX = b"data: {"


class Choice(msgspec.Struct):
    """The part of an event that holds the text."""

    text: str


class Event(msgspec.Struct):
    """An event of a stream."""

    choices: list[Choice]


decode = msgspec.json.Decoder(Event).decode


class StreamStats:
    """Tokens, events and gaps between events, over all streams."""

    def __init__(self):
        self.tokens = 0
        self.events = 0
        self.started = 0
        self.last_event_s: dict[int, float] = {}
        self.gaps_s: list[float] = []

    def record_event(self, number: int, event: bytes) -> None:
        """Count an event's tokens and record the gap since the stream's last event."""
        text = decode(event).choices[0].text
        now_s = time.monotonic()
        if number in self.last_event_s:
            self.gaps_s.append(now_s - self.last_event_s[number])
        else:
            self.started += 1
        self.last_event_s[number] = now_s
        self.tokens += len(text.split())
        self.events += 1


class Row(NamedTuple):
    """Results for one number of streams; `_us_per_token` is processor time."""

    streams: int
    tokens_per_s: float
    tokens_per_event: float
    gap_ms: float
    entry_cores: float
    sidecar_cores: float
    engine_cores: float
    callers_cores: float
    entry_us_per_token: float
    sidecar_us_per_token: float
    entry_bytes_per_token: float


def main(*, seconds: float = 6.0, stages: int = 3) -> None:
    """Print the table.

    :param seconds: Length of each measurement.
    :param stages: Engines in the chain.
    """
    engines = [
        EngineSpec(
            f"stage-{number}",
            number * LAYERS,
            (number + 1) * LAYERS,
            model_layers=stages * LAYERS,
            tokens_per_s=TOKENS_PER_S,
            slots=SLOTS,
        )
        for number in range(stages)
    ]
    with (
        tempfile.TemporaryDirectory(prefix="cherryrudder-") as folder,
        Deployment(folder, entries=1, engines=engines) as deployment,
    ):
        deployment.start()
        deployment.wait_endpoints(stages)
        deployment.put_contract(make_high_limit_contract()).raise_for_status()
        time.sleep(SETTLE_S)
        print("  ".join(Row._fields))
        for streams in STREAMS:
            row = anyio.run(measure, deployment, streams, seconds)
            print("  ".join(f"{value:.4g}" for value in row), flush=True)


async def measure(deployment, streams, seconds) -> Row:
    """Run a number of streams and return the measured row."""
    stats = StreamStats()
    pids = group_pids(deployment)
    all_pids = [pid for group in pids.values() for pid in group]
    async with anyio.create_task_group() as group:
        for number in range(streams):
            group.start_soon(stream_completion, deployment, stats, number)
            await anyio.sleep(START_GAP_S)
        with anyio.fail_after(FIRST_TOKEN_TIMEOUT_S):
            while stats.started < streams:
                await anyio.sleep(0.05)
        await anyio.sleep(SETTLE_S)
        first, tokens, events = take_samples(all_pids), stats.tokens, stats.events
        stats.gaps_s.clear()
        started_s = time.monotonic()
        started_cpu_s = time.process_time()
        await anyio.sleep(seconds)
        took_s = time.monotonic() - started_s
        callers_cores = (time.process_time() - started_cpu_s) / took_s
        last = take_samples(all_pids)
        tokens, events = stats.tokens - tokens, stats.events - events
        gaps_s = sorted(stats.gaps_s)
        group.cancel_scope.cancel()
    uses = {pid: compute_usage(pid, first[pid], last[pid]) for pid in all_pids}
    cores = {
        part: sum(uses[pid].cores for pid in group) / len(group)
        for part, group in pids.items()
    }
    rate = tokens / took_s
    return Row(
        streams,
        rate,
        tokens / events,
        gaps_s[len(gaps_s) // 2] * 1000,
        cores["entry"],
        cores["sidecar"],
        cores["engine"],
        callers_cores,
        cores["entry"] / rate * 1e6,
        cores["sidecar"] / rate * 1e6,
        uses[pids["entry"][0]].bytes_per_s / rate,
    )


def group_pids(deployment):
    """Return the pids by role: entry, sidecar, engine."""
    stand_ins = [deployment.nodes[f"{n.name}.engine"] for n in deployment.engines]
    return {
        "entry": [node.process.pid for node in deployment.entries],
        "sidecar": [node.process.pid for node in deployment.engines],
        "engine": [node.process.pid for node in stand_ins],
    }


async def stream_completion(deployment, stats, number):
    """Stream one completion until cancelled.

    Uses a plain socket because httpx costs more per event than the entry does.
    """
    body = {"model": MODEL, "prompt": f"stream {number}", "stream": True}
    content = msgspec.json.encode(body | {"max_tokens": MAX_TOKENS})
    address = deployment.entries[0].addresses["caller"]
    head = (
        f"POST /v1/completions HTTP/1.1\r\nhost: {address}\r\n"
        f"authorization: Bearer {CUSTOMER}\r\ncontent-type: application/json\r\n"
        f"content-length: {len(content)}\r\n\r\n"
    )
    async with await anyio.connect_tcp(*split_address(address)) as stream:
        await stream.send(head.encode() + content)
        rest = await stream.receive()
        if not rest.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"stream {number} was refused: {rest.decode()}")
        async for data in stream:
            *events, rest = (rest + data).split(b"\n\n")
            for event in events:
                start = event.find(EVENT_PREFIX)
                if start >= 0:
                    stats.record_event(number, event[start + len(EVENT_PREFIX) - 1 :])


if __name__ == "__main__":
    sys.exit(defopt.run(main))
