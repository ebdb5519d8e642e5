"""An entry's part in the detection of requests that crash the engines they run on."""

import math
from typing import TYPE_CHECKING

import anyio

from cherryrudder.replica.clock import now_s
from cherryrudder.routing import blame, crashbook, partpasses
from cherryrudder.routing.authorization import Refused
from cherryrudder.routing.crashbook import FINISHED, RequestRecord
from cherryrudder.routing.partpasses import CutRun, Pass

from . import brokenruns, entrystate
from .entrystate import EntryState
from .gossip import CrashUpdate

if TYPE_CHECKING:
    from .job import Job

# Final for every client: the status marks the request itself as at fault. It doesn't
# imply that the request wasn't run.
REFUSED_AS_CRASHING = Refused(400, "it ends the engines that run it")
# How long a request under which engines ended before waits for the verdict on the next
# one. Control VMs reach it within some milliseconds; when two ask, it takes 0.4 s.
VERDICT_WAIT_S = 0.5
VERDICT_POLL_S = 0.02
# Mean time between the first tries of a blocked request by several entries: some times
# as long as it takes until all of them know whether the first one crashed its engine.
PROBE_INTERVAL_S = 2.0
BLOCK_POLL_S = 0.02


def is_blocked(job: "Job", now_s: float) -> bool:
    """Return whether to refuse a request because it crashes engines."""
    return _find_block(job, now_s) is not None


def _find_block(job, now_s):
    """Return the blocked fingerprint of a request or of one of its parts, or None.

    It isn't refused, after a while, while all engines run other versions than those
    that crashed.
    """
    state = job.state
    book = state.crashes.book
    if not book.blocks:
        return None
    fingerprint = blame.find_block(book, fingerprints(job), now_s)
    if fingerprint is None:
        return None
    versions = book.blocks[fingerprint].versions
    serving = entrystate.serving_endpoints(state, job.service.name, now_s)
    probes_s = state.crashes.probes_s
    if not serving or any(one.version in versions for one in serving):
        probes_s.pop(fingerprint, None)
        return fingerprint
    if fingerprint not in probes_s:
        # Entries try the new version in turn, as the first try tells all of them.
        turn_s = state.rng.random() * (state.entries - 1) * PROBE_INTERVAL_S
        probes_s[fingerprint] = now_s + turn_s
    return fingerprint if now_s < probes_s[fingerprint] else None


def fingerprints(job: "Job") -> frozenset[str]:
    """Return the fingerprints of a request and of the parts of its prompt."""
    return frozenset((job.fingerprint, *partpasses.fingerprints(job.parts)))


def find_blocked_part(job: "Job", now_s: float) -> str | None:
    """Return the blocked part of a request that isn't blocked itself, or None."""
    fingerprint = _find_block(job, now_s)
    if fingerprint is None or fingerprint == job.fingerprint:
        return None
    block = job.state.crashes.book.blocks[fingerprint]
    return None if job.fingerprint in block.companions else fingerprint


async def confirm_block(job: "Job") -> bool:
    """Hold a blocked request until its block is confirmed; return if it is blocked.

    The refusal is final for its client, while a new block may still be lifted. A
    request that only has a blocked part isn't refused for good.
    """
    book = job.state.crashes.book
    while (fingerprint := _find_block(job, now_s())) is not None:
        if find_blocked_part(job, now_s()) is not None:
            return False
        delay_s = blame.refusal_delay_s(book, fingerprint, now_s())
        if min(delay_s, job.left_s()) <= 0.0:
            return True
        await anyio.sleep(BLOCK_POLL_S)
    return False


def log_refused(job: "Job", now_s: float) -> None:
    """Log that a request is refused because it is blocked."""
    state = job.state
    book = state.crashes.book
    fingerprint = _find_block(job, now_s)
    block = book.blocks.get(fingerprint)
    state.metrics.crashes.labels("refused").inc()
    job.log_event(
        "blocked",
        fingerprint=fingerprint or job.fingerprint,
        prompt_part=book.records[fingerprint].part if fingerprint else "",
        engine_ids=block.engine_ids if block else (),
        left_s=round(block.until_s - now_s, 1) if block else 0.0,
    )


def record_broken_run(
    job: "Job",
    engine_id: str,
    event: int,
    now_s: float,
    run_events: int = 0,
    begun_s: float = -math.inf,
) -> CrashUpdate:
    """Record that a run broke off; return the update for others.

    The run began at `begun_s` and sent `run_events` events; its last one was `event`.
    """
    _drop_refuted_end(job.state, engine_id)
    run = CutRun(
        fingerprint=job.fingerprint,
        request_id=job.facts.request_id,
        account=job.admitted.account,
        service=job.service.name,
        parts=job.parts,
        last_event=event,
        run_events=run_events,
        begun_s=begun_s,
        broke_s=now_s,
        on_trial=job.on_trial,
    )
    brokenruns.add(job.state.broken, engine_id, run)
    return _record_crashes(job.state, engine_id, now_s)


def _drop_refuted_end(state, engine_id):
    """Drop the recorded end of an engine that has sent a sign of life since."""
    entry = state.endpoints.table.entries.get(engine_id)
    ended_s = state.broken.ended_s.get(engine_id, math.inf)
    if entry is not None and entry.last_seen_s > ended_s:
        brokenruns.record_alive(state.broken, engine_id)


def record_engine_end(state: EntryState, engine_id: str, now_s: float) -> CrashUpdate:
    """Record that an engine has ended; return the update for others."""
    brokenruns.record_end(state.broken, engine_id, now_s)
    return _record_crashes(state, engine_id, now_s)


