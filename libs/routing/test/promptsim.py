"""Simulation of prompts no two of which are alike, beside repeated culprits."""

from typing import NamedTuple

from crashsim import EVENT_S, EVENTS, KNOWN_AFTER_S, TICK_S
from partsim import PartPlan, PartRequest, PartSimulation, ReplicatedPartBooks

from cherryrudder.routing import blame

FIRST_PARTS = 60
BEGINS_S = 4.0


class PromptPlan(NamedTuple):
    """The culprits of a run, each a whole request, and what else ends engines."""

    culprits: int = 4
    # Interval between the first requests of two culprits.
    apart_s: float = 1.0
    racks_s: tuple[float, ...] = ()
    length_s: float = 25.0
    entries: int = 7
    engines: int = 12


class PromptOutcome(NamedTuple):
    """The result of a run."""

    refused_sound: int
    # Sends of each culprit after all entries should block it.
    late_sends: tuple[int, ...]
    # Share of the sound requests that were served, since the first culprit.
    served: float


class PromptSimulation(PartSimulation):
    """One run of a plan."""

    def __init__(self, plan, seed):
        base = PartPlan(
            culprits=(),
            racks_s=plan.racks_s,
            length_s=plan.length_s,
            entries=plan.entries,
            engines=plan.engines,
            begins_s=BEGINS_S,
            # Culprits end engines anywhere in their answers.
            crash_after_s=(0.0, EVENTS * EVENT_S - 0.1),
            requests_per_s=0.0,
        )
        super().__init__(base, f"prompts-{seed}", ReplicatedPartBooks)
        self.prompt_plan = plan
        self.repeated = []
        self.served = set()

    def run(self):
        """Run the plan and return its outcome."""
        for tick in range(int(self.prompt_plan.length_s / TICK_S)):
            self._arrive(tick * TICK_S)
            self._tick(tick * TICK_S)
        asked = [
            one
            for one in self.sound
            if one.first_s >= BEGINS_S and one not in self.requests
        ]
        return PromptOutcome(
            len(self.blocked),
            tuple(self._count_late(one.fingerprint) for one in self.repeated),
            len(self.served.intersection(asked)) / max(1, len(asked)),
        )

    def _arrive(self, now_s):
        if self.rng.random() < 20.0 * TICK_S:
            self._add((self._draw_first(),), now_s)
        due_s = BEGINS_S + len(self.repeated) * self.prompt_plan.apart_s
        if now_s >= due_s and len(self.repeated) < self.prompt_plan.culprits:
            fingerprint = f"{self.rng.getrandbits(96):024x}"
            parts = (self._draw_first(),)
            culprit = PartRequest(fingerprint, "account-0", parts, now_s)
            culprit.is_culprit = True
            self.repeated.append(culprit)
            self.requests.append(culprit)

    def _draw_first(self):
        weights = [1 / (rank + 1) for rank in range(FIRST_PARTS)]
        return f"first-{self.rng.choices(range(FIRST_PARTS), weights)[0]}"

    def _send(self, request, now_s):
        super()._send(request, now_s)
        if request.is_culprit and request not in self.requests:
            # Its client keeps retrying.
            self.requests.append(request)
            self._ask_elsewhere(request, now_s)

    def _finish(self, request, now_s):
        if not request.is_culprit:
            self.served.add(request)
        super()._finish(request, now_s)

    def _ask_elsewhere(self, request, now_s):
        if request.is_culprit:
            request.attempts = 0
        super()._ask_elsewhere(request, now_s)

    def _count_late(self, fingerprint):
        ended_s = sorted(self.crash_times_s.get(fingerprint, {}).values())
        if len(ended_s) < blame.BLOCK_CRASHES:
            return 0
        known_s = ended_s[2] + KNOWN_AFTER_S
        return sum(sent_s > known_s for sent_s in self.arrivals[fingerprint])
