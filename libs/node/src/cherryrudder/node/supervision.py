"""Watching all streams for silence, and carrying them on when an engine has died.

One task looks at every stream some fifty times a second; a timer for each event of
each stream would cost a quarter of the time that an entry spends on it. A silent
stream's chain is looked into (`stalls`), and its dead part is replaced: the survivors
keep their memory, and the stream goes on once the new part has read it.
"""

from typing import TYPE_CHECKING

import anyio
from loguru import logger

from cherryrudder.layers import pace
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import answertimes, endpoints, hangs
from cherryrudder.routing.answertimes import Bounds

from . import crashes, entrystate, reroute, stalls
from .chainscheduler import ChainSchedulers
from .entrystate import EntryState
from .stalls import StallDesk
from .stream import FIRST_LOST_S, FIRST_SILENCE_S

if TYPE_CHECKING:
    from .stream import Stream

log = logger.bind(part="streams")

REVIEW_S = 0.02
# When a stream counts as silent, by its own pauses: engines read long prompts between
# its events, and clients count a pause of some 200 ms as late.
SILENCE_BOUNDS = Bounds(min_s=0.07, initial_s=FIRST_SILENCE_S, max_s=1.0)
# A chain with an engine that was found dead by another stream needs less proof.
ACCUSED_SILENCE_S = 0.06
# Weight of the newest pause in a stream's usual one.
PAUSE_MEMORY = 0.2
# Each further look at a stream that is slow but not stalled waits longer.
BACK_OFF = 1.6
# The engines themselves give up on a dead neighbour after 2.5 s; past this the first
# engine is lost as well.
LOST_AFTER_S = 4.0
# An engine that leaves serves for some two seconds more, as operators give it. Streams
# that are still under way at the end are cut, and go on elsewhere after 0.3 s or not at
# all; moved before, their clients see the pause of reading the prompt, some 0.1 s. A
# stream that moves when half of that time is over would hardly have ended by itself.
MOVE_AFTER_S = 1.0
MOVE_SPREAD_S = 0.7
MOVE_AGAIN_S = 0.3
# Between two complaints of one stream's pace. Its control VM looks at once, and knows
# an engine that it has just found sound.
COMPLAIN_EVERY_S = 1.0
# A round that comes this late says that this process itself stood still, and not that
# the engines did: what they sent meanwhile is yet to be read.
LATE_ROUND_S = 0.1


