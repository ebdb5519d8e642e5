"""Simulation of requests with shared parts, some of which crash engines."""

import random
from typing import NamedTuple

from crashsim import (
    BLOCK_POLL_S,
    CLIENT_RETRY_S,
    CRASH_AFTER_S,
    EVENTS,
    KNOWN_AFTER_S,
    TICK_S,
    Plan,
    ReplicatedBooks,
    Request,
    Simulation,
)

from cherryrudder.routing import blame, crashbook, partpasses, trials
from cherryrudder.routing.crashbook import FINISHED, MIN_PASSED_EVENTS
from cherryrudder.routing.fingerprint import part_fingerprints
from cherryrudder.routing.partpasses import CutRun, PartPasses, Pass

COUNTED_CRASHES = 5
# How long a held request waits for its turn at an entry.
PATIENCE_S = 1.0
# Attempts of a client, each at any entry.
CLIENT_ATTEMPTS = 3
COMMON_PARTS = ("common-0", "common-1")
SUBJECTS = 20


class PartPlan(NamedTuple):
    """The load and the faults of a run."""

    # Lists of parts of the culprits; the one that crashes engines begins with "deadly".
    culprits: tuple[tuple[str, ...], ...] = (("common-0", "deadly-0", "subject"),)
    culprits_per_s: float = 4.0
    accounts: int = 3
    # When the first culprit comes.
    begins_s: float = 4.0
    # Times at which a whole rack fails.
    racks_s: tuple[float, ...] = ()
    # Rate of sound requests with one of three parts that are seldom used.
    rare_per_s: float = 0.0
    crash_after_s: tuple[float, float] = CRASH_AFTER_S
    length_s: float = 20.0
    entries: int = 7
    engines: int = 36
    racks: int = 3
    requests_per_s: float = 20.0


class PartOutcome(NamedTuple):
    """The result of a run."""

    engines_ended: int
    # Sends of each part that crashes engines after the limit on them has begun.
    late_sends: dict[str, int]
    refused_sound: int
    # Share of the sound requests that began at the first attempt, before and after.
    began_before: float
    began_after: float


class PartRequest(Request):
    """A request whose prompt has parts."""

    def __init__(self, fingerprint, account, parts, now_s):
        is_culprit = any(part.startswith("deadly") for part in parts)
        super().__init__(fingerprint, is_culprit, now_s)
        self.account = account
        self.parts = parts
        self.first_s = now_s
        self.attempts = 0
        self.begun_s = None
        self.on_trial = frozenset()
        # Until when it waits for its turn while a part of it is held.
        self.waits_until_s = None
        self.has_begun_at_once = False
        self.features = part_fingerprints(account, "llm", parts)
        self.fingerprints = frozenset(
            (fingerprint, *partpasses.fingerprints(self.features))
        )


class PartSimulation(Simulation):
    """One run of a plan."""

    def __init__(self, plan, seed, make_books):
        base = Plan(
            entries=plan.entries,
            engines=plan.engines,
            racks=plan.racks,
            racks_s=plan.racks_s,
            requests_per_s=0.0,
            crash_after_s=plan.crash_after_s,
        )
        super().__init__(base, f"parts-{seed}")
        self.parts_plan = plan
        self.book = make_books(plan.entries, seed)
        self.sound = []
        self.crash_times_s = {}
        self.arrivals = {}

    def run(self):
        """Run the plan and return its outcome."""
        for tick in range(int(self.parts_plan.length_s / TICK_S)):
            self._arrive(tick * TICK_S)
            self._tick(tick * TICK_S)
        known_s = max(map(_counted_s, self.crash_times_s.values()), default=0.0)
        begins_s, ends_s = self.parts_plan.begins_s, self.parts_plan.length_s - 1.0
        return PartOutcome(
            self.ended,
            {part: self._count_late(part) for part in self.arrivals},
            len(self.blocked),
            self._share_begun(1.0, begins_s - 1.0),
            self._share_begun(known_s + 2 * KNOWN_AFTER_S, ends_s),
        )

    def _arrive(self, now_s):
        plan, rng = self.parts_plan, self.rng
        if rng.random() < plan.requests_per_s * TICK_S:
            subject = f"subject-{rng.randrange(SUBJECTS)}"
            self._add((rng.choice(COMMON_PARTS), subject), now_s)
        if rng.random() < plan.rare_per_s * TICK_S:
            self._add((COMMON_PARTS[0], f"rare-{rng.randrange(3)}"), now_s)
        if now_s < plan.begins_s:
            return
        for parts in plan.culprits:
            if rng.random() < plan.culprits_per_s * TICK_S:
                self._add(parts, now_s)

    def _add(self, parts, now_s):
        account = f"account-{self.rng.randrange(self.parts_plan.accounts)}"
        request = PartRequest(f"{self.rng.getrandbits(96):024x}", account, parts, now_s)
        request.entry = self.rng.randrange(self.parts_plan.entries)
        self.requests.append(request)
        if not request.is_culprit:
            self.sound.append(request)

    def _send(self, request, now_s):
        key = self.book.find_block(request.entry, request)
        if key is not None:
            delay_s = self.book.refusal_delay_s(request.entry, key, now_s)
            if delay_s > 0.0:
                request.next_s = now_s + 2 * TICK_S
                return
            if not request.is_culprit:
                self.blocked.add(request.fingerprint)
            self.requests.remove(request)
            return
        if self.book.wait_s(request.entry, request, now_s) > 0.0:
            self._wait_for_turn(request, now_s)
            return
        request.waits_until_s = None
        super()._send(request, now_s)
        if request.engine is None:
            return
        request.begun_s = request.next_event_s
        if request.is_culprit:
            self.arrivals.setdefault(_cause(request), []).append(now_s)

    def _wait_for_turn(self, request, now_s):
        if request.waits_until_s is None:
            request.waits_until_s = now_s + PATIENCE_S
        request.next_s = now_s + BLOCK_POLL_S
        if now_s >= request.waits_until_s:
            request.waits_until_s = None
            self._ask_elsewhere(request, now_s)

    def _step(self, request, now_s):
        event = request.event
        super()._step(request, now_s)
        if request.engine is None or request.event == event:
            return
        if len(request.sends_s) == 1 and request.attempts == 0:
            request.has_begun_at_once = True
        self.book.passed(request.entry, request, now_s)

    def _cut(self, request, boot, now_s):
        has_begun = now_s >= request.next_event_s
        if has_begun and request.is_culprit:
            ended_s = self.crash_times_s.setdefault(_cause(request), {})
            ended_s.setdefault(boot, now_s)
        super()._cut(request, boot, now_s)

    def _ask_elsewhere(self, request, now_s):
        request.attempts += 1
        if request.attempts >= CLIENT_ATTEMPTS:
            self.requests.remove(request)
            return
        request.entry = self.rng.randrange(self.parts_plan.entries)
        request.event = 0
        request.next_s = now_s + CLIENT_RETRY_S

    def _count_late(self, part):
        ended_s = self.crash_times_s.get(part, {})
        known_s = _counted_s(ended_s) + KNOWN_AFTER_S
        return sum(sent_s > known_s for sent_s in self.arrivals[part])

    def _share_begun(self, since_s, until_s):
        sent = [one for one in self.sound if since_s <= one.first_s < until_s]
        return sum(one.has_begun_at_once for one in sent) / max(1, len(sent))


