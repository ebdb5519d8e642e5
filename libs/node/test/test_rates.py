"""Tests of how entries and control VMs handle engines' request limits."""

import unittest

import anyio
from builders import PipedSink, a_control, an_announcement
from entrycase import ENGINE, FAR, HOME, OTHER, ControlStub, EntryCase, EntryStub

from cherryrudder.node import (
    backpressure,
    entrystate,
    plainrelay,
    ratelimiter,
    roster,
    tablesync,
)
from cherryrudder.node.controlgossip import ControlGossip
from cherryrudder.node.gossip import (
    EndpointState,
    EndpointUpdate,
    LimitUpdate,
    PermitGrant,
    PermitRequest,
    ReportedLimit,
)
from cherryrudder.replica.clock import now_s
from cherryrudder.routing import endpoints, ratelimits


class LimitTest(EntryCase):
    """Guards against limits that stay unknown to all but one entry."""

    def limit(self):
        return ratelimits.limit_of(self.state.rates.book, ENGINE)

    def test_one_control_vm_of_each_data_centre_gets_the_limit(self):
        self.record_answer(2.5)
        sent = [(address, type(message)) for address, message in self.sent]
        self.assertEqual(sent, [("a:1", LimitUpdate), ("b:1", LimitUpdate)])
        self.record_answer(2.5)
        self.assertEqual(len(self.sent), 2)

    def test_an_entry_keeps_a_reported_limit(self):
        self.uplink._handle(LimitUpdate((ReportedLimit(ENGINE, 2.5, 0.1),)))
        self.assertFalse(self.may_send())
        self.assertTrue(self.may_send(OTHER))

    def test_a_later_answer_without_a_limit_removes_it(self):
        self.record_answer(2.5)
        self.record_answer()
        self.assertTrue(self.may_send())
        self.assertIsNone(self.sent[-1][1].limits[0].per_s)

    def test_an_answer_to_an_older_request_removes_nothing(self):
        sent_s = now_s()
        self.record_answer(2.5)
        self.record_answer(sent_s=sent_s)
        self.assertEqual(self.limit(), 2.5)

    def test_an_unreadable_limit_changes_nothing(self):
        self.record_answer(2.5)
        self.record_answer(has_bad_limit=True)
        self.assertEqual(self.limit(), 2.5)

    def test_it_ends_with_the_incarnation(self):
        self.record_answer(2.5)
        ratelimiter.sweep(self.state.rates, {OTHER}, now_s())
        self.assertTrue(self.may_send())


class PermitTest(EntryCase):
    def setUp(self):
        super().setUp()
        self.record_answer(2.5)
        self.sent.clear()

    def firsts(self):
        """Return the engines at which a stream may begin."""
        found = entrystate.candidates(self.state, "llm", now_s())
        return {engine.engine_id for engine in found if engine.firsts < 1e9}

    def test_no_stream_begins_without_a_permit(self):
        self.assertEqual(self.firsts(), {OTHER})
        self.grant()
        self.assertEqual(self.firsts(), {ENGINE, OTHER})

    def test_a_permit_is_for_one_request(self):
        self.grant()
        backpressure.record_request(self.state, ENGINE, now_s())
        self.assertFalse(self.may_send())

    def test_the_control_vm_of_its_data_centre_is_asked(self):
        ratelimiter.request_permits(self.state, [ENGINE], now_s())
        ((address, request),) = self.sent
        self.assertEqual((address, request.limit.engine_id), ("a:1", ENGINE))

    def test_the_issuer_is_not_asked_again_before_it_has_a_permit(self):
        self.grant(permits=0, next_s=30.0)
        ratelimiter.request_permits(self.state, [ENGINE], now_s())
        self.assertEqual(self.sent, [])

    def test_a_request_waits_for_the_answer(self):
        async def scenario():
            async with anyio.create_task_group() as group:
                group.start_soon(ratelimiter.acquire, self.state, [ENGINE])
                await anyio.sleep(0.005)
                self.grant()
            return self.may_send()

        self.assertTrue(anyio.run(scenario))

    def test_it_does_not_wait_for_a_lost_issuer(self):
        async def scenario():
            with anyio.fail_after(1.0):
                await ratelimiter.acquire(self.state, [ENGINE])

        anyio.run(scenario)
        self.assertFalse(self.may_send())
        self.assertIn('"event":"permit-unanswered"', self.piped.text())


