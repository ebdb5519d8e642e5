"""Builders of test data for the pipeline's tests: stages, a fold engine, a world."""

from collections import Counter, deque

from cherryrudder.fakes import fold
from cherryrudder.model.endpoints import Announcement, Kind, Place
from cherryrudder.pipeline import request as entry, stage as sidecar
from cherryrudder.pipeline.effects import (
    Compute,
    Deliver,
    Fail,
    Finished,
    FreeKv,
    NeedStage,
    SendTo,
)
from cherryrudder.pipeline.messages import Stage, Start, Step

LAYERS = 6
MODEL = "briefing"
ENTRY = "entry:1"
RANGES = ((0, 2), (2, 4), (4, 6))


def a_stage(name, first_layer=0, end_layer=LAYERS):
    """Return a stage whose address follows from its name."""
    return Stage(name, "1", f"{name}:1", first_layer, end_layer)


def a_fleet(copies=4, ranges=RANGES):
    """Return several stages for each range, the first of each range first."""
    return [
        a_stage(f"s{index}{'abcdef'[copy]}", *layers)
        for copy in range(copies)
        for index, layers in enumerate(ranges)
    ]


def a_start(request="r1", stages=None, prompt="petra at dawn", max_tokens=6, window=8):
    """Return the start of a request, as its entry holds it."""
    stages = tuple(a_fleet(1)) if stages is None else tuple(stages)
    words = tuple(fold.tokenize(prompt))
    return Start(
        request, 1, ENTRY, stages, 0, MODEL, words, max_tokens, window, priority=0
    )


def an_announcement(name, first_layer, end_layer, **changes):
    """Return an engine's announcement."""
    announcement = Announcement(
        name, Kind.ENGINE, "1", 1, Place("vm", "amman-1", "jordan"), f"{name}:2"
    )
    ranges = {"first_layer": first_layer, "end_layer": end_layer}
    given = {"model_layers": LAYERS, "frames_address": f"{name}:1"} | ranges | changes
    return announcement._replace(**given)


def pick_token(value, salt):
    """Return the token that an engine with a salt samples."""
    return fold.pick_token(f"{int(value, 16) + salt:x}")


class FoldEngine:
    """An engine of a layer range; the ledger counts each layer's run per position.

    Engines of different `salt` sample different tokens from the same output.
    """

    def __init__(self, stage, salt=0):
        self.salt = salt
        self.layers = range(stage.first_layer, stage.end_layer)
        self.kv = {}
        self.next_position = Counter()
        self.ledger = Counter()
        # How often a request's KV was dropped; a run after that is a rebuild.
        self.freed = Counter()

    def run(self, compute):
        """Return the outputs, or None for a gap as the engine's interface has it."""
        request = compute.request
        if compute.position != self.next_position[request]:
            return None
        kv = self.kv.setdefault(request, dict.fromkeys(self.layers, fold.EMPTY_KV))
        outputs = []
        for value in compute.inputs:
            for layer in self.layers:
                value, kv[layer] = fold.run_layer(MODEL, layer, kv[layer], value)
                position = self.next_position[request]
                life = self.freed[request]
                self.ledger[request, life, layer, position] += 1
            self.next_position[request] += 1
            is_last = self.layers.stop == LAYERS
            outputs.append(pick_token(value, self.salt) if is_last else value)
        return outputs

    def free(self, request):
        """Drop a request's KV."""
        if self.kv.pop(request, None):
            self.freed[request] += 1
        self.next_position.pop(request, None)


class Node:
    """A sidecar and its engine."""

    def __init__(self, stage, core, salt):
        self.stage = stage
        self.core = core
        self.engine = FoldEngine(stage, salt)
        self.computes = deque()
        self.frozen = False