def _cause(request):
    """Return the part by which a culprit ends engines, or else its fingerprint."""
    deadly = (part for part in request.parts if part.startswith("deadly"))
    return next(deadly, request.fingerprint)


def _counted_s(ended_s):
    """Return when the fifth engine ended, or the last if there were fewer."""
    times_s = sorted(ended_s.values())[:COUNTED_CRASHES]
    return times_s[-1] if times_s else 0.0


class ReplicatedPartBooks(ReplicatedBooks):
    """A crash book per entry, which tells requests by the whole and by their parts."""

    def __init__(self, entries, seed):
        super().__init__(entries, random.Random(f"books-{seed}"))
        self.passes = [PartPasses() for _ in range(entries)]

    def crashed(self, entry, request, engine, now_s):
        """Record a crash, with what the entry knows of the parts, and send it."""
        run = CutRun(
            fingerprint=request.fingerprint,
            request_id="",
            account=request.account,
            service="llm",
            parts=request.features,
            last_event=request.event,
            run_events=request.event - request.run_event,
            begun_s=request.begun_s,
            broke_s=now_s,
            on_trial=request.on_trial,
        )
        zone = engine.partition("/")[0]
        passes = self.passes[entry]
        found = partpasses.record_crash(passes, engine, zone, "v1", [run])
        for fingerprint, record in found.items():
            self._send(entry, fingerprint, record, now_s)

    def find_block(self, entry, request):
        """Return what a request is refused for, or None."""
        return blame.find_block(self.books[entry], request.fingerprints, self._now_s)

    def wait_s(self, entry, request, now_s):
        """Return how long a request waits for its turn at an entry."""
        book, held = self.books[entry], self._held(entry, request, now_s)
        return trials.wait_for_all_s(held, book.boot, len(self.books), now_s)

    def may_begin(self, entry, fingerprint, now_s):
        """Return that a request may be sent, as it has waited for its turn."""
        return True

    def begin(self, entry, request, engine, now_s):
        """Return whether a run is a trial, and send to all others that it begins."""
        held = self._held(entry, request, now_s)
        for fingerprint, known in held.items():
            trial = trials.next_trial(known, engine, now_s)
            record = known._replace(crashes=(), trial=trial)
            crashbook.merge(self.books[entry], fingerprint, record)
            self._send(entry, fingerprint, record, now_s)
        request.on_trial = frozenset(held)
        return request.fingerprint in held

    def _held(self, entry, request, now_s):
        book = self.books[entry]
        held = blame.find_held(book, request.fingerprints, now_s)
        return {one: book.records[one] for one in held}

    def passed(self, entry, request, now_s):
        """Record how far a request has got, and send it to all others if needed."""
        self.reached(entry, request)
        run_events = request.event - request.run_event
        if request.event >= EVENTS and not request.run_event:
            run_events = FINISHED
        if run_events < MIN_PASSED_EVENTS:
            return
        passed = Pass("v1", now_s, run_events)
        partpasses.record_pass(self.passes[entry], request.features, passed)
        book = self.books[entry]
        for fingerprint in partpasses.fingerprints(request.features):
            known = book.records.get(fingerprint)
            if known is None or fingerprint not in book.watched:
                continue
            record = partpasses.with_pass(known._replace(crashes=()), passed)
            if crashbook.merge_records(known, record) != known:
                self._send(entry, fingerprint, record, now_s)
