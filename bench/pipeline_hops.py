"""Measure the pipeline's hops, bytes and processor time in one process.

Compares this project's chain, whose stages pass activations on to each other, with a
naive one, whose entry sends each activation to a stage and receives the result. All
messages from one processing step to one address are sent as one msgpack frame. Engines
cost nothing here, so the figures cover only the core logic and the codec.
"""

import time
from collections import Counter, defaultdict
from typing import NamedTuple

import defopt
import msgspec

from cherryrudder.pipeline import request as entry, stage as sidecar
from cherryrudder.pipeline.effects import Compute, Deliver, NeedStage, SendTo
from cherryrudder.pipeline.messages import MESSAGES, Stage, Start, Step

ENTRY = "entry"
LAYERS_PER_STAGE = 10


class Frame(NamedTuple):
    """A message as sent: the index of its type in MESSAGES, and its body.

    The receiver decodes the body from raw bytes once the type is known.
    """

    kind: int
    body: NamedTuple


DECODERS = [msgspec.msgpack.Decoder(kind) for kind in MESSAGES]
KINDS = {kind: index for index, kind in enumerate(MESSAGES)}
encode = msgspec.msgpack.Encoder().encode
decode_frames = msgspec.msgpack.Decoder(list[tuple[int, msgspec.Raw]]).decode


class Meter:
    """Frames in flight, and each process's bytes, steps and processor time."""

    def __init__(self):
        self.outbox = defaultdict(list)
        self.bytes = Counter()
        self.cpu_s = Counter()
        self.steps = Counter()
        self.hops = 0

    def send(self, sender, address, message):
        self.outbox[sender, address].append(message)

    def flush(self, sender):
        """Encode the messages that a process has queued, one frame per address."""
        frames = []
        for key in [key for key in self.outbox if key[0] == sender]:
            batch = [Frame(KINDS[type(m)], m) for m in self.outbox[key]]
            del self.outbox[key]
            frame = encode(batch)
            self.bytes[sender] += len(frame)
            self.bytes[key[1]] += len(frame)
            frames.append((*key, frame))
        return frames

    def process_frame(self, sender, address, frame, handle):
        """Handle a frame at its address and return the frames sent in response."""
        started_s = time.process_time()
        for kind, body in decode_frames(frame):
            self.steps[address] += MESSAGES[kind] is Step
            handle(sender, address, DECODERS[kind].decode(body))
        sent = self.flush(address)
        self.cpu_s[address] += time.process_time() - started_s
        return sent

    def run(self, frames, handle):
        """Deliver frames in order and set `hops` to the longest sequence of them."""
        in_flight = [(frame, 1) for frame in frames]
        while in_flight:
            frame, hops = in_flight.pop(0)
            self.hops = hops
            in_flight += [(new, hops + 1) for new in self.process_frame(*frame, handle)]


def make_plan(stages):
    """Return a plan of equal stages."""
    return tuple(
        Stage(f"s{i}", "1", f"s{i}", i * LAYERS_PER_STAGE, (i + 1) * LAYERS_PER_STAGE)
        for i in range(stages)
    )


class OurChain:
    """The pipeline library's request and stage cores, connected by a `Meter`."""

    def __init__(self, plan, activation):
        self.meter = Meter()
        self.plan = plan
        self.activation = activation
        self.stages = {stage.address: sidecar.StageCore() for stage in plan}
        self.requests = {}
        self.tokens = 0
        self.positions = Counter()

    def begin(self, name, prompt_tokens, tokens):
        prompt = tuple(str(number) for number in range(prompt_tokens))
        start = Start(name, 1, ENTRY, self.plan, 0, "m", prompt, tokens, tokens)
        core = self.requests[name] = entry.RequestCore(start)
        self.apply_entry_effects(core, entry.begin(core, 0.0))

    def apply_entry_effects(self, core, effects):
        for effect in effects:
            if isinstance(effect, SendTo):
                self.meter.send(ENTRY, effect.address, effect.message)
            elif isinstance(effect, Deliver):
                self.tokens += len(effect.tokens)
            elif isinstance(effect, NeedStage):
                self.stages["spare"] = sidecar.StageCore()
                spare = Stage("spare", "1", "spare", *effect[:2])
                self.apply_entry_effects(core, entry.replace(core, spare, 0.0))

    def apply_stage_effects(self, address, effects):
        for effect in effects:
            if isinstance(effect, SendTo):
                self.meter.send(address, effect.address, effect.message)
            elif isinstance(effect, Compute):
                count = len(effect.inputs)
                self.positions[address] += count
                last = address == self.plan[-1].address
                outputs = ("token" if last else self.activation,) * count
                core = self.stages[address]
                key = (effect.request, effect.position)
                self.apply_stage_effects(
                    address, sidecar.computed(core, *key, outputs, 0.0)
                )

    def handle(self, sender, address, message):
        if address == ENTRY:
            core = self.requests[message.request]
            self.apply_entry_effects(core, entry.receive(core, message, 0.0))
        elif address in self.stages:
            core = self.stages[address]
            self.apply_stage_effects(address, sidecar.receive(core, message, 0.0))

    def run(self):
        self.meter.run(self.meter.flush(ENTRY), self.handle)


