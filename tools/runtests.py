"""Run each library's tests in its own process and print the totals."""

import os
import re
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
# Half the cores of the smallest known CI machine, so that tests which start processes
# of their own get enough processor time.
MAX_PARALLEL_FOLDERS = 5
LIBRARY_TIMEOUT_S = 1500
# Tests whose processes need the machine for themselves; they run after all others.
ALONE = ("crowds",)
SUMMARY_LINE = re.compile(r"^Ran (\d+) tests?", re.MULTILINE)
FAILURE_LINE = re.compile(r"^(?:FAIL|ERROR|UNEXPECTED SUCCESS): (.+)$", re.MULTILINE)


class FolderResult(NamedTuple):
    library: str
    passed: int
    failures: tuple[str, ...]
    output: str


def parse_known_red(text):
    """Return the lines of KNOWN-RED.txt by test id; comments are skipped."""
    lines = [line for line in text.splitlines() if line and not line.startswith("#")]
    return {line.split()[0]: line for line in lines}


def parse_test_id(name):
    """Return the dotted id of a test or class from unittest's name of a failure.

    unittest names a failed subtest `method (module.Class.method) (part=1)`.
    """
    named = re.match(r"\S+ \(([^()\s]+)\)", name)
    return named.group(1) if named else name


def find_test_folders():
    """Return the folders that contain test modules."""
    found = sorted(ROOT.glob("libs/*/test"))
    found += [ROOT / "platform" / "test", ROOT / "test"]
    found += [ROOT / "platform" / name / "test" for name in ALONE]
    return [folder for folder in found if any(folder.glob("test_*.py"))]


def make_environment():
    """Return the tests' environment, with this checkout's libraries first."""
    folders = [*sorted(ROOT.glob("libs/*/src")), ROOT / "platform" / "src"]
    # The tests that run alone share the builders of the platform's tests.
    folders.append(ROOT / "platform" / "test")
    sources = ":".join(str(path) for path in folders)
    extra = {"PYTHONPATH": sources, "PYTHONWARNINGS": "ignore::ResourceWarning"}
    return os.environ | extra


def run_folder(folder):
    """Run one folder's tests and return the result."""
    library = folder.parent.name
    command = [sys.executable, "-m", "unittest", "discover", "-s", str(folder)]
    with tempfile.TemporaryFile("w+") as output:
        process = subprocess.Popen(
            command,
            stdout=output,
            stderr=subprocess.STDOUT,
            cwd=folder,
            env=make_environment(),
        )
        try:
            code = process.wait(LIBRARY_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            code = process.wait()
        output.seek(0)
        text = output.read()
    summary_line = SUMMARY_LINE.search(text)
    failures = tuple(FAILURE_LINE.findall(text))
    # A run without a summary line (crash or timeout) counts as one failure;
    # otherwise its tests would be missing from the total unnoticed.
    if summary_line is None or (code != 0 and not failures):
        failures += (f"{library}: the test process ended with code {code}",)
    count = int(summary_line.group(1)) if summary_line else 0
    return FolderResult(library, max(0, count - len(failures)), failures, text)


def main(names):
    folders = [f for f in find_test_folders() if not names or f.parent.name in names]
    beside = [folder for folder in folders if folder.parent.name not in ALONE]
    with ThreadPoolExecutor(MAX_PARALLEL_FOLDERS) as pool:
        results = list(pool.map(run_folder, beside))
    results += [run_folder(folder) for folder in folders if folder not in beside]
    allowed = parse_known_red((ROOT / "KNOWN-RED.txt").read_text())
    failed = 0
    for result in results:
        print(f"{result.library}: {result.passed} ok, {len(result.failures)} not")
        if result.failures:
            print(result.output)
        for name in result.failures:
            is_known = parse_test_id(name) in allowed
            print(f"{'known red' if is_known else 'failed'}: {name}")
            failed += not is_known
    for entry in allowed.values():
        print(f"listed in KNOWN-RED.txt: {entry}")
    passed = sum(result.passed for result in results)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
