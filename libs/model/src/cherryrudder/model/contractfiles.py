"""Contract files: one customer's contract in one INI file.

A file is checked as a whole, so that all of its faults are reported at once.
"""

import configparser
import re
from pathlib import Path

from expression import Error, Ok, Result

from .contracts import Contract
from .errors import SettingsError

SECTION = "contract"
CUSTOMER_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
FLOATS = ("requests_per_s", "tokens_per_s", "max_wait_s", "burst_s")
INTEGERS = ("concurrent_requests", "max_tokens", "priorities")
LISTS = ("models", "services")


def load_contract(path: str | Path) -> Result[Contract, SettingsError]:
    """Return the contract in a file, or one error with every fault."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(SettingsError([f"{path}: {error}"]))
    result = parse_contract(text)
    if result.is_error():
        faults = [f"{path}: {fault}" for fault in result.error.faults]
        return Error(SettingsError(faults))
    return result


def parse_contract(text: str) -> Result[Contract, SettingsError]:
    """Return the contract in an INI text, or one error with every fault."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return Error(SettingsError([str(error).replace("\n", " ")]))
    if parser.sections() != [SECTION]:
        return Error(SettingsError([f"a contract file has one section, [{SECTION}]"]))
    values = dict(parser[SECTION])
    faults = [
        f"[{SECTION}] {key}: unknown setting"
        for key in values
        if key not in Contract._fields or key == "retired"
    ]
    fields = _read_fields(values, faults)
    if faults:
        return Error(SettingsError(faults))
    contract = Contract(**fields)
    faults = check_contract(contract)
    return Error(SettingsError(faults)) if faults else Ok(contract)


def format_contract(contract: Contract) -> str:
    """Return the contract as INI text, without the `retired` flag."""
    lines = [f"[{SECTION}]"]
    for key, value in contract._asdict().items():
        if key == "retired":
            continue
        text = ", ".join(value) if isinstance(value, tuple) else str(value)
        lines.append(f"{key} = {text}")
    return "\n".join(lines) + "\n"


def check_contract(contract: Contract) -> list[str]:
    """Return one message for each invalid value of a contract."""
    faults = []
    if not CUSTOMER_PATTERN.fullmatch(contract.customer):
        faults.append("customer: lower-case letters, digits and hyphens, 63 at most")
    if not SHA256_PATTERN.fullmatch(contract.key_sha256):
        faults.append("key_sha256: 64 lower-case hex digits")
    if not contract.models and not contract.services:
        faults.append("models, services: at least one is needed")
    for key in (*FLOATS, *INTEGERS):
        if not 0 < getattr(contract, key) < float("inf"):
            faults.append(f"{key}: must be more than 0")
    return [f"[{SECTION}] {fault}" for fault in faults]


def _read_fields(values, faults):
    fields = {}
    for key in Contract._fields:
        if key not in values:
            if key not in Contract._field_defaults and key not in LISTS:
                faults.append(f"[{SECTION}] {key}: a contract needs a value")
            continue
        try:
            fields[key] = _convert(key, values[key].strip())
        except ValueError as error:
            faults.append(f"[{SECTION}] {key}: {error}")
    for key in LISTS:
        fields.setdefault(key, ())
    return fields


def _convert(key, text):
    if key in FLOATS:
        return float(text)
    if key in INTEGERS:
        return int(text)
    if key in LISTS:
        return tuple(part.strip() for part in text.split(",") if part.strip())
    return text
