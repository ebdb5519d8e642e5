"""Stateful fuzzing of whole chains against the result of a single process."""

import random

from builders import CALLER, ENTRY, World, a_fleet, a_start, oracle
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cherryrudder.pipeline import request as entry

numbers = st.integers(0, 2**16)


class Faults:
    """Faults to inject into a world; `number` picks the place."""

    def __init__(self, world):
        self.world = world
        self.all = (
            self.pass_time,
            self.kill,
            self.announce_stop,
            self.freeze,
            self.thaw,
            self.break_link,
            self.lose_frames,
            self.stop_losing_frames,
            self.fail_job,
        )

    def pick(self, number, choices):
        """Return one of the choices, or None if there are none."""
        choices = sorted(choices)
        return choices[number % len(choices)] if choices else None

    def pass_time(self, number):
        self.world.pass_time((0.3, 1.0, 2.0, 5.0)[number % 4])

    def kill(self, number):
        used = {s.address for core in self.world.cores.values() for s in core.stages}
        if address := self.pick(number, used & set(self.world.nodes)):
            self.world.kill(address, silently=number % 7 > 3)

    def announce_stop(self, number):
        request = self.pick(number, self.world.cores)
        stages = self.world.cores[request].stages
        if address := self.pick(number // 4, [stage.address for stage in stages]):
            self.world.call_entry(request, entry.stage_leaving, address)

    def freeze(self, number):
        if address := self.pick(number, self.world.nodes):
            self.world.nodes[address].frozen = True

    def thaw(self, number=0):
        for node in self.world.nodes.values():
            node.frozen = False

    def break_link(self, number):
        links = [link for link in self.world.links if CALLER not in link]
        if link := self.pick(number, links):
            self.world.break_link(*link)

    def lose_frames(self, number):
        between = [link for link in self.world.links if ENTRY not in link]
        if link := self.pick(number, between):
            self.world.lossy_links.add(link)

    def stop_losing_frames(self, number):
        self.world.lossy_links.clear()

    def fail_job(self, number):
        busy = [a for a, node in self.world.nodes.items() if node.jobs]
        if address := self.pick(number, busy):
            self.world.finish_job(self.world.nodes[address], fails=True)


class ChainFaults(RuleBasedStateMachine):
    """Requests over chains whose processes and links fail in any order.

    A caller may get an explicit failure, but never a token that differs from the
    oracle's at that position. No layer runs twice for a position on the same KV, and
    at the end no process holds any state. When engines sample differently, each KV
    must have been computed from the text that the caller received.
    """

    @initialize(count=st.integers(1, 3), seed=numbers, varied=st.booleans())
    def open(self, count, seed, varied):
        rng = random.Random(seed)
        fleet = a_fleet(copies=6)
        self.cancelled = set()
        self.starts = {}
        self.varied = varied
        kept_bytes = rng.choice((20, 2**20))
        self.world = World(fleet, varied=varied, max_kept_bytes=kept_bytes)
        self.faults = Faults(self.world)
        for number in range(count):
            first = 3 * rng.randrange(3)
            prompt = " ".join("abcde"[: rng.randint(1, 5)])
            sizes = (rng.randint(1, 7), rng.randint(1, 4))
            start = a_start(f"r{number}", fleet[first : first + 3], prompt, *sizes)
            self.starts[start.request] = start
            self.world.begin(start)

    @rule(count=st.integers(1, 40), seed=numbers)
    def process(self, count, seed):
        rng = random.Random(seed)
        for _ in range(count):
            if ready := self.world.ready():
                self.world.process(rng.choice(ready))

    @rule(count=st.integers(1, 40), seed=numbers)
    def process_disturbed(self, count, seed):
        """Process events while frames are duplicated, delayed or reordered."""
        rng = random.Random(seed)
        for _ in range(count):
            links = [link for link, frames in self.world.links.items() if frames]
            if links:
                link = rng.choice(links)
                frames = self.world.links[link]
                frames.insert(rng.randint(1, len(frames)), frames[0])
                # The entry's own frames stay in order, because its links are streams
                # and `Free` ends a request finally.
                frames.rotate(rng.randint(0, link[0] != ENTRY))
            self.process(3, rng.random())

    @rule(number=numbers, place=numbers)
    def fail(self, number, place):
        faults = self.faults.all
        faults[place % len(faults)](number)

    @rule(seed=numbers)
    def fail_often(self, seed):
        """Inject many faults a few events apart."""
        rng = random.Random(seed)
        for _ in range(rng.randint(1, 12)):
            rng.choice(self.faults.all)(rng.getrandbits(16))
            self.process_disturbed(rng.randint(0, 6), rng.random())

    @rule(number=numbers)
    def cancel(self, number):
        if number % 4 == 0:
            request = self.faults.pick(number // 4, self.starts)
            self.world.call_entry(request, entry.cancel)
            self.cancelled.add(request)

    @invariant()
    def results_are_correct(self):
        for request, start in self.starts.items():
            text = self.world.texts[request]
            assert self.varied or text == oracle(start)[: len(text)], request
        assert not self.world.wrong_kv
        assert not self.world.repeated_runs()

    def teardown(self):
        world = self.world
        self.faults.thaw()
        world.run(until=lambda: world.finished == set(self.starts))
        world.run()
        self.results_are_correct()
        for request, start in self.starts.items():
            is_complete = len(world.texts[request]) == start.max_tokens
            assert is_complete or request in self.cancelled | set(world.failures)
            assert request in world.finished
        assert not world.remaining(), world.remaining()


ChainFaultsTests = ChainFaults.TestCase
ChainFaultsTests.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=250,
    stateful_step_count=12,
)
