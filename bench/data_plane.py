"""Measure tokens a second through real processes, at 1 to 256 streams.

One entry, and one chain of stages on stand-in engines that are far faster than any
real one, so that the system's own processes are the limit. The callers are one more
process (this one). Prints, for each number of streams, the tokens a second, and what
one entry and one sidecar take for each token.
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

# The last one is past the aim's 214 streams at an entry.
STREAMS = (1, 4, 16, 64, 256)
LAYERS = 4
# No limit in practice: a lone step lasts 0.2 ms.
TOKENS_PER_S = 5_000.0
SLOTS = 512
SETTLE_S = 1.0
# Streams are longer than the measurement and are then cut by their callers.
MAX_TOKENS = 100_000


# A caller that has no answer by then has failed; the bench stops.
FIRST_TOKEN_TIMEOUT_S = 20.0
# All at once they find no credits, and with so many tokens each wait is too long: the
# entry rightly refuses some.
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
    """What all callers have seen."""

    def __init__(self):
        self.tokens = 0
        self.events = 0
        self.started = 0
        self.last_event_s: dict[int, float] = {}
        self.gaps_s: list[float] = []

    def record_event(self, number: int, event: bytes) -> None:
        """Count an event's tokens and note the time since the one before."""
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
    """What one number of streams came to; times are of processors."""

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
    """Run a number of streams and return what they came to."""
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
    """Return the processes by what they do."""
    stand_ins = [deployment.nodes[f"{n.name}.engine"] for n in deployment.engines]
    return {
        "entry": [node.process.pid for node in deployment.entries],
        "sidecar": [node.process.pid for node in deployment.engines],
        "engine": [node.process.pid for node in stand_ins],
    }


async def stream_completion(deployment, stats, number):
    """Stream one completion until it is cut.

    By hand and not by httpx, whose cost for each event is above the entry's own.
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
