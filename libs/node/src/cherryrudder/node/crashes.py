"""An entry's part in finding requests that end the engines which begin them."""

import math
from typing import TYPE_CHECKING

import anyio

from cherryrudder.replica.clock import now_s
from cherryrudder.routing import blame, crashbook
from cherryrudder.routing.crashbook import Crash, Record
from cherryrudder.routing.gatekeeping import Refused

from . import brokenruns, entrystate
from .brokenruns import BrokenRun
from .entrystate import EntryState
from .gossip import CrashNews

if TYPE_CHECKING:
    from .job import Job

# Final for every client: it names the request itself, and promises nothing of its runs.
ENDS_ENGINES = Refused(400, "it ends the engines that run it")
# How long a request that engines ended under before waits to hear whether this one has
# ended, too: control VMs find it out in some milliseconds, and two ask for 0.4 s.
VERDICT_WAIT_S = 0.5
VERDICT_POLL_S = 0.02


def is_blocked(job: "Job", now_s: float) -> bool:
    """Tell whether a request is to be refused, since it ends its engines.

    Those of other software than ended may run it.
    """
    state = job.state
    block = state.crashes.block_of(job.fingerprint, now_s)
    if block is None:
        return False
    serving = entrystate.serving(state, job.service.name, now_s)
    return not serving or any(one.version in block.versions for one in serving)


def note_refused(job: "Job", now_s: float) -> None:
    """Log that a request is refused for its block."""
    state = job.state
    block = state.crashes.block_of(job.fingerprint, now_s)
    state.metrics.crashes.labels("refused").inc()
    job.note(
        "blocked",
        fingerprint=job.fingerprint,
        engine_ids=block.engine_ids if block else (),
        left_s=round(block.until_s - now_s, 1) if block else 0.0,
    )


def broke(job: "Job", engine_id: str, event: int, now_s: float) -> CrashNews:
    """Keep a run that broke off; return what others are to hear of it."""
    _drop_refuted_end(job.state, engine_id)
    run = BrokenRun(
        fingerprint=job.fingerprint,
        request_id=job.facts.request_id,
        account=job.admitted.account,
        service=job.service.name,
        last_event=event,
        broke_s=now_s,
    )
    brokenruns.broke(job.state.broken, engine_id, run)
    return _record_crashes(job.state, engine_id, now_s)


def _drop_refuted_end(state, engine_id):
    """Drop an end after which the engine was heard again."""
    entry = state.endpoints.table.entries.get(engine_id)
    ended_s = state.broken.ended_s.get(engine_id, math.inf)
    if entry is not None and entry.heard_s > ended_s:
        brokenruns.lives(state.broken, engine_id)


def engine_ended(state: EntryState, engine_id: str, now_s: float) -> CrashNews:
    """Take note that an engine has ended; return what others are to hear."""
    brokenruns.ended(state.broken, engine_id, now_s)
    return _record_crashes(state, engine_id, now_s)


def _record_crashes(state, engine_id, now):
    leaving_s = state.leaving_s.get(engine_id, math.inf)
    entry = state.endpoints.table.entries.get(engine_id)
    runs = brokenruns.take(state.broken, engine_id, leaving_s) if entry else []
    records = {}
    for run in runs:
        engine = entry.announcement
        crash = Crash(
            engine_id, engine.vm_zone, engine.version, run.last_event, run.broke_s
        )
        records[run.fingerprint] = Record(run.account, run.service, (crash,))
        state.metrics.crashes.labels("engine-ended").inc()
        state.sink.write(
            "crashes",
            "engine-ended",
            True,
            engine_id=engine_id,
            age_s=round(now - run.broke_s, 3),
            **run._asdict(),
        )
    return state.crashes.record(records, now)


def reached(job: "Job", event: int, now_s: float) -> CrashNews | None:
    """Take note how far a run got on an engine that lives; return what is news."""
    desk = job.state.crashes
    known = desk.book.records.get(job.fingerprint)
    if known is None or not desk.is_watched(job.fingerprint):
        return None
    if event <= crashbook.place(known) + blame.SAME_PLACE_EVENTS:
        return None
    record = Record(known.account, known.service, passed=event)
    return desk.record({job.fingerprint: record}, now_s)


async def wait_for_fate(job: "Job", engine_id: str) -> None:
    """Wait until it is known whether an engine has ended under a request.

    Only where others have before; else each further attempt would end one more.
    """
    state, until_s = job.state, now_s() + VERDICT_WAIT_S
    if job.fingerprint not in state.crashes.book.records:
        return
    while now_s() < until_s and engine_id in state.broken.runs:
        await anyio.sleep(VERDICT_POLL_S)


async def wait_apart(job: "Job") -> None:
    """Hold a suspect back for a moment of its own."""
    delay_s = blame.send_delay_s(job.state.crashes.book, job.fingerprint)
    if delay_s:
        await anyio.sleep(min(delay_s, max(0.0, job.left_s())))
