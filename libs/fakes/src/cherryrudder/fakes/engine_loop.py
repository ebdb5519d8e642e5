"""The batch loop of the stand-in engine, with the faults that slow or stop it."""

import os

import anyio

from . import core, load_report
from .batching import batch_s
from .core import Engine
from .faults import EngineFaults, may_run
from .freeze import Freeze, wait_until_thawed
from .load_report import LoadReport
from .orders import FenceCheck

# Exit code of a process that a fault has ended (EX_SOFTWARE of sysexits).
DIED = 70


class EngineProcess:
    """State of the engine's process: the engine, its faults and the waiting calls."""

    def __init__(
        self,
        engine: Engine,
        fence_check: FenceCheck,
        loads: LoadReport,
        accelerator: str = "",
        load_s: float = 0.0,
    ):
        self.engine = engine
        self.fence_check = fence_check
        self.loads = loads
        self.accelerator = accelerator
        self.load_s = load_s
        self.faults = EngineFaults()
        self.step_number = 0
        self.freeze = Freeze()
        self.waiting = {}
        self.work_arrived = anyio.Event()


async def run_batches(process: EngineProcess):
    """Run batch steps, and wait for work when there is none."""
    while True:
        await wait_until_thawed(process.freeze)
        process.step_number += 1
        runnable = may_run(process.faults, process.step_number)
        batch = core.begin_batch(process.engine, runnable)
        record_load(process)
        if not process.engine.jobs:
            process.work_arrived = anyio.Event()
            await process.work_arrived.wait()
            continue
        step_s = batch_s(batch, process.engine.limits)
        await anyio.sleep(step_s * process.faults.slow_factor)
        await wait_until_thawed(process.freeze)
        wake_callers(process, core.finish_batch(process.engine, anyio.current_time()))
        count_down_to_exit(process)


def record_load(process: EngineProcess):
    """Record the current load for the load report."""
    load = core.measure(process.engine)
    load_report.record_load(process.loads, load, anyio.current_time())


def wake_callers(process: EngineProcess, jobs):
    """Wake the calls that wait for the given jobs."""
    for job in jobs:
        process.waiting.pop(job.number).set()


def count_down_to_exit(process: EngineProcess):
    """End the process after the number of batch steps that a fault sets."""
    left = process.faults.die_after_steps
    if left > 0:
        process.faults = process.faults._replace(die_after_steps=left - 1)
    if left == 1:
        os._exit(DIED)
