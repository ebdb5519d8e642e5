"""The stand-in engine's HTTP handlers."""

import functools
import os

import anyio
import msgspec
from expression import Error

from . import core, kv, ledger as book, load_report
from .asgi import Call, Reply, json_object, make_app, route
from .core import Step
from .engine_loop import DIED, Shell, note_load, tell
from .errors import StepRefused
from .events import read_since
from .fields import merge
from .freeze import set_freeze, thaw
from .orders import Order, follow


async def run_steps(shell: Shell, call: Call) -> Reply:
    """Answer a call of steps once each of them is computed or refused."""
    steps = msgspec.convert(json_object(call)["steps"], list[Step])
    now_s = anyio.current_time()
    book.called(shell.engine.ledger, "steps", [s["request"] for s in steps], now_s)
    results = [queue_step(shell, step, now_s) for step in steps]
    shell.work_came.set()
    for result in results:
        if result.is_ok() and (event := shell.waiting.get(result.ok.number)):
            await event.wait()
    pairs = zip(steps, results, strict=True)
    return Reply(200, {"outputs": [step_answer(*pair) for pair in pairs]})


def queue_step(shell: Shell, step: Step, now_s: float):
    """Return the job of a step, or the error that refused it."""
    if shell.faults.fail_steps > 0:
        left = shell.faults.fail_steps - 1
        shell.faults = shell.faults._replace(fail_steps=left)
        return Error(StepRefused("failed"))
    result = core.submit(shell.engine, step, now_s)
    if result.is_ok():
        shell.waiting[result.ok.number] = anyio.Event()
    return result


def step_answer(step: Step, result) -> dict:
    """Return the answer to one step of a call."""
    job = result.ok if result.is_ok() else None
    error = job.error if job else str(result.error)
    return {
        "request": step["request"],
        "position": step["position"],
        "outputs": [] if error else job.outputs,
        "error": error,
    }


async def free_requests(shell: Shell, call: Call) -> Reply:
    """Drop requests and cancel their jobs."""
    names = msgspec.convert(json_object(call)["requests"], list[str])
    book.called(shell.engine.ledger, "free", names, anyio.current_time())
    for name in names:
        tell(shell, core.free(shell.engine, name))
    note_load(shell)
    return Reply(200, {})


async def export_kv(shell: Shell, call: Call) -> Reply:
    """Answer one request's KV."""
    name = msgspec.convert(json_object(call)["request"], str)
    book.called(shell.engine.ledger, "kv/export", [name], anyio.current_time())
    result = kv.export_kv(shell.engine, name)
    if result.is_error():
        return Reply(404, {"error": str(result.error)})
    return Reply(200, result.ok)


async def import_kv(shell: Shell, call: Call) -> Reply:
    """Take one request's KV."""
    export = msgspec.convert(json_object(call), kv.Export)
    names = [export["request"]]
    book.called(shell.engine.ledger, "kv/import", names, anyio.current_time())
    result = kv.import_kv(shell.engine, export)
    if result.is_error():
        return Reply(409, {"error": str(result.error)})
    return Reply(200, {"next_position": result.ok})


async def take_order(shell: Shell, call: Call) -> Reply:
    """Follow or refuse an order; what it loads is there after `load_s`."""
    value = json_object(call)
    order = merge(Order(), value)
    result = follow(shell.gate, shell.engine.loaded, order)
    book.ordered(shell.engine.ledger, value, result.is_ok())
    if result.is_error():
        return Reply(409, {"error": str(result.error)})
    if order.order != "role":
        await anyio.sleep(shell.load_s)
    tell(shell, core.load(shell.engine, result.ok, anyio.current_time()))
    return Reply(200, result.ok._asdict())


async def give_info(shell: Shell, call: Call) -> Reply:
    """Answer what the engine holds."""
    layers = shell.engine.layers
    info = {
        "first_layer": layers.first,
        "end_layer": layers.end,
        "model_layers": layers.total,
        "accelerator": shell.accelerator,
        "checks_fence": shell.gate.checks_fence,
    }
    return Reply(200, info | shell.engine.loaded._asdict())


async def give_events(shell: Shell, call: Call) -> Reply:
    """Answer the cache events after `?since=`."""
    since = int(call.query.get("since", ["0"])[0])
    events = read_since(shell.engine.events, since, anyio.current_time())
    return Reply(200, {"events": [event._asdict() for event in events]})


async def give_load(shell: Shell, call: Call) -> Reply:
    """Answer the load as it was some time ago."""
    load = load_report.read(shell.loads, anyio.current_time())
    return Reply(200, load._asdict())


async def give_ledger(shell: Shell, call: Call) -> Reply:
    """Answer the ledger, or one request's part with `?request=`."""
    request = call.query.get("request", [None])[0]
    return Reply(200, book.report(shell.engine.ledger, request))


async def set_faults(shell: Shell, call: Call) -> Reply:
    """Change the faults named in the body; `freeze_s` counts from now."""
    changes = json_object(call)
    shell.faults = merge(shell.faults, changes)
    if "freeze_s" in changes:
        set_freeze(shell.freeze, shell.faults.freeze_s)
    return Reply(200, shell.faults._asdict())


def held_by_faults(shell: Shell, handler):
    """Return the handler held back while the process is frozen or mute."""

    async def held(call):
        await thaw(shell.freeze)
        if shell.faults.mute:
            return None
        reply = await handler(shell, call)
        await thaw(shell.freeze)
        return reply

    return held


HELD = {
    ("POST", "/v1/steps"): run_steps,
    ("POST", "/v1/free"): free_requests,
    ("POST", "/v1/kv/export"): export_kv,
    ("POST", "/v1/kv/import"): import_kv,
    ("POST", "/v1/orders"): take_order,
    ("GET", "/v1/info"): give_info,
    ("GET", "/v1/events"): give_events,
    ("GET", "/v1/load"): give_load,
}


def engine_app(shell: Shell):
    """Return the engine's ASGI app."""
    # Tests read the ledger and lift faults while the engine is frozen, so these two
    # are not held back.
    routes = {
        ("GET", "/v1/ledger"): functools.partial(give_ledger, shell),
        ("POST", "/v1/faults"): functools.partial(set_faults, shell),
    }
    for key, handler in HELD.items():
        routes[key] = held_by_faults(shell, handler)
    return make_app(route(routes), lambda: shell.faults.die and os._exit(DIED))
