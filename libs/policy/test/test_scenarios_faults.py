"""Scenarios with faults: what callers receive, compared with the naive entry."""

import unittest

from builders import Entries
from driver import LARGE, Engine, NaiveEntry, OurEntry, Sim, arrivals

from cherryrudder.policy import shares
from cherryrudder.policy.limits import Share


class LaggedEntry(NaiveEntry):
    """Choose the least loaded engine by reports that are five seconds old."""

    reports, taken_s = {}, -5.0

    def arrive(self, request):
        if self.sim.now_s >= self.taken_s + 5.0:
            self.taken_s = self.sim.now_s
            for name, one in self.sim.engines.items():
                self.reports[name] = len(one.running) + len(one.waiting)
        name = min(self.sim.engines, key=self.reports.get)
        self.sim.send(name, request, self)

    def ended(self, request, name, duration_s):
        return True


class SlowEndpointTest(unittest.TestCase):
    """Scenario 4: one of six endpoints is slow, silent, or fails."""

    def run_fault(self, kind, fault):

        def answer(rng):
            return rng.choice((20, 20, 20, 400))

        requests = arrivals("petra", 30, 0, 30, answer=answer, timeout_s=12.0)
        requests = [one._replace(max_tokens=one.answer) for one in requests]
        engines = [Engine(f"g{number}", slots=16) for number in range(6)]
        if fault.startswith("slow"):
            least = 256 if fault == "slow when long" else 0
            engines[0].slow = lambda tokens: 10.0 if tokens > least else 1.0
        else:
            engines[0].fault = fault
        sim = Sim(engines, LARGE, requests, kind).run(60)
        return sim, [one for one in requests if one.at_s > 10]

    def test_few_callers_are_affected(self):
        """A sixth of the callers are sent to a faulty endpoint.

        A round robin never stops sending it a sixth. Compared with its kind, the
        endpoint is detected within seconds, and the requests that it did not answer are
        sent elsewhere.
        """
        for fault in ("slow", "slow when long", "silent", "fails"):
            with self.subTest(fault=fault):
                naive, late = self.run_fault(NaiveEntry, fault)
                self.assertLess(naive.served_part(late), 0.97)
                ours, late = self.run_fault(OurEntry, fault)
                self.assertGreater(ours.served_part(late), 0.995)
                first = [r.request for r in ours.results if r.request.at_s <= 10]
                self.assertGreater(ours.served_part(first), 0.9)


class LostEntryTest(unittest.TestCase):
    """Scenario 7: an entry dies and returns, then the allocator's entry."""

    def test_bound_holds_and_is_reached_again(self):
        """Callers of the other entries take over the load of a dead one.

        A static split holds them to two thirds until it is back. With leases the dead
        entry's floor is kept until it is removed from the set of entries, and then is
        theirs. The sum of the shares never exceeds the bound.
        """
        entries = Entries(Share(100.0, 1000.0, 30), 3, seed=1)
        for name in entries.names:
            entries.demand[name] = Share(1e3, 1e4, 300)
        used = []

        def run(duration_s):
            for _ in range(int(duration_s * 10)):
                entries.run(0.1)
                used.append(entries.used()[1])

        run(6.0)
        entries.lost["e2"] = 1.0
        entries.names.remove("e2")
        run(3.0)
        self.assertGreater(used[-1], 0.65 * 1000)
        entries.set_entries(["e0", "e1"])
        run(3.0)
        self.assertGreater(used[-1], 0.99 * 1000)
        entries.set_entries(["e0", "e1", "e2"])
        entries.lost["e2"] = 0.0
        entries.act("restart", "e2", 0)
        run(6.0)
        self.assertGreater(used[-1], 0.99 * 1000)
        entries.act("allocator", "", 0)
        run(5.0)
        self.assertGreater(used[-1], 0.99 * 1000)
        self.assertLess(max(used), 1000.001)
        static = shares.floor_of(Share(100.0, 1000.0, 30), entries.names, "e0")
        self.assertLess(2 * static.tokens_per_s, 0.7 * 1000)


class HerdTest(unittest.TestCase):
    """Scenario 8: entries choose at the same moment, by five seconds old reports."""

    def run_herd(self, kind):
        requests = []
        for entry in range(4):
            requests += arrivals("petra", 25, 0, 30, seed=entry, entry=entry)
        engines = [Engine(f"g{number}") for number in range(8)]
        sim = Sim(engines, LARGE, requests, kind, 4)
        return requests, sim.run(50)

    def test_entries_do_not_all_choose_the_same_engine(self):
        """Four entries see the same idle endpoint in reports that are five seconds old.

        All send to it until the next report: its queue grows by hundreds while others
        are idle, and its callers wait. Credits are counted at the endpoint.
        """
        requests, naive = self.run_herd(LaggedEntry)
        self.assertGreater(naive.wait_s(requests), 2.0)
        requests, ours = self.run_herd(OurEntry)
        self.assertLess(ours.wait_s(requests), 0.5)
        self.assertEqual(ours.served_part(requests), 1.0)


