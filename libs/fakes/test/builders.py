"""Builders of test data for the tests of the stand-ins."""

import json
import os
import random
import subprocess
import sys

import httpx

from cherryrudder.fakes import core, fold
from cherryrudder.fakes.batching import Job, Limits
from cherryrudder.fakes.core import Engine, Range
from cherryrudder.fakes.events import EventLog
from cherryrudder.fakes.orders import Loaded

MODEL = "briefing"
STOP_TIMEOUT_S = 20


def a_job(number, inputs=1, priority=0, request=None):
    """Return a job, by default of a request that has no other job."""
    name = request or f"r{number}"
    return Job(number, name, 0, ["a"] * inputs, priority)


def an_engine(first=0, end=4, total=4, kv_tokens=1000, max_batch=4, prefill_tokens=8):
    """Return an engine whose cache events have neither delay nor losses."""
    limits = Limits(100.0, max_batch, prefill_tokens)
    events = EventLog(0.0, 0.0, random.Random(1))
    layers = Range(first, end, total)
    return Engine(Loaded(MODEL, "1"), layers, limits, kv_tokens, events)


def a_step(request, position, inputs, priority=0):
    """Return a step for the model that the tests' engines have loaded."""
    return core.Step(
        request=request,
        model=MODEL,
        position=position,
        inputs=inputs,
        priority=priority,
    )


def run_to_end(engine, now_s=0.0):
    """Run batch steps until all jobs are complete."""
    while core.begin_batch(engine):
        core.finish_batch(engine, now_s)


def ask(engine, request, position, inputs):
    """Submit one step, run it to its end and return its outputs."""
    job = core.submit(engine, a_step(request, position, inputs), 0.0).ok
    run_to_end(engine)
    return job.outputs


class ReferenceEngine:
    """Reference engine: runs one position after the other, without batch or cache."""

    def __init__(self, layers):
        self.layers = layers
        self.kv = {}

    def run(self, request, inputs):
        kv = self.kv.setdefault(request, [fold.EMPTY_KV] * self.layers)
        outputs = []
        for value in inputs:
            for layer in range(self.layers):
                value, kv[layer] = fold.run_layer(MODEL, layer, kv[layer], value)
            outputs.append(fold.pick_token(value))
        return outputs


def start_process(module, *options):
    """Start a stand-in on a free port; return the process and its base address."""
    command = [sys.executable, "-m", f"cherryrudder.fakes.{module}"]
    command += ["--listen", "127.0.0.1:0", *options]
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, text=True, env=os.environ
    )
    address = process.stdout.readline().split()[-1]
    return process, f"http://{address}"


def stop_process(process):
    """End a process gracefully and return its exit code."""
    process.terminate()
    code = process.wait(STOP_TIMEOUT_S)
    process.stdout.close()
    return code


class FakeEntry:
    """An entry for tests of the load tool, with one behaviour for each API key."""

    def __init__(self, layers, behaviours):
        self.layers = layers
        self.behaviours = behaviours
        self.bodies = []
        self.keys = set()

    def answer(self, request):
        body = json.loads(request.content)
        self.bodies.append(body)
        self.keys.add(request.headers.get("idempotency-key"))
        key = request.headers["authorization"].removeprefix("Bearer ")
        return getattr(self, self.behaviours[key])(body)

    def refuse(self, body):
        headers = {"Cherryrudder-Outcome": "not-run", "Retry-After": "2"}
        return httpx.Response(429, headers=headers, json={})

    def whole(self, body, lost=0, end="data: [DONE]\n\n"):
        headers = {"Cherryrudder-Outcome": "done"}
        if "text" in body:
            return httpx.Response(200, headers=headers, json=body)
        texts = fold.generate(MODEL, self.layers, body["prompt"], body["max_tokens"])
        texts = texts[: len(texts) - lost]
        if not body["stream"]:
            answer = {"choices": [{"text": " ".join(texts)}]}
            return httpx.Response(200, headers=headers, json=answer)
        texts = [f" {text}" for text in texts] + [""]
        choices = [{"choices": [{"text": text, "index": 0}]} for text in texts]
        lines = [f"data: {json.dumps(choice)}\n\n" for choice in choices]
        return httpx.Response(200, headers=headers, text="".join(lines) + end)

    def garble(self, body):
        return self.whole(body, lost=1)

    def cut(self, body):
        return self.whole(body, lost=1, end="")

    def fail(self, body):
        error = 'event: error\ndata: {"error": {}, "outcome": "unknown"}\n\n'
        return self.whole(body, lost=1, end=error)
