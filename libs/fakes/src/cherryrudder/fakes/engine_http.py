"""HTTP handlers of the stand-in engine."""

import functools
import os

import anyio
import msgspec
from expression import Error

from . import core, kv, ledger as ledgers, load_report
from .asgi import Call, Reply, json_object, make_app, route
from .core import Step
from .engine_loop import DIED, EngineProcess, record_load, wake_callers
from .errors import StepRefused
from .events import read_since
from .fields import merge
from .freeze import set_freeze, wait_until_thawed
from .orders import Order, apply_order


async def run_steps(process: EngineProcess, call: Call) -> Reply:
    """Queue the steps of a call and answer when each is computed or refused."""
    steps = msgspec.convert(json_object(call)["steps"], list[Step])
    now_s = anyio.current_time()
    ledgers.record_call(
        process.engine.ledger, "steps", [s["request"] for s in steps], now_s
    )
    results = [queue_step(process, step, now_s) for step in steps]
    process.work_arrived.set()
    for result in results:
        if result.is_ok() and (event := process.waiting.get(result.ok.number)):
            await event.wait()
    pairs = zip(steps, results, strict=True)
    return Reply(200, {"outputs": [step_answer(*pair) for pair in pairs]})


def queue_step(process: EngineProcess, step: Step, now_s: float):
    """Queue a step; return its job, or the error why it is refused."""
    if process.faults.fail_steps > 0:
        left = process.faults.fail_steps - 1
        process.faults = process.faults._replace(fail_steps=left)
        return Error(StepRefused("failed"))
    result = core.submit(process.engine, step, now_s)
    if result.is_ok():
        process.waiting[result.ok.number] = anyio.Event()
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


async def free_requests(process: EngineProcess, call: Call) -> Reply:
    """Drop requests and cancel their jobs."""
    names = msgspec.convert(json_object(call)["requests"], list[str])
    ledgers.record_call(process.engine.ledger, "free", names, anyio.current_time())
    for name in names:
        wake_callers(process, core.free(process.engine, name))
    record_load(process)
    return Reply(200, {})


async def export_kv(process: EngineProcess, call: Call) -> Reply:
    """Answer with the KV of one request."""
    name = msgspec.convert(json_object(call)["request"], str)
    ledgers.record_call(
        process.engine.ledger, "kv/export", [name], anyio.current_time()
    )
    result = kv.export_kv(process.engine, name)
    if result.is_error():
        return Reply(404, {"error": str(result.error)})
    return Reply(200, result.ok)


async def import_kv(process: EngineProcess, call: Call) -> Reply:
    """Import the KV of one request."""
    export = msgspec.convert(json_object(call), kv.Export)
    names = [export["request"]]
    ledgers.record_call(process.engine.ledger, "kv/import", names, anyio.current_time())
    result = kv.import_kv(process.engine, export)
    if result.is_error():
        return Reply(409, {"error": str(result.error)})
    return Reply(200, {"next_position": result.ok})


async def handle_order(process: EngineProcess, call: Call) -> Reply:
    """Apply or refuse an order; loading takes `load_s`."""
    value = json_object(call)
    order = merge(Order(), value)
    result = apply_order(process.fence_check, process.engine.loaded, order)
    ledgers.record_order(process.engine.ledger, value, result.is_ok())
    if result.is_error():
        return Reply(409, {"error": str(result.error)})
    if order.order != "role":
        await anyio.sleep(process.load_s)
    wake_callers(process, core.load(process.engine, result.ok, anyio.current_time()))
    return Reply(200, result.ok._asdict())


async def get_info(process: EngineProcess, call: Call) -> Reply:
    """Answer with the layers, accelerator, model and role of the engine."""
    layers = process.engine.layers
    info = {
        "first_layer": layers.first,
        "end_layer": layers.end,
        "model_layers": layers.total,
        "accelerator": process.accelerator,
        "checks_fence": process.fence_check.checks_fence,
    }
    return Reply(200, info | process.engine.loaded._asdict())


async def get_events(process: EngineProcess, call: Call) -> Reply:
    """Answer with the cache events after `?since=`."""
    since = int(call.query.get("since", ["0"])[0])
    events = read_since(process.engine.events, since, anyio.current_time())
    return Reply(200, {"events": [event._asdict() for event in events]})


async def get_load(process: EngineProcess, call: Call) -> Reply:
    """Answer with the load, delayed by the lag of the load report."""
    load = load_report.read(process.loads, anyio.current_time())
    return Reply(200, load._asdict())


async def get_ledger(process: EngineProcess, call: Call) -> Reply:
    """Answer with the ledger, or with one request's part for `?request=`."""
    request = call.query.get("request", [None])[0]
    return Reply(200, ledgers.report(process.engine.ledger, request))


async def set_faults(process: EngineProcess, call: Call) -> Reply:
    """Set the faults named in the body; `freeze_s` counts from now."""
    changes = json_object(call)
    process.faults = merge(process.faults, changes)
    if "freeze_s" in changes:
        set_freeze(process.freeze, process.faults.freeze_s)
    return Reply(200, process.faults._asdict())


def held_by_faults(process: EngineProcess, handler):
    """Return the handler with the faults `freeze_s` and `mute` applied."""

    async def held(call):
        await wait_until_thawed(process.freeze)
        if process.faults.mute:
            return None
        reply = await handler(process, call)
        await wait_until_thawed(process.freeze)
        return reply

    return held


ROUTES_UNDER_FAULTS = {
    ("POST", "/v1/steps"): run_steps,
    ("POST", "/v1/free"): free_requests,
    ("POST", "/v1/kv/export"): export_kv,
    ("POST", "/v1/kv/import"): import_kv,
    ("POST", "/v1/orders"): handle_order,
    ("GET", "/v1/info"): get_info,
    ("GET", "/v1/events"): get_events,
    ("GET", "/v1/load"): get_load,
}


def engine_app(process: EngineProcess):
    """Return the engine's ASGI app."""
    # Tests read the ledger and end faults while the engine is frozen, so faults do not
    # apply to these two routes.
    routes = {
        ("GET", "/v1/ledger"): functools.partial(get_ledger, process),
        ("POST", "/v1/faults"): functools.partial(set_faults, process),
    }
    for key, handler in ROUTES_UNDER_FAULTS.items():
        routes[key] = held_by_faults(process, handler)
    return make_app(route(routes), lambda: process.faults.die and os._exit(DIED))
