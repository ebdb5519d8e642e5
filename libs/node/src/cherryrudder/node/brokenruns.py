"""Keep runs that broke off until it is known whether their engine has crashed.

A broken answer alone is no evidence of a crash, as connections are also lost and reset
while the engine is alive. The engine crashed during those runs only if control VMs
found it dead too, or another incarnation is at its address.
"""

from cherryrudder.routing.partpasses import CutRun

# How long runs are kept: an unused engine's end is only detected when its next
# incarnation is at its address.
RETENTION_S = 10.0
MAX_ENGINES = 64
MAX_RUNS = 256
# Data that an engine sent before it ended is read within this time.
IN_FLIGHT_S = 0.2


class BrokenRuns:
    """Broken runs by engine, and the engines that are known to have ended."""

    def __init__(self):
        self.runs: dict[str, list[CutRun]] = {}
        self.ended_s: dict[str, float] = {}


def add(runs: BrokenRuns, engine_id: str, run: CutRun) -> None:
    """Add a run that an engine broke off; the oldest are dropped beyond MAX_RUNS."""
    kept = runs.runs.setdefault(engine_id, [])
    kept.append(run)
    del kept[:-MAX_RUNS]


def record_end(runs: BrokenRuns, engine_id: str, now_s: float) -> None:
    """Record that an engine has ended."""
    runs.ended_s.setdefault(engine_id, now_s)


def record_alive(runs: BrokenRuns, engine_id: str) -> None:
    """Record that an engine is alive: its runs broke for another reason."""
    runs.runs.pop(engine_id, None)
    runs.ended_s.pop(engine_id, None)


def record_answer(runs: BrokenRuns, engine_id: str, now_s: float) -> None:
    """Drop the broken runs after which the engine has answered another request."""
    broken = runs.runs.get(engine_id)
    if broken:
        late = [run for run in broken if now_s - run.broke_s < IN_FLIGHT_S]
        runs.runs[engine_id] = late
        if not late:
            del runs.runs[engine_id]


def take_crashed(
    runs: BrokenRuns, engine_id: str, leaving_since_s: float
) -> list[CutRun]:
    """Remove and return the runs during which an engine crashed, if it has ended.

    Runs that broke after the engine announced that it leaves are left out, as that end
    was planned.
    """
    if engine_id not in runs.ended_s:
        return []
    broken = runs.runs.pop(engine_id, [])
    return [run for run in broken if run.broke_s < leaving_since_s]


def sweep(runs: BrokenRuns, now_s: float) -> None:
    """Drop runs and ends that are old, and the oldest beyond MAX_ENGINES."""
    for engine_id, broken in list(runs.runs.items()):
        young = [run for run in broken if now_s - run.broke_s <= RETENTION_S]
        runs.runs[engine_id] = young
        if not young:
            del runs.runs[engine_id]
    for engine_id, ended_s in list(runs.ended_s.items()):
        if now_s - ended_s > RETENTION_S:
            del runs.ended_s[engine_id]
    for kept in (runs.runs, runs.ended_s):
        for engine_id in list(kept)[: max(0, len(kept) - MAX_ENGINES)]:
            del kept[engine_id]
