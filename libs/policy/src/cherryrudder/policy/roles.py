"""Which engines are ordered to another model, version or role when demand moves.

Load pattern: a consultation opens and the demand moves from briefings to summaries
within minutes, with bursts and lulls of seconds on top.
Without it: engines of one model stand idle while requests for another are refused. With
orders that follow each burst, engines load weights all day and serve nothing while they
load, and the weight store, which is rate-limited, becomes the bottleneck.

An order needs a shortage that has lasted, an engine whose own job has room even without
it, and a turn at the weight store. The shortage at which engines come (high) and the
load up to which they are let go (low) lie far apart, so that no engine moves to and
fro.
"""

from typing import NamedTuple

from .limits import Bucket, bucket_wait_s, fill

# Past this part of its capacity a job's waits grow steeply: at 85% a queue with random
# arrivals is already some six requests long.
HIGH_LOAD = 0.85
# A job lets an engine go only if it stays below this without it.
LOW_LOAD = 0.6
# How long a shortage has to last: longer than a burst, shorter than a consultation.
MIN_SHORTAGE_S = 20.0
# An engine that has moved stays, so that loading costs it a small part of its time:
# weights of tens of gigabytes take about a minute.
MIN_STAY_S = 600.0


class Job(NamedTuple):
    """What an engine is ordered to do."""

    model: str
    version: str
    role: str
    first_layer: int
    end_layer: int


class Engine(NamedTuple):
    """An engine that can take orders; `jobs` are those that it is able to do."""

    endpoint: str
    job: Job
    jobs: frozenset[Job]
    tokens_per_s: float
    is_available: bool = True


class Order(NamedTuple):
    """An order to an engine to take up another job."""

    endpoint: str
    job: Job


class Planner:
    """What has been short for how long, and which engines have moved."""

    def __init__(self, loads_per_s, now_s):
        # One load at a time: the store's rate is shared by all that load at once.
        self.store = Bucket(loads_per_s, 1.0, now_s)
        self.short_since_s: dict[Job, float] = {}
        self.moved_s: dict[str, float] = {}


def plan(planner, demands: dict[Job, float], engines: list[Engine], now_s: float):
    """Return the order to give now, as an `Order`, or None.

    `demands` are tokens per second asked for, refused ones included.
    """
    capacity = dict.fromkeys(demands, 0.0)
    for engine in engines:
        if engine.is_available:
            known = capacity.get(engine.job, 0.0)
            capacity[engine.job] = known + engine.tokens_per_s
    _note_shortages(planner, demands, capacity, now_s)
    if bucket_wait_s(planner.store, 1.0, now_s) > 0:
        return None
    ready = [
        job
        for job, since_s in planner.short_since_s.items()
        if now_s - since_s >= MIN_SHORTAGE_S
    ]
    # The job that lacks most comes first.
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
    # The engine has to load before it shows in the capacity: wait for that.
    planner.short_since_s.pop(job, None)
    return Order(engine.endpoint, job)


def _note_shortages(planner, demands, capacity, now_s):
    for job, demand in demands.items():
        if demand > HIGH_LOAD * capacity[job]:
            planner.short_since_s.setdefault(job, now_s)
        else:
            planner.short_since_s.pop(job, None)
    for job in [job for job in planner.short_since_s if job not in demands]:
        del planner.short_since_s[job]


def _find_donor(planner, job, demands, capacity, engines, now_s):
    """Return the engine whose own job misses it least, or None."""
    best, best_load = None, LOW_LOAD
    for engine in engines:
        if not engine.is_available or engine.job == job or job not in engine.jobs:
            continue
        moved_s = planner.moved_s.get(engine.endpoint)
        if moved_s is not None and now_s - moved_s < MIN_STAY_S:
            continue
        left = capacity[engine.job] - engine.tokens_per_s
        demand = demands.get(engine.job, 0.0)
        # Never the last engine of a job: its next request would find none.
        if left <= 0:
            continue
        if demand / left < best_load:
            best, best_load = engine, demand / left
    return best