class MixedAcceleratorsTest(unittest.TestCase):
    """Scenario 9: four kinds of accelerator, links that differ a hundredfold."""

    def run_mixed(self, kind):
        requests = arrivals("petra", 60, 0, 30, timeout_s=6.0)
        engines = []
        for number in range(12):
            token_s = (0.005, 0.01, 0.02, 0.04)[number % 4]
            hop_s = (0.0003, 0.003, 0.03)[number // 4]
            engines.append(Engine(f"g{number}", 8, token_s, hop_s=hop_s))
        return requests, Sim(engines, LARGE, requests, kind).run(50)

    def test_fast_and_near_endpoints_get_more_requests(self):
        requests, naive = self.run_mixed(NaiveEntry)
        requests, ours = self.run_mixed(OurEntry)

        means = []
        for sim in (naive, ours):
            took = [one.ended_s - one.request.at_s for one in sim.results]
            means.append(sum(took) / len(took))
        self.assertGreater(means[0], 2.0)
        self.assertLess(means[1], 0.7)
        self.assertEqual(ours.served_part(requests), 1.0)


class PlannedStopTest(unittest.TestCase):
    """Scenario 10: a planned stop during each of the other scenarios."""

    def run_stop(self, kind, rate, fault="", hot_part=0.5):
        requests = arrivals("c0", rate * hot_part, 0, 25, entry=0)
        requests += arrivals("c1", rate * (1 - hot_part), 0, 25, entry=1)
        engines = [Engine(f"g{number}", token_s=0.02) for number in range(6)]
        if fault == "slow":
            engines[5].slow = lambda tokens: 10.0
        sim = Sim(engines, LARGE, requests, kind, entries=2)
        if fault == "lost":
            sim.at(9.5, lambda: [sim.lose("g4"), sim.lose("g5")])
        sim.at(10.0, lambda: setattr(engines[0], "is_leaving", True))
        # The process exits when nothing is in flight, or a minute after the stop.
        sim.at(10.5, lambda: self.end_when_idle(sim, engines[0]))
        return sim.run(80)

    def end_when_idle(self, sim, engine):
        if engine.running and sim.now_s < 70:
            sim.at(sim.now_s + 0.1, lambda: self.end_when_idle(sim, engine))
            return
        self.ended_s = sim.now_s
        engine.fault = engine.fault or "fails"

    def test_no_request_is_cut_off_and_none_arrives_after_two_seconds(self):
        """An operator stops an endpoint.

        The load is normal, too high, or mostly from one caller; or another endpoint is
        slow, or a third was lost half a second before. A round robin continues to send
        to the endpoint, so that it never becomes idle or its callers get errors once it
        has gone. Here nothing more is sent to it and its process exits soon.
        """
        for load in ((30,), (120,), (100, "", 0.9), (30, "slow"), (60, "lost")):
            with self.subTest(load=load):
                sim = self.run_stop(NaiveEntry, *load)
                late = [at_s for at_s in sim.engines["g0"].received if at_s > 12]
                self.assertGreater(len(late), 10)
                sim = self.run_stop(OurEntry, *load)
                late = [at_s for at_s in sim.engines["g0"].received if at_s > 10.2]
                self.assertEqual(late, [])
                self.assertLess(self.ended_s, 13)
                self.assertEqual(len(sim.results), len(sim.attempts))
                self.assertLessEqual(sim.statuses(), {200, 503, 429})


class LostThirdTest(unittest.TestCase):
    """Scenario 11: a third of the endpoints is lost at once at 80% load."""

    def run_loss(self, kind):
        # 9 engines of 8 slots serve 144 requests of half a second per second.
        requests = arrivals("petra", 0.8 * 144, 0, 60)
        engines = [Engine(f"g{number}") for number in range(9)]
        sim = Sim(engines, LARGE, requests, kind, max_attempts=9)
        for number in range(3):
            sim.at(10.0, lambda name=f"g{number}": sim.lose(name))
            # Its announcement expires.
            sim.at(12.0, lambda one=engines[number]: setattr(one, "fault", "gone"))
        return requests, sim.run(80)

    def test_the_remaining_capacity_is_fully_used(self):
        """Three of nine endpoints die with their requests; the rest can serve 83%.

        A round robin still sends a third to the dead ones and admits more than the rest
        can serve, so that callers get their answers late. Here the lost requests are
        sent elsewhere, as they are idempotent, and what exceeds the capacity is refused
        at once.
        """
        left = 96 * 100
        requests, naive = self.run_loss(NaiveEntry)
        late = [result for result in naive.results if result.status == 0]
        self.assertGreater(len(late), 0.05 * len(requests))
        requests, ours = self.run_loss(OurEntry)
        self.assertGreater(ours.goodput(12, 60), 0.97 * left)
        self.assertEqual(ours.statuses(), {200, 503})
        self.assertEqual(len(ours.results), len(requests))
