import unittest

from cherryrudder.policy import roles
from cherryrudder.policy.roles import Engine, Job

BRIEFING = Job("briefing", "1", "decode", 0, 8)
SUMMARY = Job("summary", "1", "decode", 0, 8)
BOTH = frozenset((BRIEFING, SUMMARY))


class RolesTest(unittest.TestCase):
    def setUp(self):
        self.planner = roles.Planner(1 / 60, 0.0)
        self.jobs = dict.fromkeys((f"g{n}" for n in range(8)), BRIEFING)
        self.jobs |= {"g8": SUMMARY, "g9": SUMMARY}
        self.orders = []

    def run_for(self, start_s, end_s, briefing, summary):
        """Plan every second; an engine takes up its new job at once."""
        for now_s in range(start_s, end_s):
            demands = {BRIEFING: briefing(now_s), SUMMARY: summary(now_s)}
            engines = [Engine(e, job, BOTH, 100.0) for e, job in self.jobs.items()]
            order = roles.plan(self.planner, demands, engines, now_s)
            if order:
                self.jobs[order.endpoint] = order.job
                self.orders.append(now_s)

    def test_lasting_shortage_moves_engines_at_the_stores_rate(self):
        self.run_for(0, 400, lambda t: 100, lambda t: 500)
        self.assertEqual(list(self.jobs.values()).count(SUMMARY), 6)
        gaps = [b - a for a, b in zip(self.orders, self.orders[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), 60)

    def test_bursts_and_swings_of_demand_move_few_engines(self):
        """Demand swings between two models every minute.

        A planner that follows each swing would move an engine each time, and both
        models would lack the engines that are loading weights.
        """
        burst = [100, 400]
        self.run_for(0, 300, lambda t: 100, lambda t: burst[t % 15 < 5])
        self.assertEqual(self.orders, [])
        swing = [300, 600]
        self.run_for(
            300, 1500, lambda t: swing[t // 60 % 2], lambda t: swing[t // 60 % 2 - 1]
        )
        self.assertLessEqual(len(self.orders), 4)

    def test_last_engine_of_a_job_stays(self):
        self.jobs = {"g0": BRIEFING, "g1": SUMMARY}
        self.run_for(0, 200, lambda t: 0, lambda t: 500)
        self.assertEqual(self.orders, [])
