"""Tests of the choice of a batch."""

import unittest

from builders import a_job

from cherryrudder.fakes.batching import Limits, batch_s, choose_batch

LIMITS = Limits(tokens_per_s=100.0, max_batch=2, prefill_tokens=8)


def chosen(jobs, limits=LIMITS):
    return [(work.job.number, work.tokens) for work in choose_batch(jobs, limits)]


class BatchingTest(unittest.TestCase):
    def test_urgent_jobs_go_first_and_the_others_by_arrival(self):
        jobs = [a_job(1, priority=2), a_job(2, priority=1), a_job(3, priority=1)]
        self.assertEqual(chosen(jobs), [(2, 1), (3, 1)])

    def test_prefills_share_the_tokens_of_a_step(self):
        jobs = [a_job(1, inputs=6), a_job(2, inputs=6), a_job(3)]
        wide = LIMITS._replace(max_batch=3)
        self.assertEqual(chosen(jobs, wide), [(1, 6), (2, 2), (3, 1)])

    def test_a_long_prompt_does_not_hold_up_decoding(self):
        """A prompt longer than a step's prefill arrives before a decode step.

        Computed whole, it would keep the caller of the other stream waiting for its
        next token; cut into parts, each of its steps carries the decode step too.
        """
        jobs = [a_job(1, inputs=1000), a_job(2)]
        self.assertEqual(chosen(jobs), [(1, 8), (2, 1)])

    def test_jobs_of_one_request_keep_their_order(self):
        """A request's second job is more urgent than its first.

        Run first, it would be folded into KV that lacks the position before it, and
        every later token of the caller's text would be another.
        """
        jobs = [a_job(1, priority=2, request="r"), a_job(2, request="r")]
        self.assertEqual(chosen(jobs), [(1, 1)])

    def test_a_batch_is_slower_per_step_but_faster_per_token(self):
        wide = LIMITS._replace(max_batch=32)
        alone_s = batch_s(choose_batch([a_job(1)], wide), wide)
        batch = choose_batch([a_job(n) for n in range(32)], wide)
        self.assertEqual(alone_s, 0.01)
        self.assertGreater(batch_s(batch, wide), alone_s)
        self.assertLess(batch_s(batch, wide), 32 * alone_s / 10)
