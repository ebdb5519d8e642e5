"""Options common to all subcommands, with their environment variables."""

import argparse
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

from cherryrudder.model.settings import split_address

from .errors import BadInput

CONTROL_VARIABLE = "CHERRYRUDDER_CONTROL"
KEY_FILE_VARIABLE = "CHERRYRUDDER_OPERATOR_KEY_FILE"
HELP = f"""\
"contract", "stop", "control" and "block" have subcommands of their own; --help after
any of them lists these. The following options are accepted anywhere in a command:
  --control ADDR[,ADDR]     operator addresses of the control VMs, IP:PORT
                            (or {CONTROL_VARIABLE})
  --operator-key-file FILE  file that holds the operator key
                            (or {KEY_FILE_VARIABLE})
  --json                    print JSON

Exit codes: 0 done or nothing to do, 1 failed, 2 bad input, 3 conflict.
"""


class Options(NamedTuple):
    """The options common to all subcommands."""

    control: str
    key_file: str
    json: bool


def split_options(
    arguments: list[str], environment: Mapping[str, str]
) -> tuple[Options, list[str]]:
    """Return the common options and the remaining arguments."""
    parser = argparse.ArgumentParser(add_help=False, allow_abbrev=False)
    parser.add_argument("--control", default=environment.get(CONTROL_VARIABLE, ""))
    parser.add_argument(
        "--operator-key-file", default=environment.get(KEY_FILE_VARIABLE, "")
    )
    parser.add_argument("--json", action="store_true")
    found, left = parser.parse_known_args(arguments)
    return Options(found.control, found.operator_key_file, found.json), left


def control_addresses(options: Options) -> list[str]:
    """Return the control VMs' addresses; raises BadInput if there are none."""
    addresses = [part.strip() for part in options.control.split(",") if part.strip()]
    if not addresses:
        raise BadInput(f"no control VM: give --control or {CONTROL_VARIABLE}")
    return [check_address(address) for address in addresses]


def check_address(address: str) -> str:
    """Return the address unchanged; raises BadInput if it is not IP:PORT."""
    try:
        split_address(address)
    except ValueError as error:
        raise BadInput(f"{address!r} is not IP:PORT ({error})") from error
    return address


def read_key(options: Options) -> str:
    """Return the operator key; raises BadInput if it is missing or unreadable."""
    if not options.key_file:
        raise BadInput(f"no key: give --operator-key-file or {KEY_FILE_VARIABLE}")
    try:
        key = Path(options.key_file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise BadInput(f"{options.key_file}: {error}") from error
    if not key:
        raise BadInput(f"{options.key_file}: holds no key")
    return key
