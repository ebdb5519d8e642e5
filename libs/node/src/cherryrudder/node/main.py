"""Run the role named on the command line, with the platform's settings file."""

import importlib
import os
import signal
import sys
from pathlib import Path

import anyio
from loguru import logger

from cherryrudder.platform.settings import SETTINGS_VARIABLE, read_settings

from .errors import StartError, describe
from .linesink import LineSink, take_over_logs
from .metrics import Metrics

# The module of each role. Only the module of the running role is imported: after a
# power loss each process spends 0.3 s on imports while clients wait.
ROLES = {"entry": ".entry", "control": ".control"}
FLUSH_S = 0.25

log = logger.bind(part="process")


def load_settings(path: str):
    """Read a settings file; raises StartError."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise StartError(f"settings {path}: {error}") from error
    result = read_settings(text)
    if result.is_error():
        raise StartError(f"settings {path}: {result.error}")
    return result.ok


async def run(role: str, path: str) -> None:
    """Run a role until SIGTERM; raises StartError."""
    settings = load_settings(path)
    sink = LineSink(vm=settings.vm, role=role)
    take_over_logs(sink)
    metrics = Metrics()
    leaving = anyio.Event()
    sink.write(
        "process",
        "start",
        True,
        address=settings.ip,
        seeds=list(settings.seeds),
        is_founding=settings.is_founding,
        has_disk=bool(settings.data_folder),
    )
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(_signals, leaving, sink, path)
            group.start_soon(_flush, sink)
            module = importlib.import_module(ROLES[role], __package__)
            await module.run(settings, sink, metrics, leaving)
            group.cancel_scope.cancel()
    except Exception as error:
        sink.write("process", "failed", True, errors=describe(error))
        raise
    finally:
        sink.flush()
    sink.write("process", "stop", True)
    sink.flush()


async def _signals(leaving, sink, path):
    kinds = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*kinds) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                _reload(sink, path)
            else:
                sink.write("process", "leaving", True, signal=number)
                leaving.set()


def _reload(sink, path):
    """Check and log the changed settings; the ones in force stay.

    Only the seeds change while a process runs, and a running process has a newer list
    of its peers than they are. The next start uses them.
    """
    try:
        settings = load_settings(path)
    except StartError as error:
        sink.write("process", "reload-failed", True, error=str(error))
        return
    sink.write("process", "reload", True, seeds=list(settings.seeds))


async def _flush(sink):
    while True:
        await anyio.sleep(FLUSH_S)
        sink.flush()


def main() -> int:
    """Run the role named on the command line and return the exit code."""
    role = sys.argv[1] if len(sys.argv) > 1 else ""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if role not in ROLES or not path:
        print(f"usage: {SETTINGS_VARIABLE}=FILE ... {' | '.join(ROLES)}")
        return 2
    failures = []
    try:
        anyio.run(run, role, path)
    except* StartError as group:
        failures += group.exceptions
    for error in failures:
        log.error("{}", error)
    return 2 if failures else 0