class NaiveChain:
    """An entry through which every activation passes, and stages that only compute."""

    def __init__(self, plan, activation):
        self.meter = Meter()
        self.addresses = [stage.address for stage in plan]
        self.activation = activation
        self.tokens_left = {}
        self.tokens = 0

    def begin(self, name, prompt_tokens, tokens):
        self.tokens_left[name] = tokens
        prompt = tuple(str(number) for number in range(prompt_tokens))
        self.meter.send(ENTRY, self.addresses[0], Step(name, 1, 0, prompt))

    def handle(self, sender, address, step):
        if address != ENTRY:
            last = address == self.addresses[-1]
            outputs = ("token" if last else self.activation,) * len(step.inputs)
            self.meter.send(address, ENTRY, step._replace(inputs=outputs))
            return
        next_index = self.addresses.index(sender) + 1
        if next_index < len(self.addresses):
            self.meter.send(ENTRY, self.addresses[next_index], step)
            return
        self.tokens += 1
        self.tokens_left[step.request] -= 1
        if self.tokens_left[step.request]:
            position = step.position + len(step.inputs)
            step = Step(step.request, 1, position, step.inputs[-1:])
            self.meter.send(ENTRY, self.addresses[0], step)

    def run(self):
        self.meter.run(self.meter.flush(ENTRY), self.handle)


def run_batch(kind, plan, activation, batch, tokens):
    """Run a batch of requests through a chain and return its meter."""
    chain = kind(plan, activation)
    for number in range(batch):
        chain.begin(f"r{number}", 1, tokens)
    chain.run()
    assert chain.tokens == batch * tokens
    return chain.meter


def report_batches(plan, activation, tokens):
    """Print hops, bytes and processor time for each batch size, ours and naive."""
    print("chain  batch  hops/token  entry B/token  entry us/token", end="")
    print("  stage us/step  stage tokens/s")
    for kind in (OurChain, NaiveChain):
        for batch in (1, 2, 4, 8, 16, 32, 64):
            meter = run_batch(kind, plan, activation, batch, tokens)
            made_tokens = batch * tokens
            # The middle stage both receives and sends an activation.
            middle = plan[len(plan) // 2].address
            step_us = meter.cpu_s[middle] / meter.steps[middle] * 1e6
            print(
                f"{kind.__name__[:-5]:5}  {batch:5}  {meter.hops / tokens:10.2f}"
                f"  {meter.bytes[ENTRY] / made_tokens:13.0f}"
                f"  {meter.cpu_s[ENTRY] / made_tokens * 1e6:14.1f}  {step_us:13.1f}"
                f"  {1e6 / step_us:14.0f}"
            )


def report_rebuild(plan, activation, positions):
    """Print the cost of replacing a lost middle stage after a prompt's prefill."""
    chain = OurChain(plan, activation)
    chain.begin("r", positions, 2)
    lost = plan[len(plan) // 2].address
    frames = chain.meter.flush(ENTRY)
    while not chain.tokens:
        frames += chain.meter.process_frame(*frames.pop(0), chain.handle)
    before = chain.positions.copy()
    before_bytes = chain.meter.bytes.copy()
    before_s = sum(chain.meter.cpu_s.values())
    del chain.stages[lost]
    core = chain.requests["r"]
    chain.apply_entry_effects(core, entry.stage_lost(core, lost, 0.0))
    chain.run()
    recomputed = chain.positions - before
    spare_bytes = chain.meter.bytes["spare"] - before_bytes["spare"]
    entry_bytes = chain.meter.bytes[ENTRY] - before_bytes[ENTRY]
    took_s = sum(chain.meter.cpu_s.values()) - before_s
    print(f"positions run after the loss, by stage: {dict(recomputed)}")
    print(f"bytes to and from the new stage: {spare_bytes}, the entry: {entry_bytes}")
    print(f"cores and codec: {took_s * 1e3:.1f} ms for {positions} positions")


def main(*, activation_bytes: int = 16384, stages: int = 3, tokens: int = 200):
    """Print the figures.

    :param activation_bytes: size of one hidden state as it travels
    :param stages: length of the chain
    :param tokens: tokens that each request makes
    """
    plan = make_plan(stages)
    activation = "a" * activation_bytes
    print(f"{stages} stages, {activation_bytes} B per activation, {tokens} tokens each")
    report_batches(plan, activation, tokens)
    report_rebuild(plan, activation, positions=1000)


if __name__ == "__main__":
    defopt.run(main)
