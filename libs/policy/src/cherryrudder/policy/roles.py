"""Assignment of engines to another model, version or role when the demand shifts.

When a consultation opens, the demand shifts from briefings to summaries within minutes,
with bursts and lulls of seconds on top. Without reassignment engines of one model are
idle while requests for another are refused. If engines followed each burst, they would
load weights all day and serve nothing meanwhile, and the rate-limited weight store
would become the bottleneck.

An order requires a shortage that has lasted, an engine whose own job has enough
capacity without it, and a free load at the weight store. The load that counts as a
shortage (high) is far above the load up to which a job gives up engines (low), so that
no engine moves back and forth.
"""

from typing import NamedTuple

from .limits import Bucket, bucket_wait_s, fill

# Above this fraction of its capacity a job's waits grow steeply: at 85% a queue with
# random arrivals is already some six requests long.
HIGH_LOAD = 0.85
# A job gives up an engine only if its load stays below this without it.
LOW_LOAD = 0.6
# How long a shortage has to last: longer than a burst, shorter than a consultation.
MIN_SHORTAGE_S = 20.0
# The least time between two moves of an engine, so that loading takes a small part of
# its time: weights of tens of gigabytes take about a minute to load.
MIN_STAY_S = 600.0


class Job(NamedTuple):
    """What an engine serves: a model version, a role and a layer range."""

    model: str
    version: str
    role: str
    first_layer: int
    end_layer: int


class Engine(NamedTuple):
    """An engine that accepts orders; `jobs` are those that it can do."""

    endpoint: str
    job: Job
    jobs: frozenset[Job]
    tokens_per_s: float
    is_available: bool = True


class Order(NamedTuple):
    """An order to an engine to change its job."""

    endpoint: str
    job: Job


class Planner:
    """The shortages and how long they have lasted, and the engines that were moved."""

    def __init__(self, loads_per_s, now_s):
        # One load at a time: concurrent loads share the store's rate.
        self.store = Bucket(loads_per_s, 1.0, now_s)
        self.short_since_s: dict[Job, float] = {}
        self.moved_s: dict[str, float] = {}


def plan(planner, demands: dict[Job, float], engines: list[Engine], now_s: float):
    """Return the `Order` to send now, or None.

    `demands` are the requested tokens per second of each job, including refused
    requests.
    """
    capacity = dict.fromkeys(demands, 0.0)
    for engine in engines:
        if engine.is_available:
            known = capacity.get(engine.job, 0.0)
            capacity[engine.job] = known + engine.tokens_per_s
    _update_shortages(planner, demands, capacity, now_s)
    if bucket_wait_s(planner.store, 1.0, now_s) > 0:
        return None
    ready = [
        job
        for job, since_s in planner.short_since_s.items()
        if now_s - since_s >= MIN_SHORTAGE_S
    ]
    # The job with the largest shortage comes first.
    ready.sort(key=lambda job: capacity[job] - demands[job])
    for job in ready:
        engine = _find_donor(planner, job, demands, capacity, engines, now_s)
        if engine is not None:
            return _order(planner, engine, job, now_s)
    return None


def _order(planner, engine, job, now_s):
    fill(planner.store, now_s)
    planner.store.level -= 1.0
    planner.moved_s[engine.endpoint] = now_s
    # The engine adds to the capacity only after loading, so the shortage is timed anew.
    planner.short_since_s.pop(job, None)
    return Order(engine.endpoint, job)


def _update_shortages(planner, demands, capacity, now_s):
    for job, demand in demands.items():
        if demand > HIGH_LOAD * capacity[job]:
            planner.short_since_s.setdefault(job, now_s)
        else:
            planner.short_since_s.pop(job, None)
    for job in [job for job in planner.short_since_s if job not in demands]:
        del planner.short_since_s[job]


def _find_donor(planner, job, demands, capacity, engines, now_s):
    """Return the engine whose job has the lowest load without it, or None."""
    best, best_load = None, LOW_LOAD
    for engine in engines:
        if not engine.is_available or engine.job == job or job not in engine.jobs:
            continue
        moved_s = planner.moved_s.get(engine.endpoint)
        if moved_s is not None and now_s - moved_s < MIN_STAY_S:
            continue
        left = capacity[engine.job] - engine.tokens_per_s
        demand = demands.get(engine.job, 0.0)
        # Never move the last engine of a job: its next request would find none.
        if left <= 0:
            continue
        if demand / left < best_load:
            best, best_load = engine, demand / left
    return best