def _record_crashes(state, engine_id, now):
    leaving_s = state.leaving_since_s.get(engine_id, math.inf)
    entry = state.endpoints.table.entries.get(engine_id)
    runs = brokenruns.take_crashed(state.broken, engine_id, leaving_s) if entry else []
    if not runs:
        return state.crashes.record({}, now)
    for run in runs:
        _log_crashed(state, engine_id, run, now)
    engine = entry.announcement
    records = partpasses.record_crash(
        state.passes, engine_id, engine.vm_zone, engine.version, runs
    )
    return state.crashes.record(records, now)


def _log_crashed(state, engine_id, run, now):
    state.metrics.crashes.labels("engine-ended").inc()
    state.sink.write(
        "crashes",
        "engine-ended",
        True,
        engine_id=engine_id,
        age_s=round(now - run.broke_s, 3),
        fingerprint=run.fingerprint,
        request_id=run.request_id,
        account=run.account,
        service=run.service,
        prompt_parts=[part.label for part in run.parts],
        last_event=run.last_event,
        run_events=run.run_events,
        broke_s=run.broke_s,
        on_trial=sorted(run.on_trial),
    )


def record_progress(
    job: "Job", event: int, now_s: float, reached_s: float | None = None
) -> CrashUpdate | None:
    """Record a run's progress on a live engine; return the update, None if none.

    It was reached at `reached_s`, now if that isn't given. `event` is FINISHED only for
    a run from the start of the answer to its end: what crashes engines there may lie
    before the place from which a run resumes.
    """
    tracker = job.state.crashes
    known = tracker.book.records.get(job.fingerprint)
    reached_s = now_s if reached_s is None else reached_s
    if known is None or not _is_further(known, event, reached_s):
        return None
    # A whole run counts for later crashes as well, before there are enough to suspect.
    if event != FINISHED and not tracker.is_watched(job.fingerprint):
        return None
    record = RequestRecord(
        known.account, known.service, passed=event, passed_s=reached_s
    )
    _log_outlived(job, job.fingerprint, known, event)
    return tracker.record({job.fingerprint: record}, now_s)


def _is_further(known, event, at_s):
    """Return whether a run is evidence beside what a record holds."""
    if event == FINISHED:
        return crashbook.is_newer_pass(known, at_s)
    return event > crashbook.furthest_event(known) + blame.POSITION_TOLERANCE_EVENTS


def _log_outlived(job, fingerprint, known, event):
    """Log that a run got further than those that crashes cut."""
    job.state.sink.write(
        "crashes",
        "crashes-outlived",
        fingerprint=fingerprint,
        prompt_part=known.part,
        request_id=job.facts.request_id,
        event_number=event,
        passed=known.passed,
        crash_positions=[crash.last_event for crash in known.crashes],
    )


def record_pass(
    job: "Job", engine_id: str, passed_s: float, now_s: float, events: int = FINISHED
) -> CrashUpdate | None:
    """Record that a run got past the start of its answer; return the update, if any.

    This is evidence for all parts of its prompt, and for the request if the run was
    whole. Others only need it for those parts that are under suspicion. `events` is how
    many the run has sent, or FINISHED if from the start of the answer to its end.
    """
    state = job.state
    entry = state.endpoints.table.entries.get(engine_id)
    if entry is None:
        return None
    passed = Pass(entry.announcement.version, passed_s, events)
    if events == FINISHED:
        partpasses.record_whole_run(state.passes, job.fingerprint, passed)
    partpasses.record_pass(state.passes, job.parts, passed)
    if not has_watched_part(job):
        return None
    records = {}
    # A part that isn't watched may explain the same crashes, and would be blocked next.
    for fingerprint in partpasses.fingerprints(job.parts):
        known = state.crashes.book.records.get(fingerprint)
        if known is None or not _is_further(known, events, passed_s):
            continue
        if any(crash.version == passed.version for crash in known.crashes):
            seen = RequestRecord(known.account, known.service, part=known.part)
            records[fingerprint] = partpasses.with_pass(seen, passed)
            _log_outlived(job, fingerprint, known, events)
    return state.crashes.record(records, now_s) if records else None


def has_watched_part(job: "Job") -> bool:
    """Return whether crashes may be put down to a part of a request's prompt."""
    watched = job.state.crashes.book.watched
    return not watched.isdisjoint(partpasses.fingerprints(job.parts))


async def wait_for_engine_verdict(job: "Job", engine_id: str) -> None:
    """Wait until it is known whether an engine has ended under a request.

    It only waits if engines have ended under the request before, or under one of its
    parts that no whole run has got through. Without the wait, each further attempt
    could crash one more engine.
    """
    state, until_s = job.state, now_s() + VERDICT_WAIT_S
    records = state.crashes.book.records
    crashed = (records[one] for one in fingerprints(job) if one in records)
    if all(record.part and record.passed == FINISHED for record in crashed):
        return
    while now_s() < until_s and engine_id in state.broken.runs:
        await anyio.sleep(VERDICT_POLL_S)


async def delay_suspect(job: "Job") -> None:
    """Delay a suspect request, so that suspects don't run at the same time.

    One that is held isn't delayed: it runs apart from the others in any case.
    """
    if blame.is_held(job.state.crashes.book, job.fingerprint, now_s()):
        return
    delay_s = blame.send_delay_s(job.state.crashes.book, job.fingerprint)
    if delay_s:
        await anyio.sleep(min(delay_s, max(0.0, job.left_s())))
