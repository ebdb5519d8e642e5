"""What `apply` has to change so that the platform holds a folder's contracts."""

from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

from expression import Error, Ok, Result

from cherryrudder.model.contractfiles import format_contract, load_contract
from cherryrudder.model.contracts import Contract
from cherryrudder.model.revisions import VersionedContract

from .errors import BadInput


class Action(StrEnum):
    """What becomes of one contract."""

    CREATE = "create"
    CHANGE = "change"
    KEEP = "keep"
    # A retired contract comes back by `contract change` only: a folder that still
    # holds its file would otherwise undo the retirement at the next `apply`.
    RETIRED = "retired"
    # The platform has it, the folder does not. It stays: a file that is missing from
    # a checkout must not end a customer's service.
    ABSENT = "absent"


class Step(NamedTuple):
    """One line of a plan; `diff` has its lines with a leading sign."""

    action: Action
    contract: Contract
    expected_version: int
    diff: tuple[str, ...] = ()


def load_folder(folder: Path) -> Result[list[Contract], BadInput]:
    """Return the contracts of a folder's INI files, or every fault in them."""
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
    """Return one step for each contract that is wanted or held, by customer."""
    steps = [_step(contract, held.get(contract.customer)) for contract in wanted]
    names = {contract.customer for contract in wanted}
    for name, row in held.items():
        if name not in names and not row.contract.retired:
            steps.append(Step(Action.ABSENT, row.contract, row.version))
    return sorted(steps, key=lambda step: step.contract.customer)


def diff_contracts(old: Contract | None, new: Contract) -> tuple[str, ...]:
    """Return the lines of the contract file that differ, signed - or +."""
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
