"""Check all streams for silence, and reroute them when an engine has died.

One task reviews every stream some fifty times a second. A timer for each event of each
stream would cost a quarter of the time that an entry spends on the stream. When a
stream is silent, the engines of its chain are asked for reports (`stalls`) and its dead
part is replaced. The surviving engines keep their caches, and the stream continues once
the new part has read the request.
"""

import collections
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from cherryrudder.layers import pace
from cherryrudder.policy import sharedbudget
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import answertimes, endpoints, hangs
from cherryrudder.routing.answertimes import Bounds

from . import crashes, entrystate, reroute, stalls, streamchains
from .chainscheduler import ChainSchedulers
from .entrystate import EntryState
from .hungengines import HungEngines
from .stalls import StallDetector
from .stream import FIRST_ENGINE_EXCLUSION_S, INITIAL_SILENCE_S

if TYPE_CHECKING:
    from .stream import Stream

log = logger.bind(part="streams")

REVIEW_INTERVAL_S = 0.02
# When a stream counts as silent, derived from its own pauses. Engines read long prompts
# between its events, and clients count a pause of some 200 ms as late.
SILENCE_BOUNDS = Bounds(min_s=0.07, initial_s=INITIAL_SILENCE_S, max_s=1.0)
# A shorter limit for a chain with an engine that is already suspect.
SUSPECT_SILENCE_S = 0.06
# Weight of the newest pause in a stream's moving average.
PAUSE_WEIGHT = 0.2
# Factor on the silence limit after each check of a stream that is slow but not stalled.
SILENCE_BACKOFF = 1.6
# Engines time out a dead neighbour after 2.5 s. When a stream is silent for longer than
# this, its first engine is dead as well.
FIRST_ENGINE_TIMEOUT_S = 4.0
# An engine that leaves serves for some two seconds more, as operators set it. Streams
# that are still in flight then are cut, and resume elsewhere after 0.3 s or not at all.
# If they are moved before, their clients only see the pause for reading the prompt,
# some 0.1 s. A stream that still runs after half of that time would hardly have ended
# in time.
MOVE_AFTER_S = 1.0
MOVE_SPREAD_S = 0.7
MOVE_AGAIN_S = 0.3
# Time that a stream needs to begin elsewhere: a prompt is read within 0.1 s.
MIN_LEAVE_S = 0.3
# Interval between two searches for another chain while the first engine hangs. Room
# becomes free as other streams end, every 30 to 90 ms in a busy data centre.
LEAVE_CHECK_INTERVAL_S = 0.08
# Interval between two slowness reports about one stream. The control VM asks the
# engines at once, and ignores those that it has just found healthy.
SLOWNESS_REPORT_INTERVAL_S = 1.0
# A review that is this late means that this process stalled, not the engines: what they
# sent meanwhile has yet to be read.
LATE_REVIEW_S = 0.1


