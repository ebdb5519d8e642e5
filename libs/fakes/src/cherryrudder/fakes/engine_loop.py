"""The stand-in engine's batch loop, and how faults slow, stop or end it."""

import os

import anyio

from . import core, load_report
from .batching import batch_s
from .core import Engine
from .faults import EngineFaults, may_run
from .freeze import Freeze, thaw
from .load_report import LoadReport
from .orders import Gate

# The exit code of a process that a fault told to die (EX_SOFTWARE of sysexits).
DIED = 70


class Shell:
    """The engine, its faults and the calls that wait for it."""

    def __init__(
        self,
        engine: Engine,
        gate: Gate,
        loads: LoadReport,
        accelerator: str = "",
        load_s: float = 0.0,
    ):
        self.engine = engine
        self.gate = gate
        self.loads = loads
        self.accelerator = accelerator
        self.load_s = load_s
        self.faults = EngineFaults()
        self.step_number = 0
        self.freeze = Freeze()
        self.waiting = {}
        self.work_came = anyio.Event()


async def run_batches(shell: Shell):
    """Run batch step after batch step for as long as there is work."""
    while True:
        await thaw(shell.freeze)
        shell.step_number += 1
        runnable = may_run(shell.faults, shell.step_number)
        batch = core.begin_batch(shell.engine, runnable)
        note_load(shell)
        if not shell.engine.jobs:
            shell.work_came = anyio.Event()
            await shell.work_came.wait()
            continue
        step_s = batch_s(batch, shell.engine.limits)
        await anyio.sleep(step_s * shell.faults.slow_factor)
        await thaw(shell.freeze)
        tell(shell, core.finish_batch(shell.engine, anyio.current_time()))
        count_down_to_death(shell)


def note_load(shell: Shell):
    """Take a sample for the load report."""
    load = core.measure(shell.engine)
    load_report.note(shell.loads, load, anyio.current_time())


def tell(shell: Shell, jobs):
    """Wake the calls that wait for these jobs."""
    for job in jobs:
        shell.waiting.pop(job.number).set()


def count_down_to_death(shell: Shell):
    """End the process at the batch step that a fault names."""
    left = shell.faults.die_after_steps
    if left > 0:
        shell.faults = shell.faults._replace(die_after_steps=left - 1)
    if left == 1:
        os._exit(DIED)
