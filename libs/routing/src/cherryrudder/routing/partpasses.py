"""Evidence against requests and parts of prompts, and for them, from one entry's runs.

Harmless requests, and those with a harmless part, also run on the engines that others
crash. Each entry therefore remembers which of them its runs have got through, also
while no engine crashes, and adds that to its records of a crash.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from .crashbook import (
    FINISHED,
    MIN_PASSED_EVENTS,
    Crash,
    RequestRecord,
    merge_records,
)
from .fingerprint import Part

# Parts that are still in use are the last to be dropped.
MAX_PASSES = 8192
# Bounds the size of a record.
MAX_COMPANIONS = 12


class CutRun(NamedTuple):
    """A run that a crash cut off."""

    fingerprint: str
    request_id: str
    account: str
    service: str
    parts: tuple[Part, ...]
    # Number of the last event received, and how many events this run had sent.
    last_event: int
    run_events: int
    begun_s: float
    broke_s: float
    # The request or parts for which it was on trial, as fingerprints.
    on_trial: frozenset[str] = frozenset()


class Pass(NamedTuple):
    """A run that got past the start of its answer on an engine that survived."""

    # Version of the engine's software.
    version: str
    at_s: float
    # How many it sent; FINISHED if from the start of the answer to its end.
    events: int = FINISHED


class PartPasses:
    """The best such run by a part's fingerprint, those in use last."""

    def __init__(self):
        self.best: OrderedDict[str, Pass] = OrderedDict()
        # The newest whole run by a request's fingerprint. Apart, as most requests come
        # once and would push the parts out.
        self.requests: OrderedDict[str, Pass] = OrderedDict()


def fingerprints(parts: Iterable[Part]) -> list[str]:
    """Return the fingerprints of parts, by themselves and with their account."""
    return [
        one for part in parts for one in (part.fingerprint, part.account_fingerprint)
    ]


def record_pass(passes: PartPasses, parts: Iterable[Part], passed: Pass) -> None:
    """Record that a run with these parts got past the start of its answer."""
    for fingerprint in fingerprints(parts):
        known = passes.best.get(fingerprint)
        is_better = known is None or known.version != passed.version
        if is_better or passed.events >= known.events:
            passes.best[fingerprint] = passed
        passes.best.move_to_end(fingerprint)
    while len(passes.best) > MAX_PASSES:
        passes.best.popitem(last=False)


def record_whole_run(passes: PartPasses, fingerprint: str, passed: Pass) -> None:
    """Record that a run of a request went from the start of its answer to the end."""
    passes.requests[fingerprint] = passed
    passes.requests.move_to_end(fingerprint)
    while len(passes.requests) > MAX_PASSES:
        passes.requests.popitem(last=False)


def record_crash(
    passes: PartPasses,
    engine_id: str,
    vm_zone: str,
    version: str,
    runs: Iterable[CutRun],
) -> dict[str, RequestRecord]:
    """Return the records of the requests and parts that ran as an engine crashed."""
    records: dict[str, RequestRecord] = {}
    for run in runs:
        crash = Crash(engine_id, vm_zone, version, run.last_event, run.broke_s)
        parts = frozenset(fingerprints(run.parts)[:MAX_COMPANIONS])
        whole = RequestRecord(run.account, run.service, (crash,), companions=parts)
        found = {run.fingerprint: whole}
        crash = crash._replace(last_event=run.run_events)
        for part in run.parts:
            found[part.fingerprint] = _shared_record(part, run, crash)
            found[part.account_fingerprint] = _account_record(part, run, crash)
        for fingerprint, record in found.items():
            own = record.crashes[0]._replace(is_trial=fingerprint in run.on_trial)
            _add(records, fingerprint, record._replace(crashes=(own,)))
    for fingerprint, record in records.items():
        known = passes.best.get(fingerprint) or passes.requests.get(fingerprint)
        if known is not None and known.version == version:
            records[fingerprint] = with_pass(record, known)
    return records


def with_pass(record: RequestRecord, passed: Pass) -> RequestRecord:
    """Return a record with one more run that got past the start."""
    seen = record._replace(crashes=(), passed=passed.events, passed_s=passed.at_s)
    return merge_records(record, seen)


def _shared_record(part, run, crash):
    others = (one.fingerprint for one in run.parts if one != part)
    companions = (run.fingerprint, part.account_fingerprint, *others)
    record = RequestRecord("", run.service, (crash,), part=part.label)
    return _with_evidence(record, run, companions)


def _account_record(part, run, crash):
    others = (one.account_fingerprint for one in run.parts if one != part)
    companions = (run.fingerprint, *others)
    record = RequestRecord(run.account, run.service, (crash,), part=part.label)
    return _with_evidence(record, run, companions)


def _with_evidence(record, run, companions):
    record = record._replace(companions=frozenset(companions[:MAX_COMPANIONS]))
    if run.run_events < MIN_PASSED_EVENTS:
        return record
    passed = Pass(record.crashes[0].version, run.broke_s, run.run_events)
    return with_pass(record, passed)


def _add(records, fingerprint, record):
    known = records.get(fingerprint)
    records[fingerprint] = merge_records(known, record) if known else record
