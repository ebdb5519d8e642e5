"""Command line of the stand-in engine: `python -m cherryrudder.fakes.engine`."""

import functools
import random
from typing import Literal

import anyio
import defopt

from .asgi import serve_until_signal
from .batching import Limits
from .core import Engine, Range
from .engine_http import engine_app
from .engine_loop import EngineProcess, run_batches
from .events import EventLog
from .load_report import LoadReport
from .orders import FenceCheck, Loaded


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
    kv_tokens: int = 100_000,
    version: str = "1",
    accelerator: str = "",
    checks_fence: Literal["yes", "no"] = "no",
    role: str = "both",
    load_lag_s: float = 2.0,
    event_lag_s: float = 1.0,
    lost_events: float = 0.05,
    load_s: float = 0.0,
    seed: int = 1,
):
    """Run a stand-in engine until SIGTERM.

    :param listen: IP:PORT to listen on
    :param end_layer: first layer that the engine does not hold
    :param tokens_per_s: decoding speed of a single request
    :param prefill_tokens: maximum of prompt tokens in one batch step
    :param kv_tokens: positions that requests and cached prefixes may hold together
    :param checks_fence: whether an order with an old fencing number is refused
    :param load_lag_s: how old a reported load is
    :param event_lag_s: mean delay of a cache event
    :param lost_events: share of cache events that are lost
    :param load_s: how long loading a model, version or adapter takes
    :param seed: seed of the delays and losses of cache events
    """
    events = EventLog(event_lag_s, lost_events, random.Random(seed))
    engine = Engine(
        Loaded(model, version, role=role),
        Range(first_layer, end_layer, model_layers),
        Limits(tokens_per_s, max_batch, prefill_tokens),
        kv_tokens,
        events,
    )
    fence_check = FenceCheck(checks_fence == "yes")
    process = EngineProcess(
        engine, fence_check, LoadReport(load_lag_s), accelerator, load_s
    )
    background = functools.partial(run_batches, process)
    anyio.run(serve_until_signal, engine_app(process), listen, background)


if __name__ == "__main__":
    defopt.run(main)
