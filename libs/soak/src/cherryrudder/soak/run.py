"""One run: bring everything up, strike, let it heal, and check the promises."""

import random
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import anyio

from . import faults, promises, report
from .callers import Caller
from .faults import Fault
from .field import EVENTS, Field
from .operator import Operator
from .promises import History
from .report import Report
from .strike import Striker

START_S = 40.0
# The users' pages give the system twelve seconds after the last fault; a caller's own
# try may take some more.
RECOVERY_S = 12.0
PAUSE_S = 0.1


class Outcome(NamedTuple):
    """What came of a run; its folder holds the logs and stays when something broke."""

    seed: int
    broken: list[str]
    answered: int
    asked: int
    folder: str
    report: Report


async def play(seed: int, length_s: float, folder: str) -> tuple[History, list[str]]:
    """Play the faults of a seed in a folder; return what was seen and what is wrong."""
    planned = faults.draw(seed, length_s)
    async with anyio.create_task_group() as group:
        field = Field(folder, seed, group)
        try:
            history, wrong = await _play(field, seed, planned, length_s)
        finally:
            field.stop()
            group.cancel_scope.cancel()
    return history, wrong


async def _play(field, seed, planned: Sequence[Fault], length_s):
    operator = Operator(field, random.Random(f"operator-{seed}"))
    striker = Striker(field, operator)
    is_over = anyio.Event()
    with anyio.fail_after(START_S):
        await field.start()
        await operator.change()
        await wait_served(field, operator)
    async with anyio.create_task_group() as group:
        for caller in field.callers:
            group.start_soon(caller.run, operator.used_keys, is_over)
        group.start_soon(operator.watch, is_over)
        await _strike_all(striker, planned, length_s)
        wrong = await _recover(field, operator)
        is_over.set()
    await _read_the_last(operator)
    wrong += operator.wrong
    return _history(field, operator, striker), wrong


async def _strike_all(striker, planned, length_s):
    began_s = time.monotonic()
    async with anyio.create_task_group() as group:
        for fault in planned:
            await anyio.sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
            group.start_soon(striker.strike, fault)
        await anyio.sleep(max(0.0, began_s + length_s - time.monotonic()))


async def wait_served(field, operator):
    """Wait until every entry has served one request of each kind."""
    for node in field.deployment.nodes:
        address = field.caller_proxies[node.name].listen_address
        caller = Caller(node.name, address, EVENTS, field.rng)
        for kind in ("stream", "filing", "query"):
            while True:
                answer = await caller.ask(kind, operator.keys[-1])
                if answer is not None and answer.status == 200 and answer.is_whole:
                    break
                await anyio.sleep(PAUSE_S)
        caller.close()
        field.first_answers += caller.answers


async def _recover(field, operator):
    """Return what is not served again in time, now that all faults are over."""
    with anyio.move_on_after(RECOVERY_S) as scope:
        await wait_served(field, operator)
    if scope.cancelled_caught:
        return [f"RECOVER: not all is served {RECOVERY_S:.0f} s after the last fault"]
    return []


async def _read_the_last(operator):
    """Read back until a control VM is sure what is in force."""
    newest = max((ack.version for ack in operator.acks), default=0)
    with anyio.move_on_after(RECOVERY_S):
        while (reading := await operator.read_once()) is None:
            await anyio.sleep(PAUSE_S)
        if reading.version >= newest:
            return
    operator.wrong.append(f"CONFIG: {newest} was acknowledged and not read back")


def _history(field, operator, striker):
    fleet = field.deployment.fleet
    answers = [a for caller in field.callers for a in caller.answers]
    return History(
        answers=(*field.first_answers, *answers),
        acks=tuple(operator.acks),
        readings=tuple(operator.readings),
        runs=tuple(run.request_id for run in fleet.runs),
        arrivals=tuple(fleet.arrivals),
        left_s=striker.left_s,
        disturbances=tuple(striker.disturbances),
        own_ends=tuple(field.own_ends()),
        crashing=tuple(
            frozenset(answer.request_id for answer in answers)
            for answers in field.crashing.values()
        ),
        crashes=tuple(fleet.crashes),
        limited=tuple(striker.limited),
        turned_away=tuple(fleet.rejections),
        events=EVENTS,
    )


def run(seed: int, length_s: float, keep_in: str = "") -> Outcome:
    """Play one seed in a folder of its own and check the promises."""
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=keep_in or None)
    history, wrong = anyio.run(play, seed, length_s, folder)
    broken = wrong + promises.broken(history)
    answers = history.answers
    answered = sum(a.status == 200 and a.is_whole for a in answers)
    if not broken:
        _remove(Path(folder))
    told = report.summarise(f"seed {seed}", history)
    return Outcome(seed, broken, answered, len(answers), folder, told)


def _remove(folder):
    for path in sorted(folder.rglob("*"), reverse=True):
        path.rmdir() if path.is_dir() else path.unlink()
    folder.rmdir()
