"""Plan the changes by which `apply` brings the platform in line with a folder."""

from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

from expression import Error, Ok, Result

from cherryrudder.model.contractfiles import format_contract, load_contract
from cherryrudder.model.contracts import Contract
from cherryrudder.model.revisions import VersionedContract

from .errors import BadInput


class Action(StrEnum):
    """What a step does with one contract."""

    CREATE = "create"
    CHANGE = "change"
    KEEP = "keep"
    # Only `contract change` puts a retired contract in force again. Otherwise the next
    # `apply` of a folder that still has its file would undo the retirement.
    RETIRED = "retired"
    # The platform has the contract, the folder does not. It is kept, since a file that
    # is missing from a checkout must not end a customer's service.
    ABSENT = "absent"


class Step(NamedTuple):
    """One step of a plan; the lines of `diff` start with - or +."""

    action: Action
    contract: Contract
    expected_version: int
    diff: tuple[str, ...] = ()


def load_folder(folder: Path) -> Result[list[Contract], BadInput]:
    """Return the contracts of a folder's INI files, or one error with every fault."""
    paths = sorted(folder.glob("*.ini"))
    if not paths:
        return Error(BadInput(f"{folder}: no *.ini files"))
    contracts, faults = {}, []
    for path in paths:
        result = load_contract(path)
        if result.is_error():
            faults += result.error.faults
        elif result.ok.customer in contracts:
            faults.append(f"{path}: a second file of {result.ok.customer}")
        else:
            contracts[result.ok.customer] = result.ok
    return Error(BadInput(*faults)) if faults else Ok(list(contracts.values()))


def make_plan(wanted: list[Contract], held: dict[str, VersionedContract]) -> list[Step]:
    """Return the steps that lead from the held contracts to the wanted ones.

    There is one for each wanted contract and for each other one in force, ordered by
    customer.
    """
    steps = [_step(contract, held.get(contract.customer)) for contract in wanted]
    names = {contract.customer for contract in wanted}
    for name, row in held.items():
        if name not in names and not row.contract.retired:
            steps.append(Step(Action.ABSENT, row.contract, row.version))
    return sorted(steps, key=lambda step: step.contract.customer)


def diff_contracts(old: Contract | None, new: Contract) -> tuple[str, ...]:
    """Return the contract file's lines that differ, prefixed with - or +."""
    before = [] if old is None else format_contract(old).splitlines()[1:]
    after = format_contract(new).splitlines()[1:]
    removed = [line for line in before if line not in after]
    lines = []
    for line in after:
        if line in before:
            continue
        name = line.partition(" = ")[0]
        lines += [f"- {old}" for old in removed if old.startswith(f"{name} = ")]
        lines.append(f"+ {line}")
    return tuple(lines)


def _step(contract, held):
    if held is None:
        return Step(Action.CREATE, contract, 0, diff_contracts(None, contract))
    version, current = held.version, held.contract
    if current.retired:
        return Step(Action.RETIRED, contract, version)
    if current == contract:
        return Step(Action.KEEP, contract, version)
    diff = diff_contracts(current, contract)
    return Step(Action.CHANGE, contract, version, diff)
