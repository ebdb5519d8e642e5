import time
import unittest
from unittest import mock

import anyio
import builders

from cherryrudder.node import enginecalls, stalls
from cherryrudder.node.errors import EngineCallFailed
from cherryrudder.node.stalls import StallDesk
from cherryrudder.node.tablesync import SharedTable
from cherryrudder.platform.engines import Report

A_REPORT = Report(0, False, 0, 0, 0.0, 0.0, 1.0, (0, 8), ())


class EntryStub:
    """What the desk needs of an entry's state."""

    pool = None
    settings = builders.some_settings()

    def __init__(self):
        self.endpoints = SharedTable("boot")


class ForgetTest(unittest.TestCase):
    """An engine leaves while an entry waits for its report about a silent stream.

    Its address is forgotten in between. The look must still end: an error there ended
    the whole entry, with every stream that it had.
    """

    def look(self, address, forget):
        desk = StallDesk(EntryStub(), None)

        async def get_report(address, timeout_s, kept):
            await anyio.sleep(0)
            if forget:
                desk.forget(set())
            if address == "dead":
                raise EngineCallFailed(address)
            return Report(0, False, 0, 0, 0.0, 0.0, 1.0, (0, 8), ())

        kept = enginecalls.get_report
        enginecalls.get_report = get_report
        try:
            return anyio.run(desk.look, [address, "other"])
        finally:
            enginecalls.get_report = kept

    def test_a_forgotten_address_is_still_answered(self):
        self.assertIsNotNone(self.look("e", forget=True)["e"].report)

    def test_an_engine_that_gives_no_report_is_told(self):
        found = self.look("dead", forget=False)
        self.assertIsNone(found["dead"].report)
        self.assertIsNotNone(found["other"].report)


def stand_still(wait_s):
    """Hold the loop up, as a long computation does."""
    time.sleep(wait_s)


class StandstillTest(unittest.TestCase):
    """An entry decodes a large configuration while it waits for an engine's report.

    Its time limit passes although the answer is there, unread. Taken for death, this
    breaks every stream through the engine off.
    """

    def test_a_report_is_asked_for_again_after_an_own_standstill(self):
        desk = StallDesk(EntryStub(), None)
        calls = []

        async def get_report(address, timeout_s, kept):
            calls.append(address)
            if len(calls) == 1:
                stand_still(timeout_s + 2 * stalls.PROCESS_STALL_S)
                raise EngineCallFailed(address)
            return Report(0, False, 0, 0, 0.0, 0.0, 1.0, (0, 8), ())

        kept = enginecalls.get_report
        enginecalls.get_report = get_report
        try:
            found = anyio.run(desk.look, ["engine"])
        finally:
            enginecalls.get_report = kept
        self.assertIsNotNone(found["engine"].report)
        self.assertEqual(len(calls), 2)


class SharedLookTest(unittest.TestCase):
    """Guards against a look of its own, one after the other, for each silent stream."""

    STREAMS = 6

    def test_streams_that_are_silent_together_share_one_look(self):
        desk = StallDesk(EntryStub(), None)
        calls, seen = [], []

        async def get_report(address, timeout_s, kept):
            calls.append(address)
            await anyio.sleep(timeout_s)
            raise EngineCallFailed(address)

        async def look():
            found = await desk.look(["dark"])
            seen.append(found["dark"].report)

        async def play():
            async with anyio.create_task_group() as group:
                for _ in range(self.STREAMS):
                    group.start_soon(look)

        with mock.patch.object(enginecalls, "get_report", get_report):
            anyio.run(play)
        self.assertEqual(seen, [None] * self.STREAMS)
        self.assertEqual(len(calls), len(stalls.NEAR_TRIES))