class StreamSupervisor:
    """Watches the streams of one entry that are in flight."""

    def __init__(
        self, state: EntryState, stalls: StallDetector, schedulers: ChainSchedulers
    ):
        self.state = state
        self.stalls = stalls
        self.schedulers = schedulers
        self.streams: set[Stream] = set()
        self.hung = HungEngines(state)

    async def run(self) -> None:
        """Review all streams periodically, until cancelled."""
        async with anyio.create_task_group() as group:
            self.hung.group = group
            last_s = now_s()
            while True:
                await self._wait_for_review()
                now = now_s()
                is_late = now - last_s > REVIEW_INTERVAL_S + LATE_REVIEW_S
                last_s = now
                hung = set() if is_late else self._find_hung(now)
                leaving = collections.Counter()
                for stream in tuple(self.streams):
                    if is_late:
                        record_progress(stream, now)
                        continue
                    try:
                        self._review(stream, hung, leaving, now)
                    except Exception as error:
                        self._log_failure(error)

    def _review(self, stream, hung, leaving, now):
        """Do what a stream needs now; `leaving` counts those that leave engines."""
        if _is_hung(stream, hung) and _can_leave(stream, leaving, now):
            leaving[stream.job.service.name] += 1
            stream.exclude(stream.chain[0].address, now + FIRST_ENGINE_EXCLUSION_S)
            stream.abort_attempt("the first engine hangs")
        elif _must_stop(stream, now):
            stream.abort_attempt(crashes.REFUSED_AS_CRASHING.reason)
        elif self._is_due(stream, now):
            stream.is_under_review = True
            self.hung.group.start_soon(self._run_review, stream, self._check_chain)
        elif self._must_move(stream, now):
            stream.is_under_review = True
            self.hung.group.start_soon(self._run_review, stream, self._move)
        elif _is_slow(stream, now):
            self._report_slowness(stream, now)

    def _log_failure(self, error):
        # An error with one stream must not end the process and with it all other
        # streams. The stream itself still ends by its time limit.
        self.state.metrics.failed_steps.labels("stream-review").inc()
        log.opt(exception=error).error("Checking or moving a stream failed.")

    async def _wait_for_review(self):
        """Wait for the next review; it starts early when an engine is found dead."""
        with anyio.move_on_after(REVIEW_INTERVAL_S):
            await self.state.engine_died.wait()
        if self.state.engine_died.is_set():
            self.state.engine_died = anyio.Event()

    def _find_hung(self, now):
        return self.hung.find(now)

    def _is_due(self, stream, now):
        if stream.is_under_review or stream.connection is None:
            return False
        if now >= stream.job.end_s:
            stream.is_late = True
            stream.abort_attempt("the time limit has passed")
            return False
        silent_s = now - stream.last_progress_s
        if silent_s > FIRST_ENGINE_TIMEOUT_S:
            mark_first_dead(stream, "silent")
            stream.has_lost_first = True
            stream.abort_attempt("the first engine is silent")
            return False
        if silent_s > stream.silence_limit_s:
            return True
        return silent_s > SUSPECT_SILENCE_S and bool(self._suspect_parts(stream, now))

    def _must_move(self, stream, now):
        """Return whether a stream is due to move away from engines that leave.

        A stream gets the time to end by itself first. Each stream moves at a random
        time, as otherwise all streams of an engine would read their prompts again at
        once.
        """
        if stream.is_under_review or not stream.has_head or now < stream.move_at_s:
            return False
        return bool(self._leaving(stream, now))

    def _leaving(self, stream, now):
        """Return the addresses of parts after the first whose engines leave soon."""
        leaving_s = self.state.leaving_since_s
        return {
            part.address
            for part in stream.chain[1:]
            if now - leaving_s.get(part.engine_id, now) > MOVE_AFTER_S
        }

    async def _move(self, stream):
        now, connection = now_s(), stream.connection
        if not stream.move_at_s:
            # Due for the first time: choose the random time at which to move.
            stream.move_at_s = now + self.state.rng.random() * MOVE_SPREAD_S
            return
        stream.move_at_s = now + MOVE_AGAIN_S
        chain = reroute.find_replacement(stream, self._leaving(stream, now))
        if chain is None or connection is None:
            return
        status, _ = await reroute.request_reroute(stream, chain, is_move=True)
        if stream.connection is connection and status in (200, 202):
            reroute.switch_chain(stream, chain)

    def _report_slowness(self, stream, now):
        stream.last_slowness_report_s = now
        table = self.state.endpoints.table.entries
        known = [table.get(part.engine_id) for part in stream.chain]
        self.stalls.uplink.report_slowness(
            [e.announcement for e in known if e is not None]
        )

    def _suspect_parts(self, stream, now):
        """Return the addresses of parts whose engines are suspect, gone or lack layers.

        Engines are compared by incarnation: one that has restarted at its address has
        lost its cache. An engine that leaves still serves its streams; see `_move`.
        """
        table = self.state.endpoints.table
        holdings = {a.engine_id: a.holding for a in endpoints.live(table, now)}
        return {
            part.address
            for part in stream.chain
            if not _holds(holdings.get(part.engine_id), part)
            or entrystate.is_suspect(self.state, part.engine_id, now)
        }

    async def _run_review(self, stream, work):
        try:
            await work(stream)
        except Exception as error:
            self._log_failure(error)
        finally:
            stream.is_under_review = False

    async def _check_chain(self, stream):
        stream.silence_limit_s = min(
            SILENCE_BOUNDS.max_s, stream.silence_limit_s * SILENCE_BACKOFF
        )
        lost = await self._find_lost(stream)
        if lost and stream.connection is not None:
            await reroute.replace_lost(stream, stream.connection, lost)

    async def _find_lost(self, stream):
        """Return the addresses of the chain's engines that are dead or unreachable."""
        suspects = self._suspect_parts(stream, now_s())
        if suspects:
            return suspects
        # The stream may be on its next chain when the reports are there.
        chain = stream.chain
        addresses = [part.address for part in chain]
        reports = await self.stalls.get_reports(addresses)
        for part in chain:
            if reports[part.address].report is not None:
                asked_s = reports[part.address].valid_from_s
                self.hung.record_answer(part.engine_id, asked_s)
        silent = {
            part.address
            for part in chain
            if not self._has_answered(part.engine_id, reports[part.address].report)
        }
        if len(silent) * 2 > len(addresses):
            # Most engines don't answer: more likely this machine is cut off.
            return set()
        silent = {address for address in silent if reports[address].is_settled()}
        self._report_paces(chain, reports)
        first = reports[addresses[0]].report
        request_id = stream.job.facts.request_id
        for stalled in first.stalled if first else ():
            if stalled.request_id == request_id and stalled.address in addresses:
                silent.add(stalled.address)
        for address in silent:
            evidence = stalls.describe(reports, address, now_s())
            self.stalls.mark_dead(address, "silent or stalled", **evidence)
        return silent

    def _report_paces(self, chain, reports):
        for part in chain:
            report = reports[part.address].report
            entry = self.state.endpoints.table.entries.get(part.engine_id)
            if report is not None and entry is not None:
                self.stalls.uplink.report_pace(entry.announcement, report.slowness)

    def _has_answered(self, engine_id, report):
        """Return whether a report comes from the incarnation that the chain names."""
        if report is None:
            return False
        entry = self.state.endpoints.table.entries.get(engine_id)
        return entry is None or stalls.is_of_incarnation(report, entry.announcement)


