"""Settings of a daemon, from an INI file that overrides the defaults.

A file is checked as a whole, so that all of its faults are reported at once.
"""

import configparser
import ipaddress
from importlib import resources
from pathlib import Path
from typing import NamedTuple

from expression import Error, Ok, Result

from .endpoints import Kind, Place
from .errors import SettingsError

ROLES = ("entry", "control", "sidecar")
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
BOOLEANS = configparser.ConfigParser.BOOLEAN_STATES


class ProcessSettings(NamedTuple):
    role: str
    vm: str
    data_centre: str
    region: str
    stop_wait_s: float


class ListenSettings(NamedTuple):
    caller: str
    internal: str
    operator: str
    frames: str


class ControlSettings(NamedTuple):
    addresses: tuple[str, ...]


class KeySettings(NamedTuple):
    internal_file: str
    operator_file: str


class LogSettings(NamedTuple):
    level: str
    format: str


class StatsdSettings(NamedTuple):
    address: str
    prefix: str


class QuorumSettings(NamedTuple):
    data_folder: str
    heartbeat_s: float
    election_min_s: float
    election_max_s: float
    snapshot_entries: int


class EntrySettings(NamedTuple):
    max_body_bytes: int
    max_held_bytes: int
    max_queued: int
    drain_s: float
    stall_s: float


class SidecarSettings(NamedTuple):
    endpoint: str
    kind: str
    back_end: str
    service: str
    idempotent_methods: tuple[str, ...]
    model: str
    version: str
    accelerator: str
    first_layer: int
    end_layer: int
    model_layers: int
    slots: int
    tokens_per_s: float
    checks_fence: bool
    announce_s: float
    lease_s: float


class Settings(NamedTuple):
    """All settings of one daemon."""

    process: ProcessSettings
    listen: ListenSettings
    control: ControlSettings
    keys: KeySettings
    log: LogSettings
    statsd: StatsdSettings
    quorum: QuorumSettings
    entry: EntrySettings
    sidecar: SidecarSettings

    @property
    def place(self) -> Place:
        """Return the VM, data centre and region that the process runs in."""
        return Place(self.process.vm, self.process.data_centre, self.process.region)


# Settings that must not be empty for each role, as (section, key).
REQUIRED = {
    "all": (
        ("process", "vm"),
        ("process", "data_centre"),
        ("process", "region"),
        ("listen", "internal"),
        ("keys", "internal_file"),
        ("keys", "operator_file"),
    ),
    "entry": (
        ("listen", "caller"),
        ("listen", "frames"),
        ("control", "addresses"),
    ),
    "control": (
        ("listen", "operator"),
        ("listen", "frames"),
        ("quorum", "data_folder"),
        ("control", "addresses"),
    ),
    "sidecar": (
        ("listen", "frames"),
        ("sidecar", "endpoint"),
        ("sidecar", "back_end"),
        ("control", "addresses"),
    ),
}


def split_address(address: str) -> tuple[str, int]:
    """Return the IP and port of an IP:PORT text; raises ValueError if it is invalid."""
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(f"port {number} is out of range")
    return host.strip("[]"), number


def load_settings(path: str | Path) -> Result[Settings, SettingsError]:
    """Return the settings in a file, or one error with every fault."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(SettingsError([f"{path}: {error}"]))
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, SettingsError]:
    """Return the settings in an INI text, or one error with every fault."""
    defaults = _read(_default_text())
    try:
        own = _read(text)
    except configparser.Error as error:
        return Error(SettingsError([str(error).replace("\n", " ")]))
    faults = _unknown_settings(own, defaults)
    values = {name: dict(defaults[name]) for name in defaults.sections()}
    for name in own.sections():
        values.setdefault(name, {}).update(own[name])
    sections = {}
    for name, kind in Settings.__annotations__.items():
        sections[name] = _read_section(name, kind, values[name], faults)
    faults += _missing_values(values) + _invalid_values(values)
    if faults:
        return Error(SettingsError(faults))
    return Ok(Settings(**sections))


def _default_text():
    return resources.files(__package__).joinpath("config_default.ini").read_text()


def _read(text):
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    return parser


def _unknown_settings(own, defaults):
    faults = []
    for section in own.sections():
        if section not in defaults:
            faults.append(f"[{section}]: unknown section")
            continue
        for key in own[section]:
            if key not in defaults[section]:
                faults.append(f"[{section}] {key}: unknown setting")
    return faults


def _read_section(name, kind, values, faults):
    converted = {}
    for key, value_kind in kind.__annotations__.items():
        try:
            converted[key] = _convert(values[key], value_kind)
        except ValueError as error:
            faults.append(f"[{name}] {key}: {error}")
            converted[key] = None
    return kind(**converted)


def _convert(text, kind):
    text = text.strip()
    if kind is bool:
        if text.lower() not in BOOLEANS:
            raise ValueError(f"{text!r} is not yes or no")
        return BOOLEANS[text.lower()]
    if kind in (int, float):
        number = kind(text)
        if not 0 <= number < float("inf"):
            raise ValueError(f"{text!r} is out of range")
        return number
    if kind is str:
        return text
    return tuple(part.strip() for part in text.split(",") if part.strip())


def _missing_values(values):
    role = values["process"]["role"]
    if role not in ROLES:
        return [f"[process] role: {role!r} is not one of {', '.join(ROLES)}"]
    required = REQUIRED["all"] + REQUIRED[role]
    if role == "sidecar":
        is_engine = values["sidecar"]["kind"] == Kind.ENGINE
        required += (("sidecar", "model" if is_engine else "service"),)
    return [
        f"[{section}] {key}: a {role} needs a value"
        for section, key in required
        if not values[section][key].strip()
    ]


def _invalid_values(values):
    faults = []
    addresses = [("listen", key, text) for key, text in values["listen"].items()]
    addresses.append(("statsd", "address", values["statsd"]["address"]))
    for text in values["control"]["addresses"].split(","):
        addresses.append(("control", "addresses", text.strip()))
    for section, key, text in addresses:
        if not text:
            continue
        try:
            split_address(text)
        except ValueError as error:
            faults.append(f"[{section}] {key}: {text!r} is not IP:PORT ({error})")
    if values["log"]["level"] not in LEVELS:
        faults.append(f"[log] level: not one of {', '.join(LEVELS)}")
    if values["sidecar"]["kind"] not in (Kind.ENGINE, Kind.SERVICE):
        faults.append("[sidecar] kind: not engine or service")
    return faults
