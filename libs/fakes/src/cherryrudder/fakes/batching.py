"""Continuous batching: choose the work of the next batch step and its duration.

The batch is chosen again before each step, so a call that arrives while others run
joins at the next step, and an urgent one replaces a less urgent one.
"""

from typing import NamedTuple

# Relative cost of one more request in a decode step. Decoding is limited by reading the
# weights, which the requests of a batch share: with 3 % a step of 32 requests takes
# about twice as long as a step of one, with sixteen times the throughput.
STEP_COST_PER_REQUEST = 0.03
# Cost of a prompt token relative to a decode step of one request; it is low since a
# prefill computes many positions for one read of the weights.
PREFILL_COST = 0.02


class Limits(NamedTuple):
    """An engine's speed and batch size."""

    tokens_per_s: float
    max_batch: int
    prefill_tokens: int


class Job:
    """A queued step of a request; lower `priority` runs first."""

    def __init__(self, number, request, position, inputs, priority):
        self.number = number
        self.request = request
        self.position = position
        self.inputs = inputs
        self.priority = priority
        self.outputs = []
        self.error = ""

    @property
    def left(self) -> int:
        """Return the number of inputs that are not computed yet."""
        return len(self.inputs) - len(self.outputs)


class Work(NamedTuple):
    """The number of a job's inputs that a batch step computes."""

    job: Job
    tokens: int


def choose_batch(jobs: list[Job], limits: Limits) -> list[Work]:
    """Return the work of the next batch step.

    Jobs of one request run in order, at most one per step. Long prompts are split so
    that the prefills of a step stay within `prefill_tokens` together.
    """
    batch = []
    prefill_left = limits.prefill_tokens
    # Only a request's oldest job may run, whatever the priority of its later ones.
    oldest = {}
    for job in sorted(jobs, key=lambda job: job.number):
        oldest.setdefault(job.request, job)
    for job in sorted(oldest.values(), key=lambda job: (job.priority, job.number)):
        if len(batch) == limits.max_batch:
            break
        tokens = 1 if job.left == 1 else min(job.left, prefill_left)
        if tokens == 0:
            continue
        if job.left > 1:
            prefill_left -= tokens
        batch.append(Work(job, tokens))
    return batch


def batch_s(batch: list[Work], limits: Limits) -> float:
    """Return the duration of a batch step."""
    extra_tokens = sum(work.tokens - 1 for work in batch)
    share = 1 + STEP_COST_PER_REQUEST * (len(batch) - 1) + PREFILL_COST * extra_tokens
    return share / limits.tokens_per_s