def _holds(holding, part):
    return (
        holding is not None and holding.first <= part.first and part.end <= holding.end
    )


def _is_hung(stream, hung):
    """Return whether a stream waits for an engine that hangs and may be sent again."""
    is_at_hung = stream.chain[0].engine_id in hung and not stream.has_head
    return is_at_hung and stream.job.is_idempotent


def _can_leave(stream, leaving, now):
    """Return whether a stream can begin elsewhere now, where no engine hangs.

    `leaving` counts the streams that leave in the same review, by service.
    """
    job = stream.job
    if now < stream.next_leave_check_s or job.left_s() < MIN_LEAVE_S:
        return False
    stream.next_leave_check_s = now + LEAVE_CHECK_INTERVAL_S
    budget, service = job.state.retry_budget, job.service.name
    count = leaving[service] + 1
    if not sharedbudget.has_retries(budget, service, count, stream.has_begun):
        return False
    if not streamchains.has_other_chain(stream, {stream.chain[0].address}):
        return False
    # All streams of an engine leave it at once. Each searches again once the load of
    # those before it is counted, as otherwise all would take the same chain.
    kept, stream.kept_chain = stream.kept_chain, None
    return not hangs.is_ejected(job.state.hangs, kept.chain[0].engine_id, now)


def _must_stop(stream, now):
    """Return whether a stream that no engine has begun yet is blocked for crashes."""
    is_waiting = stream.connection is not None and not stream.has_head
    return is_waiting and crashes.is_blocked(stream.job, now)


def _is_slow(stream, now):
    if (
        not stream.has_begun
        or now - stream.last_slowness_report_s < SLOWNESS_REPORT_INTERVAL_S
    ):
        return False
    silent_s = now - stream.last_progress_s
    expected_s = stream.expected_pause_s
    return pace.is_slow(stream.mean_pause_s, expected_s) or pace.is_stalled(
        silent_s, expected_s
    )


def record_progress(stream: "Stream", now: float) -> None:
    """Record that data came on a stream, and update its silence limit."""
    if stream.has_begun:
        pause_s = now - stream.last_progress_s
        stream.mean_pause_s += PAUSE_WEIGHT * (pause_s - stream.mean_pause_s)
        # Cap the pause, so that an outage doesn't raise the limit.
        answertimes.record_time(stream.pauses, min(pause_s, stream.silence_limit_s))
        stream.silence_limit_s = answertimes.timeout_s(stream.pauses, SILENCE_BOUNDS)
    else:
        stream.silence_limit_s = INITIAL_SILENCE_S
    stream.last_progress_s = now


def mark_first_dead(stream: "Stream", why: str, is_unreached: bool = True) -> None:
    """Record the first engine of a stream's chain as dead.

    The stream avoids the engine for good if it was unreached, else for a while.
    """
    first = stream.chain[0]
    if is_unreached:
        stream.exclude(first.address)
    else:
        stream.exclude(first.address, now_s() + FIRST_ENGINE_EXCLUSION_S)
    stream.stalls.mark_dead(first.address, why, is_unreached)
