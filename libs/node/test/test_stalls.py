import time
import unittest
from unittest import mock

import anyio
import builders

from cherryrudder.node import enginecalls, stalls
from cherryrudder.node.errors import EngineCallFailed
from cherryrudder.node.stalls import StallDetector
from cherryrudder.node.tablesync import SharedTable
from cherryrudder.platform.engines import Report
from cherryrudder.wire import timeouts

A_REPORT = Report(0, False, 0, 0, 0.0, 0.0, 1.0, (0, 8), ())


async def time_out(address, timeout_s):
    """Fail like a call to a silent engine, which tells this process's own pauses."""
    with timeouts.move_on_after(timeout_s) as timeout:
        await anyio.sleep_forever()
    raise EngineCallFailed(address, timeout.paused_s)


class EntryStub:
    """The parts of an entry's state that the detector reads."""

    pool = None
    settings = builders.some_settings()

    def __init__(self):
        self.endpoints = SharedTable("boot")


class DroppedAddressTest(unittest.TestCase):
    """Guards against an error when an address is dropped during its report request.

    An engine leaves while an entry waits for its report about a silent stream. An error
    there ended the whole entry with all its streams.
    """

    def get_reports(self, address, drop):
        detector = StallDetector(EntryStub(), None)

        async def get_report(address, timeout_s, kept):
            await anyio.sleep(0)
            if drop:
                detector.drop_unknown(set())
            if address == "dead":
                raise EngineCallFailed(address)
            return Report(0, False, 0, 0, 0.0, 0.0, 1.0, (0, 8), ())

        kept = enginecalls.get_report
        enginecalls.get_report = get_report
        try:
            return anyio.run(detector.get_reports, [address, "other"])
        finally:
            enginecalls.get_report = kept

    def test_a_dropped_address_still_gets_its_result(self):
        self.assertIsNotNone(self.get_reports("e", drop=True)["e"].report)

    def test_a_missing_report_is_returned_as_none(self):
        found = self.get_reports("dead", drop=False)
        self.assertIsNone(found["dead"].report)
        self.assertIsNotNone(found["other"].report)


def block_event_loop(wait_s):
    """Block the event loop, as a long computation does."""
    time.sleep(wait_s)


class ProcessStallTest(unittest.TestCase):
    """Guards against taking an engine as dead when this process stalls.

    An entry decodes a large configuration while it waits for an engine's report, and
    the time limit passes although the answer is there, unread. Every stream through the
    engine would break off.
    """

    def test_a_report_is_requested_again_after_a_stall_of_this_process(self):
        detector = StallDetector(EntryStub(), None)
        calls = []

        async def get_report(address, timeout_s, kept):
            calls.append(address)
            if len(calls) == 1:
                block_event_loop(timeout_s + 2 * stalls.PROCESS_STALL_S)
                raise EngineCallFailed(address)
            return Report(0, False, 0, 0, 0.0, 0.0, 1.0, (0, 8), ())

        kept = enginecalls.get_report
        enginecalls.get_report = get_report
        try:
            found = anyio.run(detector.get_reports, ["engine"])
        finally:
            enginecalls.get_report = kept
        self.assertIsNotNone(found["engine"].report)
        self.assertEqual(len(calls), 2)


class SharedReportTest(unittest.TestCase):
    """Guards against separate, sequential report requests for each silent stream."""

    STREAMS = 6

    def test_streams_that_are_silent_together_share_one_result(self):
        detector = StallDetector(EntryStub(), None)
        calls, seen = [], []

        async def get_report(address, timeout_s, kept):
            calls.append(address)
            await time_out(address, timeout_s)

        async def get_report_once():
            found = await detector.get_reports(["unreachable"])
            seen.append(found["unreachable"].report)

        async def scenario():
            async with anyio.create_task_group() as group:
                for _ in range(self.STREAMS):
                    group.start_soon(get_report_once)

        with mock.patch.object(enginecalls, "get_report", get_report):
            anyio.run(scenario)
        self.assertEqual(seen, [None] * self.STREAMS)
        self.assertEqual(len(calls), len(stalls.NEAR_TRIES))


