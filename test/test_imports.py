"""Imports between the libraries point one way only."""

import ast
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CORES = {"policy", "quorum", "state", "membership", "pipeline"}
PURE = CORES | {"layers", "routing"}
MAY_IMPORT = {
    "model": set(),
    **{core: {"model"} for core in CORES},
    "wire": {"model"},
    "fakes": {"model", "wire"},
    "cli": {"model", "wire"},
    "replica": {"model", "quorum", "wire"},
    "daemon": {"model", "wire", "replica"} | CORES,
    "layers": {"model"},
    "routing": {"model", "layers"},
    "relay": {"model", "wire"},
    "node": {"model", "wire", "replica", "quorum", "policy", "layers"}
    | {"routing", "relay", "platform"},
    "soak": {"relay", "standin"},
}
# What the processes on the users' platform are made of. They tell the time of day in
# their lines, and read it nowhere else.
ON_PLATFORM = ("node", "routing", "relay", "layers", "quorum", "policy")
TELLS_TIME = "linesink.py"
TIME_OF_DAY = {"time.time", "time.time_ns", "datetime.now", "datetime.utcnow", "wall_s"}
IO_MODULES = {"anyio", "asyncio", "httpx", "hypercorn", "socket", "threading", "time"}


def imported(path):
    """Yield the dotted names of the modules that a file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.level == 0:
            yield node.module


class ImportTest(unittest.TestCase):
    def test_libraries_import_downwards_only(self):
        for library, allowed in MAY_IMPORT.items():
            for path in ROOT.glob(f"libs/{library}/src/**/*.py"):
                for name in imported(path):
                    parts = name.split(".")
                    if parts[0] == "cherryrudder" and parts[1] != library:
                        with self.subTest(path=path.name, imports=name):
                            self.assertIn(parts[1], allowed)

    def test_cores_do_no_io(self):
        for library in PURE:
            for path in ROOT.glob(f"libs/{library}/src/**/*.py"):
                for name in imported(path):
                    with self.subTest(path=path.name, imports=name):
                        self.assertNotIn(name.split(".")[0], IO_MODULES)


class ClockTest(unittest.TestCase):
    """A VM's time of day jumps by hours, forward or back, and back again.

    A lease, a timeout or a choice between two versions that went by it would end or
    last for hours. So nothing that decides may read it.
    """

    def test_nothing_that_decides_reads_the_time_of_day(self):
        for library in ON_PLATFORM:
            for path in ROOT.glob(f"libs/{library}/src/**/*.py"):
                if path.name == TELLS_TIME:
                    continue
                for name in called(path):
                    with self.subTest(path=path.name, calls=name):
                        self.assertNotIn(name, TIME_OF_DAY)

    def test_the_one_place_that_tells_it_is_found(self):
        (path,) = ROOT.glob(f"libs/node/src/**/{TELLS_TIME}")
        self.assertIn("time.time", set(called(path)))


def called(path):
    """Yield what a file calls, as it is written there."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Call):
            yield ast.unparse(node.func)
