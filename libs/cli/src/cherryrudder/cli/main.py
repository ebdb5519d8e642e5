"""Entry point of the `cherryrudder` command line."""

import argparse
import os
import sys

import defopt

from . import (
    block_commands,
    contract_commands,
    control_commands,
    local_commands,
    platform_commands,
    stop_commands,
)
from .apply_command import apply
from .client import Client
from .errors import CliError
from .loss_command import losses
from .options import HELP, check_address, control_addresses, read_key, split_options
from .output import format_json
from .trace_command import trace

COMMANDS = {
    "apply": apply,
    "contract": contract_commands.COMMANDS,
    "stop": stop_commands.COMMANDS,
    "control": control_commands.COMMANDS,
    "block": block_commands.COMMANDS,
    "endpoints": platform_commands.endpoints,
    "dump": platform_commands.dump,
    "check": local_commands.check,
    "trace": trace,
    "losses": losses,
    "key-digest": local_commands.key_digest,
}


def main(arguments=None, environment=os.environ, transport=None) -> int:
    """Run one command and return its exit code."""
    arguments = sys.argv[1:] if arguments is None else arguments
    options, left = split_options(arguments, environment)

    def connect(address=None, needs_key=True):
        """Return a client of the control VMs, or of the one process at `address`.

        No other process can answer in its place, so it gets one attempt only.
        """
        if address is not None:
            one = [check_address(address)]
            key = read_key(options) if needs_key else ""
            return Client(one, key, transport, call_timeout_s=0)
        return Client(control_addresses(options), read_key(options), transport)

    command = defopt.run(
        COMMANDS,
        argv=left,
        argparse_kwargs={
            "prog": "cherryrudder",
            "epilog": HELP,
            "formatter_class": argparse.RawDescriptionHelpFormatter,
        },
    )
    try:
        output = command(connect)
    except CliError as error:
        print(error, file=sys.stderr)
        return error.exit_code
    print(format_json(output.value) if options.json else output.text)
    return output.exit_code