class PlainRequestTest(EntryCase):
    """Guards against refusals while another endpoint is free, and against late ones."""

    def choose(self, **changes):
        return anyio.run(plainrelay._choose, self.a_job(**changes), set())

    def test_the_other_endpoint_is_chosen(self):
        self.record_answer(2.5)
        self.assertEqual(self.choose().engine_id, OTHER)

    def test_without_a_permit_the_refusal_has_the_time_until_the_next(self):
        for engine_id in (ENGINE, OTHER):
            self.record_answer(0.1, engine_id=engine_id)
            self.grant(permits=0, next_s=9.0, wait_s=9.0, engine_id=engine_id)
        failed = self.choose()
        self.assertTrue(failed.is_not_run)
        self.assertGreater(failed.retry_after_s, 8.0)

    def test_it_waits_for_a_permit_that_comes_in_time(self):
        for engine_id in (ENGINE, OTHER):
            self.record_answer(5, engine_id=engine_id)
            self.grant(permits=0, next_s=0.1, wait_s=0.1, engine_id=engine_id)

        async def scenario():
            async with anyio.create_task_group() as group:
                group.start_soon(self.grant_later, 0.05)
                return await plainrelay._choose(self.a_job(), set())

        self.assertEqual(anyio.run(scenario).engine_id, ENGINE)

    async def grant_later(self, pause_s):
        await anyio.sleep(pause_s)
        self.grant()


class ControlTest(unittest.TestCase):
    """Guards against entries that get a limit late, or never."""

    def setUp(self):
        self.piped = PipedSink()
        self.addCleanup(self.piped.close)
        self.state = a_control(self.piped.sink, "10.0.0.1", HOME)
        self.gossip = ControlGossip(self.state, None)
        self.sent = []
        self.gossip.links.send = lambda address, message: self.sent.append(
            (address, message)
        )
        announcement = an_announcement(ENGINE, layers=(0, 8))
        tablesync.record_heartbeat(self.state.endpoints, announcement, now_s())
        for zone in (HOME, FAR, "c"):
            heartbeat = EntryStub(address=f"entry-{zone}", vm_zone=zone)
            roster.record(self.state.entries, heartbeat.address, heartbeat, now_s())
        heartbeat = ControlStub(address="control-b", vm_zone=FAR)
        roster.record(self.state.roster, heartbeat.address, heartbeat, now_s())

    def test_it_forwards_limits_to_entries_that_get_them_from_no_other(self):
        update = LimitUpdate((ReportedLimit(ENGINE, 2.5, 0.0),))
        self.gossip._handle(update)
        receivers = [address for address, _ in self.sent]
        self.assertEqual(receivers, ["entry-a", "entry-c"])
        self.gossip._handle(update)
        self.assertEqual(len(self.sent), 2)

    def test_heartbeats_carry_limits_to_those_that_missed_the_update(self):
        self.gossip._handle(LimitUpdate((ReportedLimit(ENGINE, 2.5, 0.0),)))
        heartbeat = self.gossip._make_heartbeat("control-c", now_s())
        self.assertEqual([one.per_s for one in heartbeat.limits], [2.5])

    def test_permits_for_all_entries_together_keep_to_the_limit(self):
        limit = ReportedLimit(ENGINE, 2.5, 0.0)
        for _ in range(20):
            for sender in ("entry-a", "entry-b"):
                self.gossip._handle(PermitRequest(sender, limit, 1))
        answers = [m for _, m in self.sent if isinstance(m, PermitGrant)]
        self.assertEqual(len(answers), 40)
        self.assertLessEqual(sum(answer.grant.permits for answer in answers), 1)

    def test_only_one_of_two_local_control_vms_issues_permits(self):
        request = PermitRequest("entry-a", ReportedLimit(ENGINE, 2.5, 0.0), 1)
        for address, issues in (("10.0.0.0:1", False), ("10.0.0.2:1", True)):
            with self.subTest(other=address):
                self.setUp()
                heartbeat = ControlStub(address=address, vm_zone=HOME)
                roster.record(self.state.roster, address, heartbeat, now_s())
                self.gossip._handle(request)
                last = self.sent[-1]
                self.assertEqual(last[0], "entry-a" if issues else address)
                self.assertEqual(isinstance(last[1], PermitGrant), issues)

    def test_a_permit_request_carries_the_limit(self):
        self.gossip._handle(
            PermitRequest("entry-a", ReportedLimit(ENGINE, 2.5, 0.0), 1)
        )
        self.assertEqual(ratelimits.limit_of(self.gossip.rates.book, ENGINE), 2.5)

    def test_an_engine_that_says_it_is_leaving_gets_no_new_work_from_any_entry(self):
        known = self.state.endpoints.table.entries[ENGINE].announcement
        announcement = known._replace(has_notified_senders=True)
        self.gossip._handle(EndpointUpdate((EndpointState(announcement, 0.0, False),)))
        self.assertEqual(
            [address for address, _ in self.sent], ["entry-a", "entry-b", "entry-c"]
        )
        entry = self.state.endpoints.table.entries[ENGINE]
        self.assertFalse(endpoints.accepts_requests(entry.announcement))
        self.assertFalse(entry.is_gone)


if __name__ == "__main__":
    unittest.main()
