"""Platform-wide settings, changed by compare-and-swap."""

from cherryrudder.model.revisions import VersionedSetting

from .checks import check_ids
from .commands import Answer, PutSetting
from .records import State

# A value is a number, a name or a short list. Each reader holds all values in memory.
MAX_VALUE_CHARS = 10_000


def put_setting(state: State, index: int, command: PutSetting) -> Answer:
    """Set a value if its version is still the one that the operator expects."""
    held = state.settings.get(command.name)
    version = held.version if held else 0
    fault = check_ids(name=command.name)
    if len(command.value) > MAX_VALUE_CHARS:
        fault = f"value: longer than {MAX_VALUE_CHARS} characters"
    if fault:
        return Answer("invalid", fault, version, state.revision)
    if command.expected_version != version:
        message = f"{command.name} is at version {version}"
        return Answer("conflict", message, version, state.revision)
    state.revision = index
    setting = VersionedSetting(command.name, command.value, version + 1, index)
    state.settings[command.name] = setting
    return Answer("ok", "", version + 1, index)
