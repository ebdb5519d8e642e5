"""The stand-in engine as a process: `python -m cherryrudder.fakes.engine`."""

import functools
import os
import time
from typing import Literal

import anyio
import defopt

from . import core, ledger as book
from .asgi import Reply, make_app, route, serve_until_signal
from .batching import Limits, batch_s
from .core import Engine, Range
from .faults import EngineFaults, merge
from .freeze import Freeze, set_freeze, thaw

DIED = 70


class Shell:
    """The engine, its faults and the calls that wait for it."""

    def __init__(self, engine: Engine, info: dict):
        self.engine = engine
        self.info = info
        self.faults = EngineFaults()
        self.freeze = Freeze()
        self.waiting = {}
        self.work_came = anyio.Event()


async def run_batches(shell: Shell):
    """Run batch step after batch step for as long as there is work."""
    while True:
        await thaw(shell.freeze)
        batch = core.begin_batch(shell.engine)
        if not batch:
            shell.work_came = anyio.Event()
            await shell.work_came.wait()
            continue
        await anyio.sleep(slowed_s(shell, batch))
        await thaw(shell.freeze)
        for job in core.finish_batch(shell.engine, batch):
            tell(shell, job)
        count_down_to_death(shell)


def slowed_s(shell: Shell, batch) -> float:
    """Return how long a batch step lasts under the present faults."""
    faults = shell.faults
    longest = max(job.position for job, _ in batch)
    long = longest >= faults.long_tokens
    factor = faults.slow_factor * (faults.slow_long_factor if long else 1)
    return batch_s(batch, shell.engine.limits) * factor


def tell(shell: Shell, job):
    """Wake the call that waits for a job."""
    event = shell.waiting.pop(job.number, None)
    if event is not None:
        event.set()


def count_down_to_death(shell: Shell):
    """End the process at the batch step that a fault names."""
    left = shell.faults.die_after_steps
    if left > 0:
        shell.faults = shell.faults._replace(die_after_steps=left - 1)
    if left == 1:
        os._exit(DIED)


async def run_steps(shell: Shell, call) -> Reply:
    """Answer a call of steps once each of them is computed or refused."""
    steps = call.value["steps"]
    names = [step["request"] for step in steps]
    book.called(shell.engine.ledger, "steps", names, time.monotonic())
    queued = [queue_step(shell, step) for step in steps]
    shell.work_came.set()
    for _, _, _, event in queued:
        if event is not None:
            await event.wait()
    outputs = [
        {
            "request": step["request"],
            "position": step["position"],
            "outputs": job.outputs if job and not job.error else [],
            "error": job.error if job else error,
        }
        for step, job, error, event in queued
    ]
    return Reply(200, {"outputs": outputs})


def queue_step(shell: Shell, step):
    """Return the step with its job and event, or with the error that refused it."""
    if shell.faults.fail_steps > 0:
        left = shell.faults.fail_steps - 1
        shell.faults = shell.faults._replace(fail_steps=left)
        return step, None, "failed", None
    result = core.submit(shell.engine, step)
    if result.is_error():
        return step, None, result.error, None
    event = shell.waiting[result.ok.number] = anyio.Event()
    return step, result.ok, "", event


async def free_requests(shell: Shell, call) -> Reply:
    """Drop requests and cancel their jobs."""
    names = call.value["requests"]
    book.called(shell.engine.ledger, "free", names, time.monotonic())
    for name in names:
        for job in core.free(shell.engine, name):
            tell(shell, job)
    return Reply(200, {})


async def give_info(shell: Shell, call) -> Reply:
    """Answer what the engine holds."""
    return Reply(200, shell.info)


async def give_ledger(shell: Shell, call) -> Reply:
    """Answer the ledger, or one request's part with `?request=`."""
    request = call.query.get("request", [None])[0]
    return Reply(200, book.report(shell.engine.ledger, request))


async def set_faults(shell: Shell, call) -> Reply:
    """Change the faults named in the body; `freeze_s` counts from now."""
    shell.faults = merge(shell.faults, call.value)
    if "freeze_s" in call.value:
        set_freeze(shell.freeze, shell.faults.freeze_s)
    return Reply(200, shell.faults._asdict())


def held_by_faults(shell: Shell, handler):
    """Return the handler held back while the process is frozen or mute."""

    async def held(call):
        await thaw(shell.freeze)
        if shell.faults.mute:
            await anyio.sleep_forever()
        reply = await handler(shell, call)
        await thaw(shell.freeze)
        return reply

    return held


def engine_app(shell: Shell):
    """Return the engine's ASGI app."""
    # Tests read the ledger and lift faults while the engine is frozen, so these two
    # are not held back.
    routes = {
        ("GET", "/v1/ledger"): functools.partial(give_ledger, shell),
        ("POST", "/v1/faults"): functools.partial(set_faults, shell),
    }
    held = {
        ("POST", "/v1/steps"): run_steps,
        ("POST", "/v1/free"): free_requests,
        ("GET", "/v1/info"): give_info,
    }
    for key, handler in held.items():
        routes[key] = held_by_faults(shell, handler)
    return make_app(route(routes), lambda: shell.faults.die and os._exit(DIED))


def main(
    *,
    listen: str,
    model: str = "briefing",
    first_layer: int = 0,
    end_layer: int = 12,
    model_layers: int = 12,
    tokens_per_s: float = 200.0,
    max_batch: int = 32,
    prefill_tokens: int = 512,
    version: str = "1",
    accelerator: str = "",
    checks_fence: Literal["yes", "no"] = "no",
    role: str = "both",
):
    """Run a stand-in engine until SIGTERM.

    :param listen: IP:PORT to listen on
    :param end_layer: first layer that the engine does not hold
    :param tokens_per_s: decoding speed of a lone request
    :param checks_fence: whether an order with an old fencing number is refused
    :param prefill_tokens: prompt tokens that one batch step takes at most
    """
    limits = Limits(tokens_per_s, max_batch, prefill_tokens)
    layers = Range(first_layer, end_layer, model_layers)
    info = {
        "first_layer": first_layer,
        "end_layer": end_layer,
        "model_layers": model_layers,
        "model": model,
        "version": version,
        "accelerator": accelerator,
        "checks_fence": checks_fence == "yes",
        "role": role,
    }
    shell = Shell(Engine(model, layers, limits), info)
    background = functools.partial(run_batches, shell)
    anyio.run(serve_until_signal, engine_app(shell), listen, background)


if __name__ == "__main__":
    defopt.run(main)
