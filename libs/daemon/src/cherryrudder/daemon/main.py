"""cherryrudderd: reads its settings and runs one role until it is stopped."""

import argparse
import sys

import anyio
from loguru import logger

from cherryrudder.model.settings import Settings, load_settings
from cherryrudder.wire.logs import set_up_logs

from . import controlrole, entryrole, sidecarrole, voterdisk
from .errors import DaemonError
from .process import Process

ROLES = {
    "control": controlrole.run,
    "entry": entryrole.run,
    "sidecar": sidecarrole.run,
}
BAD_SETTINGS = 2
FAILED = 1

log = logger.bind(part="process")


def main() -> None:
    """Run the daemon from the command line."""
    options = read_options(sys.argv[1:])
    result = load_settings(options.config)
    if result.is_error():
        for fault in result.error.faults:
            print(fault, file=sys.stderr)
        sys.exit(BAD_SETTINGS)
    settings = result.ok
    try:
        if options.init or options.join:
            print(voterdisk.create(settings, options.init or ()))
        else:
            set_up_logs(settings.log)
            anyio.run(run, settings, backend="asyncio")
    except DaemonError as error:
        print(f"cherryrudderd: {error}", file=sys.stderr)
        sys.exit(FAILED)
    except Exception:
        # An unexpected error in one task ends the process: the other tasks must not run
        # on without it. The log entry precedes the traceback.
        log.exception("A part of the process has failed.")
        sys.exit(FAILED)


def read_options(arguments):
    """Return the command line's options.

    Uses argparse instead of defopt, which would load docutils on small VMs.
    """
    parser = argparse.ArgumentParser(prog="cherryrudderd", description=__doc__)
    parser.add_argument("--config", required=True, help="settings file (INI)")
    group = parser.add_mutually_exclusive_group()
    group.add_argument(
        "--init",
        nargs="+",
        metavar="VM=IP:PORT",
        help="create this control VM's disk as a founding voter, then exit; "
        "name all founding voters, the same on each",
    )
    group.add_argument(
        "--join",
        action="store_true",
        help="create this control VM's disk as a learner's, then exit",
    )
    return parser.parse_args(arguments)


async def run(settings: Settings) -> None:
    """Run the configured role until a graceful shutdown ends."""
    failure = None
    try:
        async with anyio.create_task_group() as group:
            process = Process(settings, group)
            process.watch_signals()
            log.info("Starting as {} on {}.", settings.process.role, settings.place.vm)
            await ROLES[settings.process.role](process)
    except* DaemonError as errors:
        failure = errors.exceptions[0]
    if failure is not None:
        # Task groups wrap errors; report the innermost one to the operator.
        while isinstance(failure, ExceptionGroup):
            failure = failure.exceptions[0]
        raise failure
    log.info("Stopped.")
