"""Contracts: created, changed and retired by compare-and-swap, never deleted."""

from cherryrudder.model.contractfiles import INTEGERS, check_contract
from cherryrudder.model.revisions import VersionedContract

from .commands import Answer, PutContract
from .records import State

# JSON does not limit integers. One of 400 digits overflows the first float that an
# entry multiplies it with, and would crash every entry of the platform.
MAX_COUNT = 10**9


def put_contract(state: State, index: int, command: PutContract) -> Answer:
    """Set a contract if its version is still the one that the operator expects."""
    contract = command.contract
    held = state.contracts.get(contract.customer)
    version = held.version if held else 0
    faults = check_contract(contract) + _check_counts(contract)
    faults = faults or _check_key(state, contract)
    if faults:
        return Answer("invalid", "; ".join(faults), version, state.revision)
    # Lost update: if two operators edit the same version, the second write would
    # silently undo the first.
    if command.expected_version != version:
        return _reject_version(
            state, contract.customer, command.expected_version, version
        )
    state.revision = index
    state.contracts[contract.customer] = VersionedContract(version + 1, index, contract)
    return Answer("ok", "", version + 1, index)


def list_contracts(state: State) -> tuple[VersionedContract, ...]:
    """Return all contracts, including retired ones, sorted by customer."""
    return tuple(state.contracts[name] for name in sorted(state.contracts))


def _reject_version(state, customer, expected, version):
    if version == 0:
        message = f"{customer} has no contract yet; expect version 0 to create it"
        return Answer("unknown", message, 0, state.revision)
    message = f"{customer} is at version {version}, not {expected}"
    return Answer("conflict", message, version, state.revision)


def _check_counts(contract):
    return [
        f"{name}: more than {MAX_COUNT}"
        for name in INTEGERS
        if getattr(contract, name) > MAX_COUNT
    ]


def _check_key(state, contract):
    # Callers are identified by their key alone. If two contracts had the same key, one
    # customer's requests would be charged to the other.
    if contract.retired:
        return []
    for held in state.contracts.values():
        other = held.contract
        if other.retired or other.customer == contract.customer:
            continue
        if other.key_sha256 == contract.key_sha256:
            return ["key_sha256: another contract has the same key"]
    return []
