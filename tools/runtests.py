"""Run every library's tests, each library in a process of its own, and sum them up."""

import os
import re
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
# Half the smallest machine that CI is known to have, so that the tests that start
# processes of their own are not starved.
WORKERS = 5
LIBRARY_TIMEOUT_S = 1500
RAN = re.compile(r"^Ran (\d+) tests?", re.MULTILINE)
BAD = re.compile(r"^(?:FAIL|ERROR|UNEXPECTED SUCCESS): (.+)$", re.MULTILINE)


class Verdict(NamedTuple):
    library: str
    passed: int
    bad: tuple[str, ...]
    output: str


def known_red(text):
    """Return the entries of the list of known failures, by their tests' ids."""
    lines = [line for line in text.splitlines() if line and not line.startswith("#")]
    return {line.split()[0]: line for line in lines}


def test_id(name):
    """Return the dotted id of a test, or of its class, as unittest names a failure.

    A failure of a part of a test comes as `method (module.Class.method) (part=1)`.
    """
    named = re.match(r"\S+ \(([^()\s]+)\)", name)
    return named.group(1) if named else name


def test_folders():
    """Return the folders that hold tests."""
    found = sorted(ROOT.glob("libs/*/test"))
    found += [ROOT / "platform" / "test", ROOT / "test"]
    return [folder for folder in found if any(folder.glob("test_*.py"))]


def environment():
    """Return the tests' environment, with this tree's libraries before others."""
    folders = [*sorted(ROOT.glob("libs/*/src")), ROOT / "platform" / "src"]
    sources = ":".join(str(path) for path in folders)
    extra = {"PYTHONPATH": sources, "PYTHONWARNINGS": "ignore::ResourceWarning"}
    return os.environ | extra


def run_folder(folder):
    """Run one folder's tests and return what came of them."""
    library = folder.parent.name
    command = [sys.executable, "-m", "unittest", "discover", "-s", str(folder)]
    with tempfile.TemporaryFile("w+") as output:
        process = subprocess.Popen(
            command,
            stdout=output,
            stderr=subprocess.STDOUT,
            cwd=folder,
            env=environment(),
        )
        try:
            code = process.wait(LIBRARY_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            code = process.wait()
        output.seek(0)
        text = output.read()
    ran = RAN.search(text)
    bad = tuple(BAD.findall(text))
    # A run that ended without its closing line (a crash, a timeout) counts as a
    # failure of its own; otherwise its tests would vanish from the sum.
    if ran is None or (code != 0 and not bad):
        bad += (f"{library}: the test process ended with code {code}",)
    count = int(ran.group(1)) if ran else 0
    return Verdict(library, max(0, count - len(bad)), bad, text)


def main(names):
    folders = [f for f in test_folders() if not names or f.parent.name in names]
    with ThreadPoolExecutor(WORKERS) as pool:
        verdicts = list(pool.map(run_folder, folders))
    allowed = known_red((ROOT / "KNOWN-RED.txt").read_text())
    failed = 0
    for verdict in verdicts:
        print(f"{verdict.library}: {verdict.passed} ok, {len(verdict.bad)} not")
        if verdict.bad:
            print(verdict.output)
        for name in verdict.bad:
            red = test_id(name) in allowed
            print(f"{'known red' if red else 'failed'}: {name}")
            failed += not red
    for entry in allowed.values():
        print(f"listed in KNOWN-RED.txt: {entry}")
    passed = sum(verdict.passed for verdict in verdicts)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