class DarkEngineTest(unittest.TestCase):
    """Guards against a dark engine's streams pausing for longer than clients allow."""

    # An allowed pause, less a stream's silence and the reading by the new part.
    ALLOWED_S = 0.25 - 0.11 - 0.06

    def test_it_is_known_in_time_once_others_have_answered(self):
        desk = StallDesk(EntryStub(), None)
        limits_s = []

        async def get_report(address, timeout_s, kept):
            if address == "dark":
                limits_s.append(timeout_s)
                raise EngineCallFailed(address)
            return A_REPORT

        async def play():
            for number in range(20):
                await desk.look(["first", f"engine-{number}"])
            return await desk.look(["first", "dark"])

        with mock.patch.object(enginecalls, "get_report", get_report):
            found = anyio.run(play)
        self.assertIsNone(found["dark"].report)
        self.assertLessEqual(sum(limits_s), self.ALLOWED_S)

    def test_it_is_known_in_time_in_the_first_look_of_an_entry(self):
        desk = StallDesk(EntryStub(), None)
        limits_s = []

        async def get_report(address, timeout_s, kept):
            if address == "dark":
                limits_s.append(timeout_s)
                await anyio.sleep(timeout_s)
                raise EngineCallFailed(address)
            return A_REPORT

        with mock.patch.object(enginecalls, "get_report", get_report):
            anyio.run(desk.look, ["first", "dark", "one", "two"])
        self.assertLessEqual(sum(limits_s), self.ALLOWED_S)

    def test_a_starved_first_engine_is_given_more_time_than_a_part(self):
        desk = StallDesk(EntryStub(), None)

        async def get_report(address, timeout_s, kept):
            if address == "starved":
                await anyio.sleep(min(timeout_s, 0.15))
                if timeout_s < 0.15:
                    raise EngineCallFailed(address)
            return A_REPORT

        async def play():
            part = await desk.look(["first", "starved"])
            first = await desk.look(["starved", "other"])
            return part["starved"].report, first["starved"].report

        with mock.patch.object(enginecalls, "get_report", get_report):
            part, first = anyio.run(play)
        self.assertIsNone(part)
        self.assertIsNotNone(first)

    def test_engines_that_need_a_second_try_are_given_more_time(self):
        desk = StallDesk(EntryStub(), None)
        limits_s, calls = [], {}

        async def get_report(address, timeout_s, kept):
            calls[address] = calls.get(address, 0) + 1
            limits_s.append(timeout_s)
            if calls[address] == 1 and address != "first":
                await anyio.sleep(timeout_s)
                raise EngineCallFailed(address)
            return A_REPORT

        async def play():
            for number in range(8):
                await desk.look(["first", f"busy-{number}"])

        with mock.patch.object(enginecalls, "get_report", get_report):
            anyio.run(play)
        self.assertGreater(limits_s[-1], 2 * limits_s[1])

    def look_afar(self, answers):
        """Return how often a dark engine far away is asked beside some others."""
        desk = StallDesk(EntryStub(), None)
        desk._zone_of = lambda _: "b"
        calls = []

        async def get_report(address, timeout_s, kept):
            calls.append(address)
            if address == "dark" or not answers:
                await anyio.sleep(timeout_s)
                raise EngineCallFailed(address)
            await anyio.sleep(0.001)
            return A_REPORT

        with mock.patch.object(enginecalls, "get_report", get_report):
            anyio.run(desk.look, ["dark", "one", "two", "three"])
        return calls.count("dark")

    def test_one_far_away_is_known_as_soon_where_others_there_answer(self):
        self.assertEqual(self.look_afar(answers=True), len(stalls.NEAR_TRIES))

    def test_one_behind_a_link_that_loses_packets_is_asked_once_more(self):
        self.assertEqual(self.look_afar(answers=False), len(stalls.FAR_TRIES))

    def test_an_engine_whose_first_answer_is_lost_lives(self):
        desk = StallDesk(EntryStub(), None)
        calls = []

        async def get_report(address, timeout_s, kept):
            calls.append(address)
            if len(calls) == 1:
                raise EngineCallFailed(address)
            return A_REPORT

        with mock.patch.object(enginecalls, "get_report", get_report):
            found = anyio.run(desk.look, ["engine"])
        self.assertIsNotNone(found["engine"].report)
