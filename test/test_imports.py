"""Check which libraries and modules each library may import."""

import ast
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CORE_LIBRARIES = {"policy", "quorum", "state", "membership", "pipeline"}
IO_FREE_LIBRARIES = CORE_LIBRARIES | {"layers", "routing"}
ALLOWED_IMPORTS = {
    "model": set(),
    **{core: {"model"} for core in CORE_LIBRARIES},
    "wire": {"model"},
    "fakes": {"model", "wire"},
    "cli": {"model", "wire"},
    "replica": {"model", "quorum", "wire"},
    "daemon": {"model", "wire", "replica"} | CORE_LIBRARIES,
    "layers": {"model"},
    "routing": {"model", "layers"},
    "relay": {"model", "wire"},
    "node": {"model", "wire", "replica", "quorum", "policy", "layers"}
    | {"routing", "relay", "platform"},
    "soak": {"relay", "standin"},
}
# Libraries of the processes on the users' platform. They read the wall clock only to
# write it in log lines.
NODE_LIBRARIES = ("node", "routing", "relay", "layers", "quorum", "policy")
LOG_MODULE = "linesink.py"
WALL_CLOCK_CALLS = {
    "time.time",
    "time.time_ns",
    "datetime.now",
    "datetime.utcnow",
    "wall_s",
}
IO_MODULES = {"anyio", "asyncio", "httpx", "hypercorn", "socket", "threading", "time"}


def iter_imports(path):
    """Yield the dotted names of the modules that a file imports absolutely."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.level == 0:
            yield node.module


class ImportTest(unittest.TestCase):
    def test_libraries_import_only_allowed_libraries(self):
        for library, allowed in ALLOWED_IMPORTS.items():
            for path in ROOT.glob(f"libs/{library}/src/**/*.py"):
                for name in iter_imports(path):
                    parts = name.split(".")
                    if parts[0] == "cherryrudder" and parts[1] != library:
                        with self.subTest(path=path.name, imports=name):
                            self.assertIn(parts[1], allowed)

    def test_io_free_libraries_import_no_io_modules(self):
        for library in IO_FREE_LIBRARIES:
            for path in ROOT.glob(f"libs/{library}/src/**/*.py"):
                for name in iter_imports(path):
                    with self.subTest(path=path.name, imports=name):
                        self.assertNotIn(name.split(".")[0], IO_MODULES)


class ClockTest(unittest.TestCase):
    """No decision may depend on the wall clock.

    A VM's wall clock can jump by hours in either direction and back again. A lease or
    timeout based on it would expire at once or last for hours, and a choice between two
    versions could go wrong.
    """

    def test_only_the_log_module_reads_the_wall_clock(self):
        for library in NODE_LIBRARIES:
            for path in ROOT.glob(f"libs/{library}/src/**/*.py"):
                if path.name == LOG_MODULE:
                    continue
                for name in iter_calls(path):
                    with self.subTest(path=path.name, calls=name):
                        self.assertNotIn(name, WALL_CLOCK_CALLS)

    def test_wall_clock_call_in_the_log_module_is_detected(self):
        (path,) = ROOT.glob(f"libs/node/src/**/{LOG_MODULE}")
        self.assertIn("time.time", set(iter_calls(path)))


def iter_calls(path):
    """Yield the callee of each call in a file, as written in the source."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Call):
            yield ast.unparse(node.func)
