import unittest

from cherryrudder.policy import cost


class CostTest(unittest.TestCase):
    def test_learns_each_customers_answers(self):
        costs = cost.CostModel()
        first = cost.estimate(costs, "petra", "briefing", 100, 1000)
        self.assertEqual(first.cost_tokens, 600)
        cost.learn(costs, first.key, 40)
        again = cost.estimate(costs, "petra", "briefing", 100, 1000)
        other = cost.estimate(costs, "aqaba", "briefing", 100, 1000)
        self.assertEqual((again.cost_tokens, other.cost_tokens), (140, 600))

    def test_long_answers_do_not_move_the_estimate_of_short_ones(self):
        costs = cost.CostModel()
        long_key = cost.estimate(costs, "petra", "briefing", 0, 4000).key
        cost.learn(costs, long_key, 4000)
        short = cost.estimate(costs, "petra", "briefing", 0, 40)
        self.assertEqual(short.cost_tokens, 20)
        self.assertEqual(cost.estimate(costs, "petra", "briefing", 9, 0).cost_tokens, 9)
