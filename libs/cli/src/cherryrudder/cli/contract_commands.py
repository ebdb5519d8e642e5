"""The `contract` commands: list, show, create, change and retire single contracts.

Each public function is a subcommand: it takes the command line's arguments and returns
a function that runs the command, given a function that connects to the control VMs.
"""

from pathlib import Path

from cherryrudder.model import jsoncodec
from cherryrudder.model.contractfiles import format_contract, load_contract

from . import client as operator
from .errors import BadInput, Conflict
from .output import Output, table
from .plan import diff_contracts


def list_contracts():
    """List the contracts with their main limits."""

    def run(connect):
        held = operator.contracts(connect())
        rows = [
            (
                name,
                row.version,
                row.contract.requests_per_s,
                row.contract.tokens_per_s,
                row.contract.concurrent_requests,
                "retired" if row.contract.retired else "in force",
            )
            for name, row in sorted(held.items())
        ]
        headers = (
            "customer",
            "version",
            "requests/s",
            "tokens/s",
            "concurrent",
            "state",
        )
        return Output(
            table(headers, rows), {"contracts": jsoncodec.plain(list(held.values()))}
        )

    return run


def show(customer: str):
    """Print one contract in the format of a contract file.

    :param customer: the customer's name
    """

    def run(connect):
        held = _get_contract(connect(), customer)
        state = "retired" if held.contract.retired else "in force"
        head = f"; version {held.version}, {state}\n"
        text = head + format_contract(held.contract).rstrip()
        return Output(text, jsoncodec.plain(held))

    return run


def create(file: Path):
    """Create a contract from its file.

    :param file: the contract file
    """

    def run(connect):
        return _put(connect(), _load(file), None, 0)

    return run


def change(file: Path, *, expected_version: int | None = None):
    """Change a contract to the contents of its file.

    :param file: the contract file
    :param expected_version: version that the change is based on, as printed by "show";
        by default the current version
    """

    def run(connect):
        contract = _load(file)
        client = connect()
        held = _get_contract(client, contract.customer)
        version = held.version if expected_version is None else expected_version
        return _put(client, contract, held.contract, version)

    return run


def retire(customer: str, *, expected_version: int | None = None):
    """Retire a contract: new requests are refused, running ones are finished.

    :param customer: the customer's name
    :param expected_version: version that the change is based on, as printed by "show";
        by default the current version
    """

    def run(connect):
        client = connect()
        held = _get_contract(client, customer)
        version = held.version if expected_version is None else expected_version
        retired = held.contract._replace(retired=True)
        return _put(client, retired, held.contract, version)

    return run


COMMANDS = {
    "list": list_contracts,
    "show": show,
    "create": create,
    "change": change,
    "retire": retire,
}


def _load(file):
    result = load_contract(file)
    if result.is_error():
        raise BadInput(*result.error.faults)
    return result.ok


def _get_contract(client, customer):
    held = operator.contracts(client).get(customer)
    if held is None:
        raise BadInput(f"{customer}: no such contract")
    return held


def _put(client, contract, current, expected_version):
    if current == contract:
        return Output(f"{contract.customer}: no change", {"changed": False})
    try:
        answer = operator.put_contract(client, contract, expected_version)
    except Conflict as error:
        raise Conflict(f"{contract.customer}: {error}") from error
    lines = [f"{contract.customer}: done, version {answer.version}"]
    lines += [f"    {line}" for line in diff_contracts(current, contract)]
    value = {"changed": True, **answer._asdict()}
    return Output("\n".join(lines), value)
