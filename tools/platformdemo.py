"""Demonstrate the users' platform with real processes on loopback (`make demo`).

Exits with 0 only if every check passed. Stops the processes that it started, by pid.
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
from checklist import Checklist  # noqa: E402

from cherryrudder.soak.callers import Caller  # noqa: E402
from cherryrudder.soak.operator import Operator  # noqa: E402
from cherryrudder.soak.run import wait_served  # noqa: E402
from cherryrudder.soak.testbed import EVENTS, Testbed  # noqa: E402
from cherryrudder.standin import requests  # noqa: E402

SEED = 1
STREAMS = 30
CHECK_TIMEOUT_S = 8.0


async def send_all(testbed, count, kind, key):
    """Send requests concurrently, spread over the entries, and return the answers."""
    answers = []
    proxies = list(testbed.caller_proxies.items())

    async def send_one(number):
        node, proxy = proxies[number % len(proxies)]
        rng = random.Random(f"{kind}-{number}-{time.monotonic()}")
        caller = Caller(node, proxy.listen_address, EVENTS, rng)
        answers.append(await caller.ask(kind, key))
        caller.close()

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(send_one, number)
    return [answer for answer in answers if answer is not None]


def find_whole(answers):
    """Return the answers whose tokens each ran every layer once, in order."""
    return [
        a for a in answers if a.body == requests.expected_stream(a.request_id, EVENTS)
    ]


async def show_streams(testbed, checklist):
    """Check that all streams complete when an engine is killed."""
    async with anyio.create_task_group() as group:
        answers = []

        async def send_streams():
            answers.extend(await send_all(testbed, STREAMS, "stream", "k3"))

        group.start_soon(send_streams)
        while not testbed.deployment.fleet.chains:
            await anyio.sleep(0.01)
        chain = next(iter(testbed.deployment.fleet.chains.values()))
        last = testbed.deployment.fleet.engines[chain[-1][0]]
        await testbed.remove_engine(last)
    checklist.check(
        f"{len(find_whole(answers))} of {STREAMS} streams whole though an engine died",
        len(find_whole(answers)) == STREAMS,
    )


async def show_filings(testbed, checklist):
    """Check that each filing ran exactly once."""
    answers = await send_all(testbed, 12, "filing", "k3")
    runs = [run.request_id for run in testbed.deployment.fleet.runs]
    run_once = [a for a in answers if a.status == 200 and runs.count(a.request_id) == 1]
    checklist.check(f"{len(run_once)} of 12 filings ran once", len(run_once) == 12)


async def show_revocation(testbed, operator, checklist):
    """Check that a revoked key is refused within `CHECK_TIMEOUT_S`."""
    await operator.revoke()
    with anyio.move_on_after(CHECK_TIMEOUT_S) as scope:
        while {a.status for a in await send_all(testbed, 3, "query", "k1")} != {401}:
            await anyio.sleep(0.1)
    checklist.check("a key that was taken away is refused", not scope.cancelled_caught)


async def show_control_restart(testbed, operator, checklist):
    """Check that an accepted configuration survives a kill of all control processes."""
    for node in testbed.deployment.nodes:
        await testbed.end(node, "control", 9)
    for node in testbed.deployment.nodes:
        testbed.restart(node, "control")
    version = operator.version
    with anyio.move_on_after(CHECK_TIMEOUT_S) as scope:
        while (reading := await operator.read_once()) is None:
            await anyio.sleep(0.1)
    is_kept = not scope.cancelled_caught and reading.version == version
    checklist.check(
        "the configuration is there after all control VMs were killed", is_kept
    )


async def run_demo(folder):
    """Run all checks and return the number that failed."""
    checklist = Checklist()
    async with anyio.create_task_group() as group:
        testbed = Testbed(folder, SEED, group)
        try:
            operator = Operator(testbed, random.Random(SEED))
            await testbed.start()
            await operator.change()
            await wait_served(testbed, operator)
            print("6 processes are up, before 8 stand-in engines.", flush=True)
            await show_streams(testbed, checklist)
            await show_filings(testbed, checklist)
            await show_revocation(testbed, operator, checklist)
            await show_control_restart(testbed, operator, checklist)
        finally:
            testbed.stop()
        group.cancel_scope.cancel()
    return checklist.failed


def main():
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        failed = anyio.run(run_demo, folder)
    print(f"{failed} not held, {time.monotonic() - started_s:.0f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
