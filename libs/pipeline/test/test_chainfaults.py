"""Stateful fuzzing of whole chains against the fold of a single process."""

import random
import unittest
from collections import deque

from builders import ENTRY, RANGES, World, a_fleet, a_start, oracle
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

numbers = st.integers(0, 2**16)


class ChainFaults(RuleBasedStateMachine):
    """Requests over chains whose processes and links fail in any order.

    A caller may see an explicit failure, but never a token that the oracle doesn't
    have at that place. No KV sees a layer run twice for a position, and when all is
    over no process holds anything. Where engines sample differently, each KV must
    have come from the very text that the caller got.
    """

    def __init__(self):
        super().__init__()
        self.starts = {}
        self.cancelled = set()

    @initialize(varied=st.booleans(), kept=st.sampled_from([40, 2**20]))
    def open(self, varied, kept):
        self.varied = varied
        fleet = a_fleet(copies=5)
        self.world = World(fleet, varied=varied, max_kept_bytes=kept)

    def pick(self, number, choices):
        """Return one of several choices, or None if there is none."""
        choices = sorted(choices)
        return choices[number % len(choices)] if choices else None

    @rule(words=st.integers(1, 5), tokens=st.integers(1, 7), window=st.integers(1, 4))
    def begin(self, words, tokens, window):
        if len(self.starts) == 3:
            return
        nodes = list(self.world.nodes.values())
        random.Random(words * tokens).shuffle(nodes)
        by_range = {node.stage[3:]: node.stage for node in nodes}
        if len(by_range) < len(RANGES):
            return
        request = f"r{len(self.starts)}"
        stages = [by_range[layers] for layers in RANGES]
        prompt = " ".join("abcde"[:words])
        start = a_start(request, stages, prompt, tokens, window)
        self.starts[request] = start
        self.world.begin(start)

    @rule(count=st.integers(1, 40), seed=numbers)
    def happen(self, count, seed):
        rng = random.Random(seed)
        for _ in range(count):
            if ready := self.world.ready():
                self.world.happen(rng.choice(ready))

    @rule(wait_s=st.sampled_from([0.3, 1.0, 2.0, 5.0]))
    def pass_time(self, wait_s):
        self.world.pass_time(wait_s)

    @rule(number=numbers, silently=st.booleans())
    def kill(self, number, silently):
        if address := self.pick(number, self.world.nodes):
            self.world.kill(address, silently)

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

    @rule(number=numbers, place=numbers)
    def double_frame(self, number, place):
        full = [link for link, frames in self.world.links.items() if frames]
        if link := self.pick(number, full):
            frames = self.world.links[link]
            frames.insert(1 + place % len(frames), frames[0])

    @rule(number=numbers)
    def reorder_frames(self, number):
        # The entry's own frames stay in order: its links are streams, and `Free`
        # closes a request for good.
        full = [
            link
            for link, frames in self.world.links.items()
            if len(frames) > 1 and link[0] != ENTRY
        ]
        if link := self.pick(number, full):
            self.world.links[link] = deque(reversed(self.world.links[link]))

    @precondition(lambda self: self.starts)
    @rule(number=numbers)
    def fail_compute(self, number):
        busy = [a for a, node in self.world.nodes.items() if node.computes]
        if address := self.pick(number, busy):
            self.world.finish_compute(self.world.nodes[address], fails=True)

    @precondition(lambda self: len(self.starts) > 2)
    @rule(number=numbers)
    def cancel(self, number):
        request = self.pick(number, self.starts)
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
    max_examples=150,
    stateful_step_count=30,
)

if __name__ == "__main__":
    unittest.main()
