"""Plan of a load run: arrivals drawn from a seed before the run starts."""

import random
from typing import NamedTuple


class Customer(NamedTuple):
    """A customer of a load run; `weight` is its share by contract, for Jain's index."""

    name: str
    key: str
    requests_per_s: float
    weight: float = 1.0
    priority: int = 0


class Shape(NamedTuple):
    """Prompt and answer lengths of a load run's requests."""

    prompt_tokens: tuple[int, ...]
    max_tokens: tuple[int, ...]
    shared_prefix_tokens: int = 0


class Arrival(NamedTuple):
    """One request; `number` is unique in the run."""

    at_s: float
    number: int
    customer: Customer
    prompt: str
    max_tokens: int


class Target(NamedTuple):
    """Addresses and parameters of a load run's requests.

    With a `service` each request is a filing, otherwise a completion.
    """

    entries: tuple[str, ...]
    model: str = "briefing"
    model_layers: int = 12
    stream: bool = True
    service: str = ""
    deadline_s: float = 0.0


def parse_customer(text: str) -> Customer:
    """Return the customer of NAME:KEY:REQUESTS_PER_S[:WEIGHT[:PRIORITY]].

    Raise ValueError for any other text.
    """
    parts = text.split(":")
    if not 3 <= len(parts) <= 5:
        raise ValueError(f"{text!r} is not NAME:KEY:REQUESTS_PER_S[:WEIGHT[:PRIORITY]]")
    name, key, rate, *rest = parts
    weight = float(rest[0]) if rest else 1.0
    priority = int(rest[1]) if len(rest) > 1 else 0
    if float(rate) <= 0 or weight <= 0:
        raise ValueError(f"{text!r}: rate and weight must be more than 0")
    return Customer(name, key, float(rate), weight, priority)


def plan_arrivals(
    customers: list[Customer], shape: Shape, duration_s: float, rng: random.Random
) -> list[Arrival]:
    """Return Poisson arrivals of all customers, ordered by time.

    The load is open-loop: a slow answer delays no later request, as with independent
    callers. A closed loop would reduce the load just when the system is overloaded.
    """
    drawn = []
    for customer in customers:
        prefix = _words(shape.shared_prefix_tokens, rng)
        at_s = rng.expovariate(customer.requests_per_s)
        while at_s < duration_s:
            words = prefix + _words(rng.choice(shape.prompt_tokens), rng)
            max_tokens = rng.choice(shape.max_tokens)
            drawn.append((at_s, customer, " ".join(words), max_tokens))
            at_s += rng.expovariate(customer.requests_per_s)
    drawn.sort()
    return [Arrival(at_s, number, *rest) for number, (at_s, *rest) in enumerate(drawn)]


def _words(count, rng):
    return [f"w{rng.randrange(10_000)}" for _ in range(count)]
