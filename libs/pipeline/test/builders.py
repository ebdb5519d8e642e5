"""Test data and simulation for the pipeline's tests: stages, engines, a network."""

from ast import literal_eval
from collections import Counter, deque

from cherryrudder.fakes import fold
from cherryrudder.model.endpoints import Announcement, Kind, Place
from cherryrudder.pipeline import handover, request as entry, stage as sidecar
from cherryrudder.pipeline.effects import (
    Deliver,
    ExportKv,
    Fail,
    Finished,
    FreeKv,
    ImportKv,
    NeedStage,
    SendTo,
)
from cherryrudder.pipeline.messages import Ack, Stage, Start, Step

LAYERS = 6
MODEL = "briefing"
ENTRY = "entry:1"
CALLER = "caller"
RANGES = ((0, 2), (2, 4), (4, 6))


def a_stage(name, first_layer=0, end_layer=LAYERS):
    """Return a stage with an address derived from its name."""
    return Stage(name, "1", f"{name}:1", first_layer, end_layer)


def a_fleet(copies=4, ranges=RANGES):
    """Return several stages for each range, beginning with one copy of each."""
    return [
        a_stage(f"s{index}{'abcdef'[copy]}", *layers)
        for copy in range(copies)
        for index, layers in enumerate(ranges)
    ]


def a_start(request="r1", stages=None, prompt="petra at dawn", max_tokens=6, window=2):
    """Return a request's `Start` message for stage 0."""
    stages = tuple(a_fleet(1)) if stages is None else tuple(stages)
    words = tuple(fold.tokenize(prompt))
    return Start(
        request, 1, ENTRY, stages, 0, MODEL, words, max_tokens, window, priority=0
    )


def a_step(position, *inputs, generation=1):
    """Return a step of request r1."""
    return Step("r1", generation, position, inputs)


def sent(effects, kind=object):
    """Return the sent messages of a type among effects."""
    messages = [e.message for e in effects if isinstance(e, SendTo)]
    return [message for message in messages if isinstance(message, kind)]


def an_announcement(name, first_layer, end_layer, **changes):
    """Return an engine's announcement."""
    announcement = Announcement(
        name, Kind.ENGINE, "1", 1, Place("vm", "amman-1", "jordan"), f"{name}:2"
    )
    ranges = {"first_layer": first_layer, "end_layer": end_layer}
    given = {"model_layers": LAYERS, "frames_address": f"{name}:1"} | ranges | changes
    return announcement._replace(**given)


def pick_token(value, salt):
    """Return the token that an engine with a salt samples from an output."""
    return fold.pick_token(f"{int(value, 16) + salt:x}")


class FoldEngine:
    """An engine of a layer range that counts each layer's runs per position.

    Engines of different `salt` sample different tokens from the same output.
    """

    def __init__(self, stage, salt=0):
        self.salt = salt
        self.layers = range(stage.first_layer, stage.end_layer)
        self.kv = {}
        self.next_position = Counter()
        self.run_counts = Counter()
        # How often a request's KV was dropped; runs after that are rebuilds.
        self.freed = Counter()

    def run(self, compute):
        """Return the outputs, or None if there is a gap before the inputs."""
        request = compute.request
        if compute.position != self.next_position[request]:
            return None
        kv = self.kv.setdefault(request, dict.fromkeys(self.layers, fold.EMPTY_KV))
        outputs = []
        for value in compute.inputs:
            for layer in self.layers:
                value, kv[layer] = fold.run_layer(MODEL, layer, kv[layer], value)
                position = self.next_position[request]
                rebuilds = self.freed[request]
                self.run_counts[request, rebuilds, layer, position] += 1
            self.next_position[request] += 1
            is_last = self.layers.stop == LAYERS
            outputs.append(pick_token(value, self.salt) if is_last else value)
        return outputs

    def export(self, request):
        """Return a request's KV as text."""
        return repr((self.next_position[request], self.kv.get(request, {})))

    def load(self, request, text):
        """Import KV that another engine exported."""
        self.next_position[request], kv = literal_eval(text)
        self.kv[request] = kv or dict.fromkeys(self.layers, fold.EMPTY_KV)

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
        self.jobs = deque()
        self.frozen = False


