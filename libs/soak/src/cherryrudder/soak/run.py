"""One run: start the processes, inject faults, wait for recovery, check guarantees."""

import random
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import anyio

from . import crowding, faults, guarantees, report
from .callers import Caller
from .faults import Fault
from .guarantees import History
from .injector import FaultInjector
from .operator import Operator
from .report import Report
from .testbed import EVENTS, RETRY_BOUND, Testbed

START_TIMEOUT_S = 40.0
# The user documentation gives the system twelve seconds after the last fault; a
# caller's own attempt may take some more.
MAX_RECOVERY_S = 12.0
PAUSE_S = 0.1


class Outcome(NamedTuple):
    """Result of a run; the folder with its logs is kept if a guarantee was broken."""

    seed: int
    broken: list[str]
    answered: int
    asked: int
    folder: str
    report: Report


async def play(seed: int, length_s: float, folder: str) -> tuple[History, list[str]]:
    """Play the faults of a seed in a folder; return the history and violations."""
    planned = faults.draw(seed, length_s)
    async with anyio.create_task_group() as group:
        testbed = Testbed(folder, seed, group)
        try:
            history, violations = await _play(testbed, seed, planned, length_s)
        finally:
            testbed.stop()
            group.cancel_scope.cancel()
    return history, violations


async def _play(testbed, seed, planned: Sequence[Fault], length_s):
    operator = Operator(testbed, random.Random(f"operator-{seed}"))
    injector = FaultInjector(testbed, operator)
    is_over = anyio.Event()
    await _start(testbed, operator)
    async with anyio.create_task_group() as group:
        for caller in testbed.callers:
            group.start_soon(caller.run, operator.used_keys, is_over)
        group.start_soon(operator.watch, is_over)
        await _inject_all(injector, planned, length_s)
        violations = await _recover(testbed, operator)
        is_over.set()
    await _read_back_newest(operator)
    violations += operator.violations
    return _history(testbed, operator, injector), violations


async def _start(testbed, operator):
    """Start everything and wait until it serves; raise TimeoutError with what is known.

    The message has what the probes got, as nothing else of a failed start is reported.
    """
    with anyio.move_on_after(START_TIMEOUT_S) as scope:
        await testbed.start()
        # An operator gives up after some tries, which may end before the processes
        # have started. Without a configuration nothing is ever served.
        while not operator.acks:
            await operator.change()
        await wait_served(testbed, operator)
    if scope.cancelled_caught:
        answers = Counter((a.node, a.kind, a.status) for a in testbed.extra_answers)
        raise TimeoutError(
            f"not served within {START_TIMEOUT_S} s of the start: answers "
            f"{dict(answers)}, acknowledged {len(operator.acks)}, ended "
            f"{testbed.unexpected_exits()}, logs in {testbed.deployment.folder}"
        )


async def _inject_all(injector, planned, length_s):
    began_s = time.monotonic()
    async with anyio.create_task_group() as group:
        for fault in planned:
            await anyio.sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
            group.start_soon(injector.inject, fault)
        await anyio.sleep(max(0.0, began_s + length_s - time.monotonic()))


async def wait_served(testbed, operator):
    """Wait until every entry has served one request of each kind."""
    for node in testbed.deployment.nodes:
        address = testbed.caller_proxies[node.name].listen_address
        caller = Caller(node.name, address, EVENTS, testbed.rng)
        try:
            for kind in ("stream", "filing", "query"):
                while True:
                    answer = await caller.ask(kind, operator.keys[-1])
                    if answer is not None and answer.status == 200 and answer.is_whole:
                        break
                    await anyio.sleep(PAUSE_S)
        finally:
            caller.close()
            testbed.extra_answers += caller.answers


async def _recover(testbed, operator):
    """Return a violation if not all is served in time after the last fault."""
    with anyio.move_on_after(MAX_RECOVERY_S) as scope:
        await wait_served(testbed, operator)
    if scope.cancelled_caught:
        return [
            f"RECOVER: not all is served {MAX_RECOVERY_S:.0f} s after the last fault"
        ]
    return []


async def _read_back_newest(operator):
    """Record a violation unless the newest acknowledged configuration is read back."""
    newest = max((ack.version for ack in operator.acks), default=0)
    with anyio.move_on_after(MAX_RECOVERY_S):
        while (reading := await operator.read_once()) is None:
            await anyio.sleep(PAUSE_S)
        if reading.version >= newest:
            return
    operator.violations.append(f"CONFIG: {newest} was acknowledged and not read back")


def _history(testbed, operator, injector):
    fleet = testbed.deployment.fleet
    answers = [a for caller in testbed.callers for a in caller.answers]
    return History(
        answers=(*testbed.extra_answers, *answers),
        acks=tuple(operator.acks),
        readings=tuple(operator.readings),
        runs=tuple(run.request_id for run in fleet.runs),
        arrivals=tuple(fleet.arrivals),
        left_s=injector.left_s,
        disturbances=tuple(injector.disturbances),
        unexpected_exits=tuple(testbed.unexpected_exits()),
        over_memory=tuple(crowding.over_memory(testbed.deployment.nodes)),
        crowd_ids=frozenset(testbed.crowd_ids),
        crashing=tuple(
            frozenset(answer.request_id for answer in answers)
            for answers in testbed.crashing.values()
        ),
        crashing_parts=tuple(
            frozenset(answer.request_id for answer in answers)
            for answers in testbed.crashing_parts.values()
        ),
        crashes=tuple(fleet.crashes),
        engine_limits=tuple(injector.engine_limits),
        turned_away=tuple(fleet.rejections),
        allowed_keys=frozenset(operator.keys),
        retry_bound=RETRY_BOUND,
        events=EVENTS,
    )


def run(seed: int, length_s: float, keep_in: str = "") -> Outcome:
    """Play one seed in a folder of its own and check the guarantees."""
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=keep_in or None)
    history, violations = anyio.run(play, seed, length_s, folder)
    broken = violations + guarantees.find_violations(history)
    answers = history.answers
    answered = sum(a.status == 200 and a.is_whole for a in answers)
    if not broken:
        _remove(Path(folder))
    summary = report.summarise(f"seed {seed}", history)
    return Outcome(seed, broken, answered, len(answers), folder, summary)


def _remove(folder):
    for path in sorted(folder.rglob("*"), reverse=True):
        path.rmdir() if path.is_dir() else path.unlink()
    folder.rmdir()
