"""Whole runs without a length, kept until their engine has been heard of since.

Such an answer ends with its connection, so an engine that crashes between two events
seems to have finished. What it says of itself later shows that it had.
"""

from typing import TYPE_CHECKING, NamedTuple

from cherryrudder.platform.messages import RequestFacts
from cherryrudder.routing.crashbook import FINISHED
from cherryrudder.routing.fingerprint import Part

from . import crashes
from .gossip import CrashUpdate

if TYPE_CHECKING:
    from .entrystate import EntryState
    from .job import Job

# What an engine said before it ended may arrive this much later.
IN_FLIGHT_S = 0.5
RETENTION_S = 10.0
MAX_RUNS = 1024


class UnframedRun(NamedTuple):
    """A run that ended without a length, with what is needed to record it."""

    state: "EntryState"
    fingerprint: str
    facts: RequestFacts
    parts: tuple[Part, ...]
    engine_id: str
    ended_s: float


def add(job: "Job", engine_id: str, now_s: float) -> None:
    """Keep a run that has just ended; the oldest are dropped beyond MAX_RUNS."""
    kept = job.state.unframed_runs
    kept.append(
        UnframedRun(job.state, job.fingerprint, job.facts, job.parts, engine_id, now_s)
    )
    del kept[:-MAX_RUNS]


def record_confirmed(state: "EntryState", now_s: float) -> list[CrashUpdate]:
    """Record the runs whose engine lived on, drop old ones; return the updates."""
    kept, updates = [], []
    for run in state.unframed_runs:
        entry = state.endpoints.table.entries.get(run.engine_id)
        if entry is not None and entry.last_seen_s > run.ended_s + IN_FLIGHT_S:
            updates += _record(run, now_s)
        elif now_s - run.ended_s < RETENTION_S:
            kept.append(run)
    state.unframed_runs = kept
    return updates


def _record(run, now_s):
    progress = crashes.record_progress(run, FINISHED, now_s, run.ended_s)
    passed = crashes.record_pass(run, run.engine_id, run.ended_s, now_s)
    return [update for update in (progress, passed) if update is not None]
