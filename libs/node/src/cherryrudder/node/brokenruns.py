"""Runs that broke off, kept until it is known whether their engine has ended.

A broken answer alone says nothing of the engine: answers are lost and reset while it
lives. Only when control VMs found it dead too, or another incarnation is at its
address, did it end under those runs.
"""

from typing import NamedTuple

# An engine that nobody asks for is missed when it is back at its address.
RETENTION_S = 10.0
MOST_ENGINES = 64
MOST_RUNS = 256
# What an engine had sent before it ended is read within this time.
IN_FLIGHT_S = 0.2


class BrokenRun(NamedTuple):
    """A run that broke off after its engine had begun it."""

    fingerprint: str
    request_id: str
    account: str
    service: str
    # Last event that had come.
    last_event: int
    broke_s: float


class BrokenRuns:
    """Broken runs by engine, and the engines that are known to have ended."""

    def __init__(self):
        self.runs: dict[str, list[BrokenRun]] = {}
        self.ended_s: dict[str, float] = {}


def add(runs: BrokenRuns, engine_id: str, run: BrokenRun) -> None:
    """Keep a run."""
    kept = runs.runs.setdefault(engine_id, [])
    kept.append(run)
    del kept[:-MOST_RUNS]


def record_end(runs: BrokenRuns, engine_id: str, now_s: float) -> None:
    """Take note that an engine has ended."""
    runs.ended_s.setdefault(engine_id, now_s)


def record_alive(runs: BrokenRuns, engine_id: str) -> None:
    """Take note that an engine lives: its runs broke for another reason."""
    runs.runs.pop(engine_id, None)
    runs.ended_s.pop(engine_id, None)


def record_answer(runs: BrokenRuns, engine_id: str, now_s: float) -> None:
    """Drop the runs after which their engine has answered another request."""
    broken = runs.runs.get(engine_id)
    if broken:
        late = [run for run in broken if now_s - run.broke_s < IN_FLIGHT_S]
        runs.runs[engine_id] = late
        if not late:
            del runs.runs[engine_id]


def take_crashed(runs: BrokenRuns, engine_id: str, leaving_s: float) -> list[BrokenRun]:
    """Return the runs that an engine ended under, once, if it is known to have.

    Not those that broke after it had said that it leaves: that end was planned.
    """
    if engine_id not in runs.ended_s:
        return []
    broken = runs.runs.pop(engine_id, [])
    return [run for run in broken if run.broke_s < leaving_s]


def sweep(runs: BrokenRuns, now_s: float) -> None:
    """Forget runs and ends that are old, and the oldest when there are many."""
    for engine_id, broken in list(runs.runs.items()):
        young = [run for run in broken if now_s - run.broke_s <= RETENTION_S]
        runs.runs[engine_id] = young
        if not young:
            del runs.runs[engine_id]
    for engine_id, ended_s in list(runs.ended_s.items()):
        if now_s - ended_s > RETENTION_S:
            del runs.ended_s[engine_id]
    for kept in (runs.runs, runs.ended_s):
        for engine_id in list(kept)[: max(0, len(kept) - MOST_ENGINES)]:
            del kept[engine_id]