class Watch:
    """The streams of one entry that are under way."""

    def __init__(self, state: EntryState, stalls: StallDesk, desks: ChainSchedulers):
        self.state = state
        self.stalls = stalls
        self.desks = desks
        self.streams: set[Stream] = set()

    async def run(self) -> None:
        """Look at the streams again and again."""
        async with anyio.create_task_group() as group:
            last_s = now_s()
            while True:
                await self._wait_for_review()
                now = now_s()
                is_late = now - last_s > REVIEW_S + LATE_ROUND_S
                last_s = now
                hung = set() if is_late else self._find_hung(now)
                for stream in tuple(self.streams):
                    if is_late:
                        progressed(stream, now)
                    elif _is_hung(stream, hung):
                        stream.exclude(stream.chain[0].address, now + FIRST_LOST_S)
                        stream.break_off("the first engine begins nothing")
                    elif _is_to_stop(stream, now):
                        stream.break_off(crashes.REFUSED_AS_CRASHING.reason)
                    elif self._is_due(stream, now):
                        stream.is_looked_at = True
                        group.start_soon(self._look_after, stream, self._look)
                    elif self._is_to_move(stream, now):
                        stream.is_looked_at = True
                        group.start_soon(self._look_after, stream, self._move)
                    elif _is_crawling(stream, now):
                        self._complain(stream, now)

    async def _wait_for_review(self):
        """Wait for the next round, which the news of a death brings forward."""
        with anyio.move_on_after(REVIEW_S):
            await self.state.engine_died.wait()
        if self.state.engine_died.is_set():
            self.state.engine_died = anyio.Event()

    def _find_hung(self, now):
        """Return the engines that hang, and log those that were found now."""
        state = self.state
        for engine_id in hangs.find_hanging(state.hangs, now):
            state.metrics.beliefs.labels("engine-hung").inc()
            state.sink.write("streams", "engine-hung", True, engine_id=engine_id)
        return {e for e in state.hangs.waiting if hangs.is_ejected(state.hangs, e, now)}

    def _is_due(self, stream, now):
        if stream.is_looked_at or stream.connection is None:
            return False
        if now >= stream.job.end_s:
            stream.is_late = True
            stream.break_off("the time is up")
            return False
        silent_s = now - stream.progressed_s
        if silent_s > LOST_AFTER_S:
            lose_first(stream, "silent")
            stream.has_lost_first = True
            stream.break_off("the first engine is silent")
            return False
        if silent_s > stream.silence_s:
            return True
        return silent_s > ACCUSED_SILENCE_S and bool(self._accused(stream, now))

    def _is_to_move(self, stream, now):
        """Tell whether a stream goes through an engine that ends before it may.

        Not when it may still end by itself, and each at a moment of its own: all
        streams of an engine at once would read their prompts again at the same time.
        """
        if stream.is_looked_at or not stream.has_head or now < stream.moves_s:
            return False
        return bool(self._leaving(stream, now))

    def _leaving(self, stream, now):
        """Return the parts behind the first whose engines leave soon, by address."""
        leaving_s = self.state.leaving_since_s
        return {
            part.address
            for part in stream.chain[1:]
            if now - leaving_s.get(part.engine_id, now) > MOVE_AFTER_S
        }

    async def _move(self, stream):
        now, connection = now_s(), stream.connection
        if not stream.moves_s:
            # Due for the first time: its own moment is still to come.
            stream.moves_s = now + self.state.rng.random() * MOVE_SPREAD_S
            return
        stream.moves_s = now + MOVE_AGAIN_S
        chain = reroute.find_replacement(stream, self._leaving(stream, now))
        if chain is None or connection is None:
            return
        status, _ = await reroute.order(stream, chain, is_move=True)
        if stream.connection is connection and status in (200, 202):
            reroute.take(stream, chain)

    def _complain(self, stream, now):
        stream.complained_s = now
        table = self.state.endpoints.table.entries
        known = [table.get(part.engine_id) for part in stream.chain]
        self.stalls.uplink.report_slowness(
            [e.announcement for e in known if e is not None]
        )

    def _accused(self, stream, now):
        """Return the parts whose engines are thought dead, gone, or without the layers.

        By incarnation: an engine that has started again at its address has lost its
        memory. One that leaves still serves what it has; see `_move`.
        """
        table = self.state.endpoints.table
        holdings = {a.engine_id: a.holding for a in endpoints.live(table, now)}
        return {
            part.address
            for part in stream.chain
            if not _holds(holdings.get(part.engine_id), part)
            or entrystate.is_suspect(self.state, part.engine_id, now)
        }

    async def _look_after(self, stream, work):
        try:
            await work(stream)
        except Exception as error:
            # A fault in looking after one stream must not end the process, and with
            # it all others; the stream itself still ends by its time limit.
            log.opt(exception=error).error("A stream was not looked after.")
        finally:
            stream.is_looked_at = False

    async def _look(self, stream):
        stream.silence_s = min(SILENCE_BOUNDS.max_s, stream.silence_s * BACK_OFF)
        lost = await self._find_lost(stream)
        if lost and stream.connection is not None:
            await reroute.replace_lost(stream, stream.connection, lost)

    async def _find_lost(self, stream):
        """Return the addresses of the chain's engines that are dead or cut off."""
        accused = self._accused(stream, now_s())
        if accused:
            return accused
        # The stream may be on its next chain when the looks are over.
        chain = stream.chain
        addresses = [part.address for part in chain]
        looks = await self.stalls.look(addresses)
        silent = {
            part.address
            for part in chain
            if not self._has_answered(part.engine_id, looks[part.address].report)
        }
        if len(silent) * 2 > len(addresses):
            # Rather this machine than most engines at once.
            return set()
        self._note_paces(chain, looks)
        first = looks[addresses[0]].report
        request_id = stream.job.facts.request_id
        for stalled in first.stalled if first else ():
            if stalled.request_id == request_id and stalled.address in addresses:
                silent.add(stalled.address)
        for address in silent:
            self.stalls.accuse(address, "silent or stalled")
        return silent

    def _note_paces(self, chain, looks):
        for part in chain:
            report = looks[part.address].report
            entry = self.state.endpoints.table.entries.get(part.engine_id)
            if report is not None and entry is not None:
                self.stalls.uplink.report_pace(entry.announcement, report.slowness)

    def _has_answered(self, engine_id, report):
        """Tell whether a report is there, of the incarnation that the chain names."""
        if report is None:
            return False
        entry = self.state.endpoints.table.entries.get(engine_id)
        return entry is None or stalls.is_of_incarnation(report, entry.announcement)


def _holds(holding, part):
    return (
        holding is not None and holding.first <= part.first and part.end <= holding.end
    )


def _is_hung(stream, hung):
    """Tell whether a stream waits at an engine that hangs and may go elsewhere."""
    is_at_hung = stream.chain[0].engine_id in hung and not stream.has_head
    return is_at_hung and stream.job.is_idempotent


def _is_to_stop(stream, now):
    """Tell whether a stream that no engine has begun yet would end its engine."""
    is_waiting = stream.connection is not None and not stream.has_head
    return is_waiting and crashes.is_blocked(stream.job, now)


def _is_crawling(stream, now):
    if not stream.has_begun or now - stream.complained_s < COMPLAIN_EVERY_S:
        return False
    silent_s = now - stream.progressed_s
    expected_s = stream.expected_pause_s
    return pace.is_slow(stream.pause_s, expected_s) or pace.is_stalled(
        silent_s, expected_s
    )


def progressed(stream: "Stream", now: float) -> None:
    """Take note that a stream is alive."""
    if stream.has_begun:
        pause_s = now - stream.progressed_s
        stream.pause_s += PAUSE_MEMORY * (pause_s - stream.pause_s)
        # An outage is no usual pause.
        answertimes.record_time(stream.pauses, min(pause_s, stream.silence_s))
        stream.silence_s = answertimes.timeout_s(stream.pauses, SILENCE_BOUNDS)
    else:
        stream.silence_s = FIRST_SILENCE_S
    stream.progressed_s = now


def lose_first(stream: "Stream", why: str, is_unreached: bool = True) -> None:
    """Take the first engine of a stream's chain as dead."""
    first = stream.chain[0]
    if is_unreached:
        stream.exclude(first.address)
    else:
        stream.exclude(first.address, now_s() + FIRST_LOST_S)
    stream.stalls.accuse(first.address, why, is_unreached)
