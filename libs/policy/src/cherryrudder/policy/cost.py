"""Estimate of the tokens that a request will use.

Some callers ask for the largest permitted answer and use a small part of it, others use
all of it, depending on customer and model. Charging `max_tokens` would hold a customer
to a fraction of its contract; charging only the prompt would let long answers exceed
the bound until they are settled.

The mean answer is recorded per customer, model and power of two of `max_tokens`:
callers that expect long answers ask for them, and one mean over 20-token and 4000-token
answers fits neither. The settlement at the end makes the sum exact in any case.
"""

from typing import NamedTuple

# Before the first answer, half of `max_tokens` is assumed: the true length is at most
# twice that, and the first settlement replaces it.
FIRST_ANSWER_PART = 0.5
# Weight of a new answer: a tenth, so that some twenty answers replace an old mean.
LEARNING_RATE = 0.1


class Estimate(NamedTuple):
    """The expected tokens of a request, and the key of its mean answer length."""

    cost_tokens: float
    key: tuple[str, str, int]


class CostModel:
    """Mean answer length by customer, model and size class of `max_tokens`."""

    def __init__(self):
        self.answer_tokens: dict[tuple[str, str, int], float] = {}


def estimate(costs: CostModel, customer, model, prompt_tokens, max_tokens) -> Estimate:
    """Return the expected tokens of a request, prompt and answer."""
    key = (customer, model, int(max_tokens).bit_length())
    answer = costs.answer_tokens.get(key, max_tokens * FIRST_ANSWER_PART)
    return Estimate(max(1.0, prompt_tokens + min(answer, max_tokens)), key)


def learn(costs: CostModel, key: tuple[str, str, int], answer_tokens: float) -> None:
    """Update the mean with the answer of a completed request."""
    known = costs.answer_tokens.get(key)
    if known is None:
        costs.answer_tokens[key] = float(answer_tokens)
        return
    costs.answer_tokens[key] = known + LEARNING_RATE * (answer_tokens - known)


def drop_customer(costs: CostModel, customer: str) -> None:
    """Drop the recorded means of a customer whose contract has ended."""
    for key in [key for key in costs.answer_tokens if key[0] == customer]:
        del costs.answer_tokens[key]
