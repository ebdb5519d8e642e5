"""Estimate how many tokens a request will use, before it runs.

Load pattern: callers ask for the largest answer that they are allowed and use a small
part of it, or the other way round, each customer and model in its own way.
Without it: charging `max_tokens` holds a customer to a fraction of its contract, and
charging the prompt alone lets long answers pass the bound until they are settled.

Grounds: answers are learned per customer, model and power of two of `max_tokens`, since
callers that want long answers ask for them, and one mean over 20-token and 4000-token
answers fits neither. The settlement at the end makes the sum true in any case.
"""

from typing import NamedTuple

# Until an answer was seen, half of what was asked for: the error is at most twofold
# on the long side, and the first settlement replaces it.
FIRST_ANSWER_PART = 0.5
# A new answer counts a tenth, so some twenty answers forget an old habit.
LEARNING_RATE = 0.1


class Estimate(NamedTuple):
    """The expected tokens of a request, and the key under which it is learned."""

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
    """Take in the answer of a request that ran to its end."""
    known = costs.answer_tokens.get(key)
    if known is None:
        costs.answer_tokens[key] = float(answer_tokens)
        return
    costs.answer_tokens[key] = known + LEARNING_RATE * (answer_tokens - known)


def drop_customer(costs: CostModel, customer: str) -> None:
    """Drop what was learned of a customer whose contract has ended."""
    for key in [key for key in costs.answer_tokens if key[0] == customer]:
        del costs.answer_tokens[key]
