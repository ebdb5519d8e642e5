"""Run seeds of the soak in parallel and print the violations."""

import json
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import defopt

from . import plot, report
from .run import Outcome, run

# A run starts six processes and takes about half a core.
MAX_AT_ONCE = 8


def soak(
    *,
    first_seed: int = 0,
    seeds: int = 1,
    length_s: float = 12.0,
    at_once: int = 2,
    keep_in: str = "",
    report_in: str = "",
) -> int:
    """Play seeds one after the other, or several in parallel.

    :param first_seed: the first seed; 0 takes fresh ones from the clock
    :param seeds: number of seeds
    :param length_s: how long faults are injected in each run
    :param at_once: number of runs in parallel
    :param keep_in: folder that keeps the logs of broken runs
    :param report_in: folder for each run's report, as JSON and as HTML
    """
    first = first_seed or int(time.time())
    if keep_in:
        Path(keep_in).mkdir(parents=True, exist_ok=True)
    chosen = range(first, first + seeds)
    failed = []
    with ProcessPoolExecutor(min(at_once, MAX_AT_ONCE)) as workers:
        lengths, folders = [length_s] * seeds, [keep_in] * seeds
        for outcome in workers.map(run, chosen, lengths, folders):
            state = "broken" if outcome.broken else "kept"
            counts = f"{outcome.answered} of {outcome.asked} answered"
            print(f"seed {outcome.seed}: {state}, {counts}", flush=True)
            for line in outcome.broken:
                print(f"  {line}")
            _write_report(outcome, report_in)
            if outcome.broken:
                failed.append(outcome.seed)
                print(f"  logs: {outcome.folder}")
    print(f"{seeds} seeds, {len(failed)} broken: {failed}")
    return 1 if failed else 0


def _write_report(outcome: Outcome, folder: str) -> None:
    if not folder:
        return
    path = Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    name = f"seed-{outcome.seed}"
    (path / f"{name}.json").write_text(json.dumps(outcome.report, indent=1))
    (path / f"{name}.html").write_text(plot.page(outcome.report))


def show(file: Path) -> int:
    """Print a report as a table.

    :param file: a report as JSON
    """
    print(report.table(json.loads(file.read_text())))
    return 0


def compare(one: Path, other: Path) -> int:
    """Print two runs side by side.

    :param one: a report as JSON
    :param other: another report as JSON
    """
    reports = (json.loads(file.read_text()) for file in (one, other))
    print(report.compare(*reports))
    return 0


def main() -> int:
    """Run the command line and return the exit code."""
    return defopt.run({"play": soak, "show": show, "compare": compare})


if __name__ == "__main__":
    sys.exit(main())
