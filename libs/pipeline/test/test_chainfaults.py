"""Stateful fuzzing of whole chains against the fold of a single process."""

import random
import unittest

from builders import ENTRY, World, a_fleet, a_start, oracle
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

numbers = st.integers(0, 2**16)


class ChainFaults(RuleBasedStateMachine):
    """Requests over chains whose processes and links fail in any order.

    A caller may see an explicit failure, but never a token that the oracle doesn't
    have at that place. No KV sees a layer run twice for a position, and when all is
    over no process holds anything. Where engines sample differently, each KV must
    have come from the very text that the caller got.
    """

    @initialize(
        count=st.integers(1, 3),
        seed=numbers,
        varied=st.booleans(),
        kept=st.sampled_from([40, 2**20]),
    )
    def open(self, count, seed, varied, kept):
        rng = random.Random(seed)
        fleet = a_fleet(copies=6)
        self.cancelled = set()
        self.starts = {}
        self.varied = varied
        self.world = World(fleet, varied=varied, max_kept_bytes=kept)
        for number in range(count):
            first = 3 * rng.randrange(3)
            prompt = " ".join("abcde"[: rng.randint(1, 5)])
            tokens, window = rng.randint(1, 7), rng.randint(1, 4)
            stages = fleet[first : first + 3]
            start = a_start(f"r{number}", stages, prompt, tokens, window)
            self.starts[start.request] = start
            self.world.begin(start)

    def pick(self, number, choices):
        """Return one of several choices, or None if there is none."""
        choices = sorted(choices)
        return choices[number % len(choices)] if choices else None

    @rule(count=st.integers(1, 40), seed=numbers)
    def happen(self, count, seed):
        rng = random.Random(seed)
        for _ in range(count):
            if ready := self.world.ready():
                self.world.happen(rng.choice(ready))

    @rule(count=st.integers(1, 40), seed=numbers)
    def happen_disturbed(self, count, seed):
        """Let frames be doubled, held back or swapped all the while."""
        rng = random.Random(seed)
        for _ in range(count):
            # The entry's own frames stay in order: its links are streams, and `Free`
            # closes a request for good.
            links = [k for k, frames in self.world.links.items() if frames]
            if links:
                link = rng.choice(links)
                frames = self.world.links[link]
                frames.insert(rng.randint(1, len(frames)), frames[0])
                if link[0] != ENTRY:
                    frames.rotate(rng.randint(0, 1))
            self.happen(3, rng.random())

    @rule(seed=numbers)
    def fail_often(self, seed):
        """Let many faults happen a few events apart."""
        rng = random.Random(seed)
        faults = (
            lambda: self.pass_time(rng.choice((0.3, 1.0, 2.0))),
            lambda: self.kill(rng.getrandbits(16), rng.random() < 0.5),
            lambda: self.leave(rng.getrandbits(16)),
            lambda: self.freeze(rng.getrandbits(16)),
            self.thaw,
            lambda: self.cut(rng.getrandbits(16)),
            lambda: self.lose_frames_silently(rng.getrandbits(16)),
            self.world.deaf.clear,
            lambda: self.fail_job(rng.getrandbits(16)),
        )
        for _ in range(rng.randint(1, 12)):
            rng.choice(faults)()
            self.happen_disturbed(rng.randint(0, 6), rng.random())

    @rule(wait_s=st.sampled_from([0.3, 1.0, 2.0, 5.0]))
    def pass_time(self, wait_s):
        self.world.pass_time(wait_s)

    @rule(number=numbers, silently=st.booleans())
    def kill(self, number, silently):
        used = {s.address for core in self.world.cores.values() for s in core.stages}
        if address := self.pick(number, used & set(self.world.nodes)):
            self.world.kill(address, silently)

    @rule(number=numbers)
    def leave(self, number):
        request = self.pick(number, self.world.cores)
        stages = self.world.cores[request].stages
        if address := self.pick(number // 4, [stage.address for stage in stages]):
            self.world.leave(request, address)

    @rule(number=numbers)
    def freeze(self, number):
        if address := self.pick(number, self.world.nodes):
            self.world.nodes[address].frozen = True

    @rule()
    def thaw(self):
        for node in self.world.nodes.values():
            node.frozen = False

    @rule(number=numbers)
    def cut(self, number):
        if link := self.pick(number, self.world.links):
            self.world.cut(*link)

    @rule(number=numbers)
    def lose_frames_silently(self, number):
        between = [link for link in self.world.links if ENTRY not in link]
        if link := self.pick(number, between):
            self.world.deaf.add(link)

    @rule(number=numbers)
    def fail_job(self, number):
        busy = [a for a, node in self.world.nodes.items() if node.jobs]
        if address := self.pick(number, busy):
            self.world.finish_job(self.world.nodes[address], fails=True)

    @rule(number=numbers)
    def cancel(self, number):
        if number % 4 == 0:
            request = self.pick(number // 4, self.starts)
            self.world.cancel(request)
            self.cancelled.add(request)

    @invariant()
    def no_wrong_token(self):
        for request, start in self.starts.items():
            text = self.world.texts[request]
            assert self.varied or text == oracle(start)[: len(text)], request
        assert not self.world.wrong_kv

    @invariant()
    def no_layer_twice(self):
        assert not self.world.runs_twice()

    def teardown(self):
        self.thaw()
        world = self.world
        world.run(until=lambda: world.finished == set(self.starts))
        world.run()
        for request, start in self.starts.items():
            whole = len(world.texts[request]) == start.max_tokens
            assert whole or request in self.cancelled | set(world.failures)
            assert request in world.finished
        self.no_wrong_token()
        self.no_layer_twice()
        assert not world.leftovers(), world.leftovers()


ChainFaultsTests = ChainFaults.TestCase
ChainFaultsTests.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=250,
    stateful_step_count=12,
)

if __name__ == "__main__":
    unittest.main()
