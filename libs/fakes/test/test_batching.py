"""Tests of the selection of a batch."""

import unittest

from builders import a_job

from cherryrudder.fakes.batching import Limits, batch_s, choose_batch

LIMITS = Limits(tokens_per_s=100.0, max_batch=2, prefill_tokens=8)


def chosen(jobs, limits=LIMITS):
    return [(work.job.number, work.tokens) for work in choose_batch(jobs, limits)]


class BatchingTest(unittest.TestCase):
    def test_jobs_run_by_priority_and_then_by_arrival(self):
        jobs = [a_job(1, priority=2), a_job(2, priority=1), a_job(3, priority=1)]
        self.assertEqual(chosen(jobs), [(2, 1), (3, 1)])

    def test_prefills_share_the_token_limit_of_a_step(self):
        jobs = [a_job(1, inputs=6), a_job(2, inputs=6), a_job(3)]
        wide = LIMITS._replace(max_batch=3)
        self.assertEqual(chosen(jobs, wide), [(1, 6), (2, 2), (3, 1)])

    def test_long_prompt_does_not_delay_decoding(self):
        """A long prompt is split, so that other streams get a token at each step.

        Computed as a whole, it would delay the next token of every other stream.
        """
        jobs = [a_job(1, inputs=1000), a_job(2)]
        self.assertEqual(chosen(jobs), [(1, 8), (2, 1)])

    def test_jobs_of_one_request_keep_their_order(self):
        """A request's second job does not run first, even if it is more urgent.

        It would use KV that lacks the position before it, and every later token of the
        request would be wrong.
        """
        jobs = [a_job(1, priority=2, request="r"), a_job(2, request="r")]
        self.assertEqual(chosen(jobs), [(1, 1)])

    def test_larger_batch_is_slower_per_step_and_faster_per_token(self):
        wide = LIMITS._replace(max_batch=32)
        alone_s = batch_s(choose_batch([a_job(1)], wide), wide)
        batch = choose_batch([a_job(n) for n in range(32)], wide)
        self.assertEqual(alone_s, 0.01)
        self.assertGreater(batch_s(batch, wide), alone_s)
        self.assertLess(batch_s(batch, wide), 32 * alone_s / 10)
