"""Continuous batching: which work the next batch step takes, and how long it lasts.

The batch is chosen anew before each step, so a call that arrives while others run
joins at the next step, and an urgent one takes the place of a less urgent one.
"""

from typing import NamedTuple

# What one more request adds to a decode step. Decoding is bound by reading the
# weights, which the requests of a batch share; 3 % makes a batch of 32 about twice as
# slow per step and sixteen times as productive as a batch of one.
STEP_COST_PER_REQUEST = 0.03
# A prompt token costs this part of a lone decode step, since a prefill computes many
# positions over one read of the weights.
PREFILL_COST = 0.02


class Limits(NamedTuple):
    """An engine's speed and batch size."""

    tokens_per_s: float
    max_batch: int
    prefill_tokens: int


class Job:
    """One step of a request in the engine; lower `priority` goes first."""

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
        """Return how many inputs have not been computed."""
        return len(self.inputs) - len(self.outputs)


class Work(NamedTuple):
    """How many inputs of a job a batch step computes."""

    job: Job
    tokens: int


def choose_batch(jobs: list[Job], limits: Limits) -> list[Work]:
    """Return the work of the next batch step.

    Jobs of one request run in their order, at most one in a step. Long prompts are cut
    so that prefills together stay within `prefill_tokens` a step.
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
    """Return how long a batch step lasts."""
    extra_tokens = sum(work.tokens - 1 for work in batch)
    share = 1 + STEP_COST_PER_REQUEST * (len(batch) - 1) + PREFILL_COST * extra_tokens
    return share / limits.tokens_per_s
