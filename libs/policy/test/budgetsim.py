"""Simulated entries and control VMs that share a retry budget amid faults."""

import random
from bisect import bisect_left, bisect_right

from cherryrudder.policy import retryledger, sharedbudget
from cherryrudder.policy.retries import Attempt, Verdict
from cherryrudder.policy.retryledger import BudgetBound, RetryLedger
from cherryrudder.policy.sharedbudget import SharedBudget

STEP_S, REPORT_S, LIVE_S = 0.1, 0.5, 3.0
# How long a failed request waits for its retry.
WAIT_S = 0.7
ATTEMPT = Attempt(1, True, False, 0.1, 1e9, 3)
ZONES = 3


class Entry:
    def __init__(self, number, bound, boot):
        self.address, self.zone = f"entry-{number}", number % ZONES
        self.bound, self.boot, self.back_s, self.frozen_s = bound, boot, 0.0, 0.0
        self.restart(boot)

    def restart(self, boot):
        """Forget everything, as a new process."""
        self.boot = boot
        self.budget = SharedBudget(*self.bound, float("inf"))
        # Time and confirmation of each control VM's last answer.
        self.answers = {}
        self.waiting = []

    def aggregators(self, now_s):
        live = {n for n, (at_s, _) in self.answers.items() if now_s - at_s < LIVE_S}
        return {n for n in live if self.answers[n][1]} or live


class Control:
    def __init__(self, number, bound, now_s, is_first):
        self.number, self.bound, self.back_s = number, bound, 0.0
        self.restart(now_s, is_first)

    def restart(self, now_s, is_first=False):
        self.ledger = RetryLedger(self.bound, LIVE_S, now_s, is_first)
        self.heard_s = {}


class Fleet:
    """Entries and control VMs, cut into sides where `sides` has more than one."""

    def __init__(self, seed, entries, rate, bound):
        self.rng, self.rate, self.bound = random.Random(seed), rate, bound
        self.now_s, self.boots = 0.0, 0
        self.entries = [Entry(n, bound, f"first-{n}") for n in range(entries)]
        self.controls = [Control(n, bound, 0.0, True) for n in range(ZONES)]
        self.cut_until_s, self.sides = 0.0, {}
        self.requests_s, self.retries_s = [], []

    def is_up(self, process):
        return self.now_s >= max(process.back_s, getattr(process, "frozen_s", 0.0))

    def reach(self, one, other):
        if self.now_s >= self.cut_until_s:
            return True
        return self.sides.get(one, 0) == self.sides.get(other, 0)

    def is_confirmed(self, control):
        peers = [c for c in self.controls if self.is_up(c) and self.reach(control, c)]
        return len(peers) * 2 > len(self.controls)

    def kill_entry(self, entry, down_s):
        self.boots += 1
        entry.restart(f"boot-{self.boots}")
        entry.back_s = self.now_s + down_s

    def kill_control(self, control, down_s):
        control.back_s = self.now_s + down_s
        control.restart(control.back_s)

    def cut(self, for_s):
        both = [*self.entries, *self.controls]
        self.sides = {one: self.rng.randrange(2) for one in both}
        self.cut_until_s = self.now_s + for_s

    def run(self, until_s, strike, is_failing):
        """Play steps; `strike` causes faults, `is_failing` tells if engines fail."""
        while self.now_s < until_s:
            strike(self)
            up = [entry for entry in self.entries if self.is_up(entry)]
            self._serve(up, is_failing(self.now_s))
            for entry in up:
                self._report(entry)
            self._gossip()
            self.now_s = round(self.now_s + STEP_S, 3)

    def _is_due(self, process):
        number = [*self.entries, *self.controls].index(process)
        return (round(self.now_s / STEP_S) + number) % round(REPORT_S / STEP_S) == 0

    def _serve(self, up, is_failing):
        due = self.rate * STEP_S
        for _ in range(int(due) + (self.rng.random() < due % 1)):
            if up:
                entry = self.rng.choice(up)
                self.requests_s.append(self.now_s)
                sharedbudget.record_request(entry.budget, "llm", self.now_s)
                if is_failing:
                    entry.waiting += [self.now_s + WAIT_S] * 2
        for entry in up:
            entry.waiting = [s for s in entry.waiting if s >= self.now_s]
            while entry.waiting and self._retry(entry):
                entry.waiting.pop()
                self.retries_s.append(self.now_s)

    def _retry(self, entry):
        verdict = sharedbudget.may_retry(entry.budget, "llm", ATTEMPT, self.now_s)
        return verdict is Verdict.RETRY

    def _report(self, entry):
        if not self._is_due(entry):
            return
        aggregators = entry.aggregators(self.now_s)
        own = entry.zone if entry.zone in aggregators else min(aggregators, default=-1)
        for control in self.controls:
            if not self.is_up(control) or not self.reach(entry, control):
                continue
            is_asked = control.number in aggregators
            usage = sharedbudget.count_usage(entry.budget, self.now_s)
            retryledger.record_report(
                control.ledger,
                entry.address,
                entry.boot,
                usage if is_asked else None,
                self.now_s,
            )
            control.heard_s[entry.address] = self.now_s
            self._answer(control, entry, control.number == own)

    def _answer(self, control, entry, requests_all):
        is_confirmed = self.is_confirmed(control)
        entry.answers[control.number] = (self.now_s, is_confirmed)
        if not requests_all:
            return
        totals = retryledger.sum_others(control.ledger, entry.address, self.now_s)
        if totals is None or not is_confirmed:
            return
        live = [s for s in control.heard_s.values() if self.now_s - s < LIVE_S]
        age_s = sum(self.now_s - at_s for at_s in live) / max(1, len(live) - 1)
        sharedbudget.update_share(entry.budget, totals, len(live), self.now_s, age_s)

    def _gossip(self):
        for one in self.controls:
            if not self.is_up(one) or not self._is_due(one):
                continue
            ended = retryledger.report_ended(one.ledger, self.now_s)
            known_s = retryledger.known_s(one.ledger, self.now_s)
            for other in self.controls:
                if other is not one and self.is_up(other) and self.reach(one, other):
                    retryledger.merge_ended(other.ledger, ended, known_s, self.now_s)

    def worst(self):
        """Return the most retries in a window beyond what the operators allow."""
        worst, window_s = float("-inf"), self.bound.window_s
        for number, ends_s in enumerate(self.retries_s):
            first = bisect_left(self.retries_s, ends_s - window_s)
            requests = max(
                bisect_right(self.requests_s, ends_s - shift * window_s)
                - bisect_left(self.requests_s, ends_s - (1 + shift) * window_s)
                for shift in (0, 0.5, 1)
            )
            allowed = self.bound.ratio * requests + self.bound.slack
            worst = max(worst, number + 1 - first - allowed)
        return worst


BOUND = BudgetBound(0.2, 204.0, 10.0)


def fails_in_turns(now_s):
    """Return whether engines fail: seven of each eight seconds, after a calm start."""
    return now_s > 12.0 and now_s % 8.0 < 7.0