class World:
    """An entry and sidecars over links that the test may disturb."""

    def __init__(self, fleet=None, stages=sidecar, varied=False, **limits):
        self.sidecar = stages
        self.nodes = {}
        self.links = {}
        self.cores = {}
        self.texts = {}
        self.failures = {}
        self.finished = set()
        # Stages whose KV did not come from the text that the caller got.
        self.wrong_kv = []
        # Links that lose every frame without a sign.
        self.deaf = set()
        self.now_s = 0.0
        for salt, stage in enumerate(fleet or a_fleet()):
            core = sidecar.StageCore(**limits)
            self.nodes[stage.address] = Node(stage, core, salt if varied else 0)

    def begin(self, start):
        """Start a request at the entry."""
        core = entry.RequestCore(start)
        self.cores[start.request] = core
        self.texts[start.request] = []
        self.at_entry(start.request, entry.begin(core, self.now_s))

    def at_entry(self, request, effects):
        """Carry out the effects of a request's core."""
        core = self.cores[request]
        for effect in effects:
            if isinstance(effect, SendTo):
                self.send(ENTRY, effect)
            elif isinstance(effect, Deliver):
                self.texts[request] += effect.tokens
                if effect.last:
                    self.check_kv(core)
                count = len(self.texts[request])
                self.at_entry(request, entry.consumed(core, count, self.now_s))
            elif isinstance(effect, NeedStage):
                self.at_entry(request, self.find(core, effect))
            elif isinstance(effect, Fail):
                self.failures[request] = effect.message
            elif isinstance(effect, Finished):
                self.finished.add(request)

    def check_kv(self, core):
        """Compare the plan's KV with that of the prompt and the text."""
        request = core.start.request
        inputs = core.start.prompt + tuple(self.texts[request][:-1])
        for stage in core.plan:
            node = self.nodes.get(stage.address)
            kv = node.engine.kv.get(request, {}) if node else {}
            # A stage being rebuilt may not have run the last positions yet.
            want = kv_of(inputs[: node.engine.next_position[request]]) if kv else ()
            if any(kv[layer] != want[layer] for layer in kv):
                self.wrong_kv.append((request, stage.endpoint))

    def find(self, core, need):
        """Answer a need with a stage that holds the range, if there is one."""
        for node in self.nodes.values():
            stage = node.stage
            fits = stage[3:] == (need.first_layer, need.end_layer)
            if fits and stage.endpoint not in need.exclude:
                return entry.replace(core, stage, self.now_s)
        return entry.no_stage(core, self.now_s)

    def at_stage(self, address, effects):
        """Carry out the effects of a sidecar's core."""
        node = self.nodes[address]
        for effect in effects:
            if isinstance(effect, SendTo):
                self.send(address, effect)
            elif isinstance(effect, Compute):
                node.computes.append(effect)
            elif isinstance(effect, FreeKv):
                node.engine.free(effect.request)

    def send(self, sender, effect):
        """Queue a frame; a dead receiver's frames are lost."""
        if (sender, effect.address) in self.deaf:
            return
        if effect.address == ENTRY or effect.address in self.nodes:
            link = self.links.setdefault((sender, effect.address), deque())
            link.append(effect.message)

    def ready(self):
        """Return what may happen next: links with a frame, engines with a compute."""
        links = [
            key
            for key, frames in self.links.items()
            if frames and (key[1] == ENTRY or not self.nodes[key[1]].frozen)
        ]
        computes = [
            address
            for address, node in self.nodes.items()
            if node.computes and not node.frozen
        ]
        return links + computes

    def happen(self, what):
        """Deliver a link's next frame or finish an engine's next compute."""
        if isinstance(what, str):
            self.finish_compute(self.nodes[what])
            return
        message = self.links[what].popleft()
        address = what[1]
        if address != ENTRY:
            core = self.nodes[address].core
            effects = self.sidecar.receive(core, message, self.now_s)
            self.at_stage(address, effects)
        elif message.request in self.cores:
            core = self.cores[message.request]
            effects = entry.receive(core, message, self.now_s)
            self.at_entry(message.request, effects)

    def finish_compute(self, node, fails=False):
        """Give a compute's outputs, or its failure, to the sidecar."""
        compute = node.computes.popleft()
        key = (compute.request, compute.position)
        outputs = None if fails else node.engine.run(compute)
        if outputs is None:
            effects = self.sidecar.compute_failed(node.core, *key, "gap", self.now_s)
        else:
            effects = self.sidecar.computed(node.core, *key, outputs, self.now_s)
        self.at_stage(node.stage.address, effects)

    def run(self, until=lambda: False, steps=100_000, rng=None):
        """Let things happen, in turn or at random, and time pass when nothing does."""
        idle = 0
        for _ in range(steps):
            ready = self.ready()
            if until() or idle > 60:
                return
            if ready:
                idle = 0
                self.happen(rng.choice(ready) if rng else ready[0])
            else:
                idle += 1
                self.pass_time(1.0)
        raise AssertionError("the chain did not come to rest")

    def pass_time(self, wait_s):
        """Move the clock on and tick every core."""
        self.now_s += wait_s
        for request, core in list(self.cores.items()):
            self.at_entry(request, entry.tick(core, self.now_s))
        for address, node in list(self.nodes.items()):
            if not node.frozen:
                self.at_stage(address, self.sidecar.tick(node.core, self.now_s))

    def cut(self, a, b):
        """Break the link between two processes; frames under way are lost."""
        self.links.pop((a, b), None)
        self.links.pop((b, a), None)
        for one, other in ((a, b), (b, a)):
            if one in self.nodes:
                core = self.nodes[one].core
                self.at_stage(one, self.sidecar.link_lost(core, other, self.now_s))
            elif one == ENTRY:
                for request, core in list(self.cores.items()):
                    lost = entry.stage_lost(core, other, self.now_s)
                    self.at_entry(request, lost)

    def kill(self, address, silently=False):
        """End a sidecar and its engine; the KV is gone."""
        del self.nodes[address]
        peers = {one for key in self.links for one in key if address in key}
        for peer in sorted(peers - {address}):
            if silently:
                self.links.pop((address, peer), None)
                self.links.pop((peer, address), None)
            else:
                self.cut(peer, address)

    def cancel(self, request):
        """Let a caller go away."""
        self.at_entry(request, entry.cancel(self.cores[request], self.now_s))

    def runs_twice(self):
        """Return the layer runs that a KV saw twice; there should be none."""
        return [
            (address, key)
            for address, node in self.nodes.items()
            for key, count in node.engine.ledger.items()
            if count > 1
        ]

    def leftovers(self):
        """Return the requests that any sidecar or engine still holds."""
        return [
            (address, request)
            for address, node in self.nodes.items()
            for request in [*node.core.requests, *node.engine.kv, *node.core.draining]
        ]


def kv_of(inputs):
    """Return every layer's KV after a single process ran the inputs."""
    kv = [fold.EMPTY_KV] * LAYERS
    for value in inputs:
        for layer in range(LAYERS):
            value, kv[layer] = fold.run_layer(MODEL, layer, kv[layer], value)
    return kv


def oracle(start):
    """Return the tokens that a single process would generate."""
    prompt = " ".join(start.prompt)
    return fold.generate(MODEL, LAYERS, prompt, start.max_tokens)


class NaiveStages:
    """The sidecar without positions and generations: each step is the next one."""

    computed = staticmethod(sidecar.computed)
    compute_failed = staticmethod(sidecar.compute_failed)
    link_lost = staticmethod(sidecar.link_lost)
    tick = staticmethod(sidecar.tick)

    @staticmethod
    def receive(core, message, now_s):
        state = core.requests.get(message.request) if type(message) is Step else None
        if state:
            generation, position = state.start.generation, state.expected
            message = message._replace(generation=generation, position=position)
        return sidecar.receive(core, message, now_s)