class World:
    """An entry and sidecars over links in which a test can inject faults."""

    def __init__(self, fleet=None, stages=sidecar, varied=False, **limits):
        self.sidecar = stages
        self.nodes = {}
        self.links = {}
        self.cores = {}
        self.texts = {}
        self.failures = {}
        self.finished = set()
        # Stages whose KV was not computed from the text that the caller received.
        self.wrong_kv = []
        # Links that lose every frame without an error.
        self.lossy_links = set()
        self.now_s = 0.0
        for salt, stage in enumerate(fleet or a_fleet()):
            core = sidecar.StageCore(**limits)
            self.nodes[stage.address] = Node(stage, core, salt if varied else 0)

    def begin(self, start):
        """Start a request at the entry."""
        self.cores[start.request] = entry.RequestCore(start)
        self.texts[start.request] = []
        self.call_entry(start.request, entry.begin)

    def call_entry(self, request, function, *values):
        """Call a function on a request's state at the entry and apply the effects."""
        core = self.cores[request]
        for effect in function(core, *values, self.now_s):
            match effect:
                case SendTo():
                    self.send(ENTRY, effect)
                case Deliver():
                    self.deliver(core, effect)
                case NeedStage():
                    self.call_entry(request, *self.answer_need(effect))
                case Fail():
                    self.failures[request] = effect.message
                case Finished():
                    self.finished.add(request)

    def call_stage(self, address, function, *values):
        """Call a function on a sidecar's state and apply the effects."""
        node = self.nodes[address]
        for effect in function(node.core, *values, self.now_s):
            match effect:
                case SendTo():
                    self.send(address, effect)
                case FreeKv():
                    node.engine.free(effect.request)
                case _:
                    node.jobs.append(effect)

    def deliver(self, core, effect):
        """Queue tokens to the caller, who takes them later."""
        request = core.start.request
        self.texts[request] += effect.tokens
        taken = Ack(request, len(self.texts[request]))
        self.links.setdefault((ENTRY, CALLER), deque()).append(taken)
        if effect.last:
            self.check_kv(core)

    def check_kv(self, core):
        """Compare the KV of the plan's stages with that of the prompt and the text."""
        request = core.start.request
        inputs = core.start.prompt + tuple(self.texts[request][:-1])
        for stage in core.plan:
            node = self.nodes.get(stage.address)
            kv = node.engine.kv.get(request, {}) if node else {}
            # A stage that is being rebuilt may lack the last positions.
            expected = kv_of(inputs[: node.engine.next_position[request]]) if kv else ()
            if any(kv[layer] != expected[layer] for layer in kv):
                self.wrong_kv.append((request, stage.endpoint))

    def answer_need(self, need):
        """Return the call that answers a need, with a stage if there is one."""
        for stage in [node.stage for node in self.nodes.values()]:
            fits = stage[3:] == (need.first_layer, need.end_layer)
            if fits and stage.endpoint not in need.exclude:
                return entry.replace, stage
        return (entry.no_stage,)

    def send(self, sender, effect):
        """Queue a frame; frames to a dead receiver are lost."""
        link = (sender, effect.address)
        if link not in self.lossy_links and effect.address in {ENTRY, *self.nodes}:
            self.links.setdefault(link, deque()).append(effect.message)

    def ready(self):
        """Return the possible next events: links with a frame, engines with a job."""
        frozen = {address for address, node in self.nodes.items() if node.frozen}
        links = [key for key, frames in self.links.items() if frames]
        busy = [address for address, node in self.nodes.items() if node.jobs]
        return [key for key in links if key[1] not in frozen] + [
            address for address in busy if address not in frozen
        ]

    def process(self, event):
        """Deliver a link's next frame or finish an engine's next job."""
        if isinstance(event, str):
            self.finish_job(self.nodes[event])
            return
        message = self.links[event].popleft()
        if event[1] == CALLER:
            self.call_entry(message.request, entry.record_consumed, message.count)
        elif event[1] == ENTRY:
            self.call_entry(message.request, entry.receive, message)
        else:
            self.call_stage(event[1], self.sidecar.receive, message)

    def finish_job(self, node, fails=False):
        """Finish an engine's next job and pass its result to the sidecar."""
        job, address = node.jobs.popleft(), node.stage.address
        if isinstance(job, ExportKv):
            kv = "" if fails else node.engine.export(job.request)
            self.call_stage(address, handover.exported, job.request, kv)
        elif isinstance(job, ImportKv):
            if not fails:
                node.engine.load(job.request, job.kv)
            self.call_stage(address, handover.imported, job.request, not fails)
        else:
            key = (job.request, job.position)
            outputs = None if fails else node.engine.run(job)
            if outputs is None:
                self.call_stage(address, self.sidecar.compute_failed, *key, "gap")
            else:
                self.call_stage(address, self.sidecar.computed, *key, outputs)

    def run(self, until=lambda: False, rng=None):
        """Process events in order or at random; advance time if there are none."""
        idle_s = 0
        for _ in range(100_000):
            ready = self.ready()
            if until() or idle_s > 60:
                return
            if ready:
                idle_s = 0
                self.process(rng.choice(ready) if rng else ready[0])
            else:
                idle_s += 1
                self.pass_time(1.0)
        raise AssertionError("events still pending after 100000 rounds")

    def pass_time(self, wait_s):
        """Advance the clock and tick the entry and the sidecars."""
        self.now_s += wait_s
        for request in self.cores:
            self.call_entry(request, entry.tick)
        for address, node in self.nodes.items():
            if not node.frozen:
                self.call_stage(address, self.sidecar.tick)

    def break_link(self, a, b, silently=False):
        """Break the link between two processes; frames in flight are lost."""
        self.links.pop((a, b), None)
        self.links.pop((b, a), None)
        for one, other in () if silently else ((a, b), (b, a)):
            if one in self.nodes:
                self.call_stage(one, self.sidecar.link_lost, other)
            elif one == ENTRY:
                for request in self.cores:
                    self.call_entry(request, entry.stage_lost, other)

    def kill(self, address, silently=False):
        """Kill a sidecar and its engine; the KV is lost."""
        del self.nodes[address]
        peers = {one for key in self.links for one in key if address in key}
        for peer in sorted(peers - {address}):
            self.break_link(peer, address, silently)

    def node_running(self, kind):
        """Return a node whose engine's next job is of a kind, or None."""
        busy = (node for node in self.nodes.values() if node.jobs)
        return next((node for node in busy if type(node.jobs[0]) is kind), None)

    def repeated_runs(self):
        """Return the layer runs that were repeated on the same KV."""
        ledgers = [node.engine.run_counts for node in self.nodes.values()]
        return [key for run_counts in ledgers for key, n in run_counts.items() if n > 1]

    def remaining(self):
        """Return the requests and bytes that sidecars and engines still hold."""
        found = []
        for node in self.nodes.values():
            found += [*node.core.requests, *node.engine.kv, *node.core.draining]
            found += [node.core.kept_bytes] if node.core.kept_bytes else []
        return found


def kv_of(inputs):
    """Return every layer's KV after a single process has run the inputs."""
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
    """A sidecar that ignores positions and generations of steps."""

    def __getattr__(self, name):
        return getattr(sidecar, name)

    def receive(self, core, message, now_s):
        state = core.requests.get(message.request) if type(message) is Step else None
        if state:
            generation, position = state.start.generation, state.expected
            message = message._replace(generation=generation, position=position)
        return sidecar.receive(core, message, now_s)