class UnreachableEngineTest(unittest.TestCase):
    """Guards against too long pauses of streams whose engine is unreachable."""

    # An allowed pause, less a stream's silence limit and the reading by the new part.
    ALLOWED_S = 0.25 - 0.11 - 0.06

    def test_it_is_detected_in_time_once_others_have_answered(self):
        detector = StallDetector(EntryStub(), None)
        limits_s = []

        async def get_report(address, timeout_s, kept):
            if address == "unreachable":
                limits_s.append(timeout_s)
                raise EngineCallFailed(address)
            return A_REPORT

        async def scenario():
            for number in range(20):
                await detector.get_reports(["first", f"engine-{number}"])
            return await detector.get_reports(["first", "unreachable"])

        with mock.patch.object(enginecalls, "get_report", get_report):
            found = anyio.run(scenario)
        self.assertIsNone(found["unreachable"].report)
        self.assertLessEqual(sum(limits_s), self.ALLOWED_S)

    def test_it_is_detected_in_time_in_the_first_check_of_an_entry(self):
        detector = StallDetector(EntryStub(), None)
        limits_s = []

        async def get_report(address, timeout_s, kept):
            if address == "unreachable":
                limits_s.append(timeout_s)
                await time_out(address, timeout_s)
            return A_REPORT

        with mock.patch.object(enginecalls, "get_report", get_report):
            anyio.run(detector.get_reports, ["first", "unreachable", "one", "two"])
        self.assertLessEqual(sum(limits_s), self.ALLOWED_S)

    def test_a_slow_first_engine_is_given_more_time_than_another_part(self):
        detector = StallDetector(EntryStub(), None)

        async def get_report(address, timeout_s, kept):
            if address == "slow":
                await anyio.sleep(min(timeout_s, 0.15))
                if timeout_s < 0.15:
                    raise EngineCallFailed(address)
            return A_REPORT

        async def scenario():
            part = await detector.get_reports(["first", "slow"])
            first = await detector.get_reports(["slow", "other"])
            return part["slow"].report, first["slow"].report

        with mock.patch.object(enginecalls, "get_report", get_report):
            part, first = anyio.run(scenario)
        self.assertIsNone(part)
        self.assertIsNotNone(first)

    def test_engines_that_need_a_second_try_are_given_more_time(self):
        detector = StallDetector(EntryStub(), None)
        limits_s, calls = [], {}

        async def get_report(address, timeout_s, kept):
            calls[address] = calls.get(address, 0) + 1
            limits_s.append(timeout_s)
            if calls[address] == 1 and address != "first":
                await time_out(address, timeout_s)
            return A_REPORT

        async def scenario():
            for number in range(8):
                await detector.get_reports(["first", f"busy-{number}"])

        with mock.patch.object(enginecalls, "get_report", get_report):
            anyio.run(scenario)
        self.assertGreater(limits_s[-1], 2 * limits_s[1])

    def count_remote_requests(self, answers):
        """Return how often an unreachable remote engine is asked beside some others."""
        detector = StallDetector(EntryStub(), None)
        detector._zone_of = lambda _: "b"
        calls = []

        async def get_report(address, timeout_s, kept):
            calls.append(address)
            if address == "unreachable" or not answers:
                await time_out(address, timeout_s)
            await anyio.sleep(0.001)
            return A_REPORT

        with mock.patch.object(enginecalls, "get_report", get_report):
            anyio.run(detector.get_reports, ["unreachable", "one", "two", "three"])
        return calls.count("unreachable")

    def test_a_remote_engine_gets_no_extra_try_if_others_there_answer(self):
        self.assertEqual(
            self.count_remote_requests(answers=True), len(stalls.NEAR_TRIES)
        )

    def test_a_remote_engine_gets_an_extra_try_if_no_other_answers(self):
        self.assertEqual(
            self.count_remote_requests(answers=False), len(stalls.FAR_TRIES)
        )

    def test_an_engine_whose_first_answer_is_lost_counts_as_alive(self):
        detector = StallDetector(EntryStub(), None)
        calls = []

        async def get_report(address, timeout_s, kept):
            calls.append(address)
            if len(calls) == 1:
                raise EngineCallFailed(address)
            return A_REPORT

        with mock.patch.object(enginecalls, "get_report", get_report):
            found = anyio.run(detector.get_reports, ["engine"])
        self.assertIsNotNone(found["engine"].report)
