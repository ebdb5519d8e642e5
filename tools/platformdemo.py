"""The users' platform on loopback, each process a real one: part of `make demo`.

Exits 0 only if every promise that it shows held. It ends what it started, by pid.
"""

import random
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(path) for path in sorted(ROOT.glob("libs/*/src"))]
sys.path.insert(0, str(ROOT / "platform" / "src"))

import anyio  # noqa: E402
from story import Story  # noqa: E402

from cherryrudder.soak.callers import Caller  # noqa: E402
from cherryrudder.soak.field import EVENTS, Field  # noqa: E402
from cherryrudder.soak.operator import Operator  # noqa: E402
from cherryrudder.soak.run import wait_served  # noqa: E402
from cherryrudder.standin import requests  # noqa: E402

SEED = 1
STREAMS = 30
STOPPED_IN_S = 8.0


async def ask_all(field, count, kind, key):
    """Ask many times at once, spread over the entries; return the answers."""
    answers = []
    proxies = list(field.caller_proxies.items())

    async def one(number):
        node, proxy = proxies[number % len(proxies)]
        rng = random.Random(f"{kind}-{number}-{time.monotonic()}")
        caller = Caller(node, proxy.listen_address, EVENTS, rng)
        answers.append(await caller.ask(kind, key))
        caller.close()

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(one, number)
    return [answer for answer in answers if answer is not None]


def whole(answers):
    """Return the answers whose every token ran each layer once, in order."""
    return [
        a for a in answers if a.body == requests.expected_stream(a.request_id, EVENTS)
    ]


async def show_streams(field, story):
    """Stream while an engine dies."""
    async with anyio.create_task_group() as group:
        answers = []

        async def ask():
            answers.extend(await ask_all(field, STREAMS, "stream", "k3"))

        group.start_soon(ask)
        while not field.deployment.fleet.chains:
            await anyio.sleep(0.01)
        chain = next(iter(field.deployment.fleet.chains.values()))
        last = field.deployment.fleet.engines[chain[-1][0]]
        await field.remove_engine(last)
    story.check(
        f"{len(whole(answers))} of {STREAMS} streams whole though an engine died",
        len(whole(answers)) == STREAMS,
    )


async def show_filings(field, story):
    """File, and look how often each filing ran."""
    answers = await ask_all(field, 12, "filing", "k3")
    runs = [run.request_id for run in field.deployment.fleet.runs]
    once = [a for a in answers if a.status == 200 and runs.count(a.request_id) == 1]
    story.check(f"{len(once)} of 12 filings ran once", len(once) == 12)


async def show_revocation(field, operator, story):
    """Take a key away."""
    await operator.revoke()
    with anyio.move_on_after(STOPPED_IN_S) as scope:
        while {a.status for a in await ask_all(field, 3, "query", "k1")} != {401}:
            await anyio.sleep(0.1)
    story.check("a key that was taken away is refused", not scope.cancelled_caught)


async def show_lost_leader(field, operator, story):
    """Kill all control processes at once, and read back what was accepted."""
    for node in field.deployment.nodes:
        await field.end(node, "control", 9)
    for node in field.deployment.nodes:
        field.restart(node, "control")
    version = operator.version
    with anyio.move_on_after(STOPPED_IN_S) as scope:
        while (reading := await operator.read_once()) is None:
            await anyio.sleep(0.1)
    held = not scope.cancelled_caught and reading.version == version
    story.check("the configuration is there after all control VMs were killed", held)


async def tell(folder):
    """Play the whole story; return how much did not hold."""
    story = Story()
    async with anyio.create_task_group() as group:
        field = Field(folder, SEED, group)
        try:
            operator = Operator(field, random.Random(SEED))
            await field.start()
            await operator.change()
            await wait_served(field, operator)
            print("6 processes are up, before 8 stand-in engines.", flush=True)
            await show_streams(field, story)
            await show_filings(field, story)
            await show_revocation(field, operator, story)
            await show_lost_leader(field, operator, story)
        finally:
            field.stop()
        group.cancel_scope.cancel()
    return story.failed


def main():
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        failed = anyio.run(tell, folder)
    print(f"{failed} not held, {time.monotonic() - started_s:.0f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
