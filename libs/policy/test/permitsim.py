"""Simulation of entries that send to one endpoint with a limit on its requests."""

import heapq
import itertools
import random
from typing import NamedTuple

from cherryrudder.policy import permits
from cherryrudder.policy.permits import Holder, Issuer

WINDOW_S = 4.0
LATENCY_S = (0.0005, 0.02)
# How long a request waits for the answer to its request for a permit.
ANSWER_WAIT_S = 0.06


class Plan(NamedTuple):
    """The settings of a run; `demand` is `even`, `one` or `moving`."""

    entries: int = 7
    demand: str = "even"
    strategy: str = "permits"
    per_s: float = 2.5
    requests_per_s: float = 20.0
    length_s: float = 40.0
    # Interval at which another issuer takes over without any state.
    issuer_changes_s: float = 1e9
    lost_share: float = 0.0


class Outcome(NamedTuple):
    """The results of a run."""

    sent_s: list[float]
    messages: int
    requests: int
    length_s: float

    def max_in_window(self) -> int:
        """Return the most requests in any window."""
        return max_in_window(self.sent_s)

    def share_used(self, per_s: float) -> float:
        """Return the fraction of the limit that was used."""
        return len(self.sent_s) / (per_s * self.length_s)


def max_in_window(sent_s):
    """Return the most of these times that lie within one window."""
    most = first = 0
    for last, at_s in enumerate(sent_s):
        while at_s - sent_s[first] >= WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def play(plan: Plan, seed: int) -> Outcome:
    """Simulate one run."""
    return _Run(plan, random.Random(seed)).play()


class _Run:
    def __init__(self, plan, rng):
        self.plan = plan
        self.rng = rng
        self.holder = [Holder() for _ in range(plan.entries)]
        self.saved = [(0.0, 0.0)] * plan.entries
        self.issuer, self.issuer_s = Issuer(0.0), 0.0
        self.events: list[tuple] = []
        self.order = itertools.count()
        self.sent_s: list[float] = []
        self.messages = self.requests = 0

    def play(self):
        now_s = 0.0
        while now_s < self.plan.length_s:
            now_s += self.rng.expovariate(self.plan.requests_per_s)
            self.at(now_s, self.arrive, self.entry_of(now_s))
        while self.events:
            now_s, _, happen, *what = heapq.heappop(self.events)
            happen(now_s, *what)
        plan = self.plan
        return Outcome(sorted(self.sent_s), self.messages, self.requests, plan.length_s)

    def at(self, at_s, happen, *what):
        heapq.heappush(self.events, (at_s, next(self.order), happen, *what))

    def entry_of(self, now_s):
        if self.plan.demand == "even":
            return self.rng.randrange(self.plan.entries)
        return int(now_s / 5.0) % self.plan.entries if self.plan.demand != "one" else 0

    def arrive(self, now_s, entry):
        self.requests += 1
        getattr(self, f"arrive_{self.plan.strategy}")(now_s, entry)

    def arrive_unlimited(self, now_s, entry):
        self.sent_s.append(now_s)

    def arrive_separate(self, now_s, entry):
        self.from_bucket(now_s, entry, self.plan.per_s)

    def arrive_even_split(self, now_s, entry):
        self.from_bucket(now_s, entry, self.plan.per_s / self.plan.entries)

    def from_bucket(self, now_s, entry, rate):
        saved, filled_s = self.saved[entry]
        saved = min(1.0, saved + rate * (now_s - filled_s))
        if saved >= 1.0:
            self.sent_s.append(now_s)
            saved -= 1.0
        self.saved[entry] = (saved, now_s)

    def arrive_permits(self, now_s, entry):
        holder = self.holder[entry]
        if self.try_send(now_s, entry):
            return
        if permits.may_request(holder, now_s):
            permits.record_request(holder, now_s)
            self.messages += 1
            if self.rng.random() >= self.plan.lost_share:
                self.at(now_s + self.rng.uniform(*LATENCY_S), self.issue, entry)

    def issue(self, now_s, entry):
        if now_s - self.issuer_s > self.plan.issuer_changes_s:
            self.issuer, self.issuer_s = Issuer(now_s), now_s
        grant = permits.issue(self.issuer, str(entry), 1, self.plan.per_s, now_s)
        self.messages += 1
        if self.rng.random() >= self.plan.lost_share:
            self.at(
                now_s + self.rng.uniform(*LATENCY_S), self.record_grant, entry, grant
            )

    def record_grant(self, now_s, entry, grant):
        permits.record_grant(self.holder[entry], grant, now_s)
        # The request that asked for the permit still waits.
        self.try_send(now_s, entry)

    def try_send(self, now_s, entry):
        holder = self.holder[entry]
        if not permits.has_permit(holder, self.plan.per_s, self.plan.entries, now_s):
            return False
        permits.use_permit(holder, now_s)
        self.sent_s.append(now_s)
        return True
